import { describe, expect, it } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';

/**
 * Checks that the load on the key-value store depends on the number of events, not on the size of the site, and that
 * the number of concurrent direct calls to workers is limited.
 */
describe('a site of 2,000 machines and five controllers', () => {
  it('scales out, runs 335 jobs, and is taken over by a successor', async () => {
    const site = new SimulatedSite({
      teamCpuLimits: { red: 9000, blue: 9000 },
      heartbeatIntervalS: 6,
      nodes: 5,
    });
    site.startAll();
    await site.run(1);
    let jobCount = 0;
    const serviceRefs: string[] = [];
    /** Submits a job as a user does: a submission that is refused with status 503 is retried every second. */
    const submit = async (tasks: number, more: object): Promise<string> => {
      const ref = `j-${String(jobCount++).padStart(6, '0')}`;
      while ((await site.submit({ ref, tasks, ...more }, `node-${jobCount % 5}`)) === 503) await site.run(1);
      return ref;
    };
    for (let i = 0; i < 160; i++) {
      serviceRefs.push(await submit(i % 4 === 0 ? 4 : 2, { kind: 'service', team: 'red' }));
    }
    for (let i = 0; i < 175; i++) {
      await submit(40, { team: i % 2 === 0 ? 'red' : 'blue', spot: true, runS: 55 + (i % 20) });
    }
    await site.run(60);
    expect(site.cloud.machines.size).toBeGreaterThan(1800);
    expect(site.rules.startCount).toBeGreaterThan(6500);
    // The writes include the starts and ends of tasks, the ends of jobs, and the fleet and forecast records.
    expect(site.store.writeCount / site.rules.startCount).toBeLessThan(0.35);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(64);

    const before = { writes: site.store.writeCount, requests: site.store.requestCount };
    const runningCount = site.runningTaskCount('j-000000');
    site.crash(site.leader as string);
    await site.run(12);
    expect(site.runningTaskCount('j-000000')).toBe(runningCount);
    // The successor reads records in pages and compares many records per request, instead of one request per record.
    expect(site.store.requestCount - before.requests).toBeLessThan(150);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(64);
    // The new leader starts tasks within 6 s, on machines whose heartbeats it has received by then.
    const newLeader = site.nodes.find((node) => node === site.leader) as string;
    await site.submit({ ref: 'j-900000', tasks: 8, team: 'blue', spot: true, runS: 1 }, newLeader);
    await site.run(6);
    expect(await site.query('j-900000', newLeader)).toBe('done');

    // 15% of the machines (about 300) die at the same time; the lost replicas start again within 12 s.
    const runningReplicaCount = (): number =>
      serviceRefs.reduce((sum, ref) => sum + site.runningTaskCount(ref), 0);
    const initialReplicaCount = runningReplicaCount();
    const killedMachines = [...site.workers.keys()].filter((_, i) => i % 20 < 3);
    for (const host of killedMachines) site.killMachine(host);
    expect(runningReplicaCount()).toBeLessThan(initialReplicaCount);
    let seconds = 0;
    for (; seconds < 60 && runningReplicaCount() < initialReplicaCount; seconds++) await site.run(1);
    expect(seconds).toBeLessThanOrEqual(12);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(2 * 64);
    // The test guards against fleet records that exceed the size of one transaction together, so that none is written.
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  }, 60_000);
});
