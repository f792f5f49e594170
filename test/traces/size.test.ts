import { describe, expect, it } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';

/** What is asked of the state service, the cloud and the workers must follow what happens, not what exists. */
describe('a site of 2,000 machines and five controllers', () => {
  it('fills up, runs hundreds of jobs, and a successor takes it over', async () => {
    const site = new SimulatedSite({ limit: { red: 9000, blue: 9000 }, reportS: 6, nodes: 5 });
    site.startAll();
    await site.run(1);
    let jobs = 0;
    const services: string[] = [];
    /** As a user does: what is refused for being too much at once is asked again later. */
    const submit = async (tasks: number, more: object): Promise<string> => {
      const ref = `j-${String(jobs++).padStart(6, '0')}`;
      while ((await site.submit({ ref, tasks, ...more }, `node-${jobs % 5}`)) === 503) await site.run(1);
      return ref;
    };
    for (let i = 0; i < 160; i++) {
      services.push(await submit(i % 4 === 0 ? 4 : 2, { kind: 'service', team: 'red' }));
    }
    for (let i = 0; i < 175; i++) {
      await submit(40, { team: i % 2 === 0 ? 'red' : 'blue', spot: true, runS: 55 + (i % 20) });
    }
    await site.run(60);
    expect(site.cloud.machines.size).toBeGreaterThan(1800);
    expect(site.rules.startCount).toBeGreaterThan(6500);
    // Starts, ends, closings, fleet and forecast records together.
    expect(site.store.writeCount / site.rules.startCount).toBeLessThan(0.35);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(64);

    const before = { writes: site.store.writeCount, requests: site.store.requestCount };
    const running = site.runningTaskCount('j-000000');
    site.crash(site.leader as string);
    await site.run(12);
    expect(site.runningTaskCount('j-000000')).toBe(running);
    // Reading what there is: pages and comparisons of many records, not a request for each.
    expect(site.store.requestCount - before.requests).toBeLessThan(150);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(64);
    // It decides within seconds, on machines that it has met by then.
    const alive = site.nodes.find((node) => node === site.leader) as string;
    await site.submit({ ref: 'j-900000', tasks: 8, team: 'blue', spot: true, runS: 1 }, alive);
    await site.run(6);
    expect(await site.query('j-900000', alive)).toBe('done');

    // 15% of the machines end at one moment, 300 of them: what is lost of the replicas runs again.
    const replicas = (): number => services.reduce((sum, ref) => sum + site.runningTaskCount(ref), 0);
    const all = replicas();
    const hosts = [...site.workers.keys()].filter((_, i) => i % 20 < 3);
    for (const host of hosts) site.killMachine(host);
    expect(replicas()).toBeLessThan(all);
    let seconds = 0;
    for (; seconds < 60 && replicas() < all; seconds++) await site.run(1);
    expect(seconds).toBeLessThanOrEqual(12);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(2 * 64);
    // Guards against fleet records that together were too long for one transaction: none was written.
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  }, 60_000);
});
