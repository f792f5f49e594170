import { describe, expect, it } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

const ref = (n: number): string => `j-${String(n).padStart(6, '0')}`;

/** Submits four jobs, of which all but the first depend on the previous one; the last is urgent and has a deadline. */
async function submitChain(site: SimulatedSite, runS: number): Promise<void> {
  expect(await site.submit({ ref: ref(1), tasks: 2, runS, rank: 'idle' })).toBe(201);
  expect(await site.submit({ ref: ref(2), tasks: 3, runS, rank: 'idle', awaits: [ref(1)] }, 'node-1')).toBe(
    201,
  );
  expect(await site.submit({ ref: ref(3), runS, awaits: [ref(2), ref(2)] }, 'node-2')).toBe(201);
  expect(await site.submit({ ref: ref(4), runS, rank: 'urgent', awaits: [ref(3)], dueS: 120 })).toBe(201);
}

describe('a pipeline of dependent jobs', () => {
  it('runs its stages in order, each as soon as the last task of the previous stage is durably done', async () => {
    const site = await startedSite();
    await submitChain(site, 5);
    expect(await site.query(ref(4), 'node-2')).toBe('pending');
    await runUntil(site, () => site.store.value(`open/${ref(4)}`) === undefined, 80);
    expect(await site.query(ref(4))).toBe('done');
    await expectTrace('pipeline', site);
  });

  it('continues under a new leader that has only the records, even if a stage ended before the takeover', async () => {
    const site = await startedSite();
    await submitChain(site, 12);
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 2);
    while (site.store.value(`open/${ref(1)}`) !== undefined) await site.run(0.01);
    // The successor learns only from the record of the first stage that the second stage may start.
    const oldLeader = site.leader as string;
    site.crash(oldLeader);
    expect(site.runningTaskCount(ref(2))).toBe(0);
    await runUntil(site, () => site.runningTaskCount(ref(2)) > 0, 40);
    site.start(oldLeader);
    await runUntil(site, () => site.store.value(`open/${ref(4)}`) === undefined, 120);
    expect(await site.query(ref(4), oldLeader)).toBe('done');
    await expectTrace('pipeline-takeover', site);
  });

  it('is cancelled from a cancelled job on, with the dependent jobs that are submitted later', async () => {
    const site = await startedSite();
    await submitChain(site, 30);
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 2);
    expect(await site.cancel(ref(1), 'node-1')).toBe('cancelled');
    await site.run(2);
    for (const n of [2, 3, 4]) expect(await site.query(ref(n), 'node-2')).toBe('cancelled');
    expect(await site.submit({ ref: ref(5), awaits: [ref(3)] }, 'node-2')).toBe(201);
    expect(await site.query(ref(5))).toBe('cancelled');
    // A repeated submission is answered from the record, even if its content differs.
    expect(await site.submit({ ref: ref(5), awaits: [ref(99)] })).toBe(200);
    expect(site.store.value(`open/${ref(2)}`)).toBe(undefined);
    await expectTrace('pipeline-cancelled', site);
  });

  it('continues if the cancellation is answered with `done`', async () => {
    const site = await startedSite();
    await site.submit({ ref: ref(1), runS: 3 });
    await site.submit({ ref: ref(2), runS: 3, awaits: [ref(1)] });
    await runUntil(site, () => site.store.value(`open/${ref(1)}`) === undefined);
    expect(await site.cancel(ref(1))).toBe('done');
    await site.run(20);
    expect(await site.query(ref(2))).toBe('done');
  });

  it('is never reported as pending after the time limit of a cancellation, even if no leader could record it', async () => {
    const site = await startedSite();
    await submitChain(site, 200);
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 2);
    // The leader is isolated before the cancellation, and the store is unavailable for longer than the limit of a
    // cancellation.
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    site.store.refusedClients.add(oldLeader);
    site.isolatedNodes.add(oldLeader);
    expect(await site.cancel(ref(1), otherNode)).toBe('cancelled');
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(60);
    for (const name of site.nodes) site.crash(name);
    site.isolatedNodes.clear();
    site.store.refusedClients.clear();
    site.store.isUnavailable = false;
    site.trace('state      is back');
    site.startAll();
    // No controller leads yet; the rule checker reports any `pending` answer as an orphaned job.
    await site.run(0.05);
    for (const n of [4, 3, 2]) await site.query(ref(n), otherNode);
    await site.run(10);
    for (const n of [2, 3, 4]) expect(await site.query(ref(n), oldLeader)).toBe('cancelled');
    await expectTrace('pipeline-orphans', site);
  });

  it('is cancelled with a job whose cancellation is unknown to the node that accepts the dependent job', async () => {
    const site = await startedSite();
    await site.submit({ ref: ref(1), runS: 200 });
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 1);
    // The machine of the cancelled task hangs, so the leader still keeps the job when a dependent job is submitted.
    site.worker(site.machineOf(`${ref(1)}/0`)).hang();
    expect(await site.query(ref(1), 'node-2')).toBe('pending');
    expect(await site.cancel(ref(1), 'node-1')).toBe('cancelled');
    expect(await site.submit({ ref: ref(2), awaits: [ref(1)] }, 'node-2')).toBe(201);
    expect(await site.submit({ ref: ref(3), awaits: [ref(2)] }, 'node-2')).toBe(201);
    // No user queries the jobs: the leader records their cancellation within 3 s, before the limit of a
    // cancellation (40 s).
    await site.run(3);
    for (const n of [2, 3]) expect(site.store.value(`job/${ref(n)}`)).toMatchObject({ s: 'c' });
    expect(site.runningTaskCount(ref(1))).toBe(1);
    await expectTrace('pipeline-joins-cancelled', site);
  });

  it('accepts no job that can never start, or that a leader of an earlier version would start too early', async () => {
    const site = await startedSite();
    await site.submit({ ref: ref(1), kind: 'service' });
    expect(await site.submit({ ref: ref(2), awaits: [ref(2)] })).toBe(422);
    expect(await site.submit({ ref: ref(3), awaits: [ref(77)] })).toBe(422);
    expect(await site.submit({ ref: ref(4), awaits: [ref(1)] })).toBe(422);
    expect(await site.submit({ ref: ref(5), awaits: ['job-1'] })).toBe(400);
    expect(await site.submit({ ref: ref(6), awaits: [] })).toBe(201);
    site.store.isUnavailable = true;
    expect(await site.submit({ ref: ref(7), awaits: [ref(78)] })).toBe(503);
    site.store.isUnavailable = false;
    site.earlierVersionNodes.add('node-1');
    expect(await site.submit({ ref: ref(8), awaits: [ref(6)] })).toBe(503);
    site.earlierVersionNodes.clear();
    expect(await site.submit({ ref: ref(8), awaits: [ref(6)] })).toBe(201);
    expect(await site.query(ref(7))).toBe('404');
  });

  it('gives each stage the priority and the deadline of the jobs that depend on it', async () => {
    const site = await startedSite();
    // Standard tasks fill the team’s limit. An idle job on which an urgent job depends starts before the remaining
    // tasks.
    await site.submit({ ref: ref(1), tasks: 40, runS: 20 });
    await site.submit({ ref: ref(2), tasks: 2, runS: 5, rank: 'idle' });
    await site.submit({ ref: ref(3), runS: 5, rank: 'urgent', awaits: [ref(2)], dueS: 60 });
    await runUntil(site, () => site.store.value(`open/${ref(3)}`) === undefined, 70);
    expect(site.runningTaskCount(ref(1))).toBeGreaterThan(0);
    await expectTrace('pipeline-priority', site);
  });

  it('may contain a job with more dependencies than fit into one record', async () => {
    const site = new SimulatedSite({
      teamCpuLimits: { red: 4000, blue: 4000 },
      heartbeatIntervalS: 3,
      nodes: 3,
      next: { value_kb: 1 },
    });
    site.startAll();
    await site.run(1);
    const dependencyRefs: string[] = [];
    for (let n = 1; n <= 150; n++) {
      while ((await site.submit({ ref: ref(n), cpus: 1, runS: 3 })) === 503) await site.run(0.2);
      dependencyRefs.push(ref(n));
    }
    while ((await site.submit({ ref: ref(500), runS: 3, awaits: dependencyRefs })) === 503)
      await site.run(0.2);
    const dependencyRecordKeys = (): string[] =>
      [...site.store.keys.keys()].filter((key) => key.startsWith('deps/'));
    expect(dependencyRecordKeys().length).toBeGreaterThan(1);
    // A successor reads all dependencies from the records.
    site.crash(site.leader as string);
    await runUntil(site, () => site.store.value(`open/${ref(500)}`) === undefined, 200);
    await site.run(5);
    expect(await site.query(ref(500), site.leader as string)).toBe('done');
    expect(dependencyRecordKeys()).toEqual([]);
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  });

  it('causes store load in proportion to the affected dependencies: a fan-out of 800 and a chain of 200', async () => {
    const site = new SimulatedSite({
      teamCpuLimits: { red: 4000, blue: 4000 },
      heartbeatIntervalS: 6,
      nodes: 3,
    });
    site.startAll();
    await site.run(1);
    const submitUntilAccepted = async (request: Parameters<SimulatedSite['submit']>[0]): Promise<void> => {
      while ((await site.submit(request)) === 503) await site.run(0.2);
    };
    await submitUntilAccepted({ ref: ref(1), runS: 400 });
    for (let n = 2; n <= 200; n++)
      await submitUntilAccepted({ ref: ref(n), awaits: [ref(n - 1)], rank: 'idle' });
    await submitUntilAccepted({ ref: ref(201), awaits: [ref(200)], rank: 'urgent', dueS: 900 });
    for (let n = 1000; n < 1800; n++) await submitUntilAccepted({ ref: ref(n), awaits: [ref(1)] });
    await site.run(2);
    const before = { requests: site.store.requestCount, writes: site.store.writeCount };
    await site.run(10);
    // Waiting jobs cause no requests. The limit leaves room for the leader's lease renewals; watches are not counted.
    expect(site.store.requestCount - before.requests).toBeLessThan(150);
    expect(await site.cancel(ref(1))).toBe('cancelled');
    await site.run(38);
    expect(await site.query(ref(201), 'node-1')).toBe('cancelled');
    expect(await site.query(ref(1799), 'node-2')).toBe('cancelled');
    // Each job that is cancelled with the first one takes two writes.
    expect(site.store.writeCount - before.writes).toBeLessThan(2 * 1001 + 50);
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  }, 60_000);
});
