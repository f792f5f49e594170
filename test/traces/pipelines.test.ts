import { describe, expect, it } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

const ref = (n: number): string => `j-${String(n).padStart(6, '0')}`;

/** Four stages, the last with the deadline of all. */
async function chain(site: SimulatedSite, runS: number): Promise<void> {
  expect(await site.submit({ ref: ref(1), tasks: 2, runS, rank: 'idle' })).toBe(201);
  expect(await site.submit({ ref: ref(2), tasks: 3, runS, rank: 'idle', awaits: [ref(1)] }, 'node-1')).toBe(
    201,
  );
  expect(await site.submit({ ref: ref(3), runS, awaits: [ref(2), ref(2)] }, 'node-2')).toBe(201);
  expect(await site.submit({ ref: ref(4), runS, rank: 'urgent', awaits: [ref(3)], dueS: 120 })).toBe(201);
}

describe('a pipeline of dependent jobs', () => {
  it('runs stage after stage, each as soon as the last task before it is durably done', async () => {
    const site = await startedSite();
    await chain(site, 5);
    expect(await site.query(ref(4), 'node-2')).toBe('pending');
    await runUntil(site, () => site.store.value(`open/${ref(4)}`) === undefined, 80);
    expect(await site.query(ref(4))).toBe('done');
    await expectTrace('pipeline', site);
  });

  it('goes on under a new leader that has only the records, also when a stage ended in between', async () => {
    const site = await startedSite();
    await chain(site, 12);
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 2);
    while (site.store.value(`open/${ref(1)}`) !== undefined) await site.run(0.01);
    // The durable done of the first stage is all that tells the successor that the second may start.
    const old = site.leader as string;
    site.crash(old);
    expect(site.runningTaskCount(ref(2))).toBe(0);
    await runUntil(site, () => site.runningTaskCount(ref(2)) > 0, 40);
    site.start(old);
    await runUntil(site, () => site.store.value(`open/${ref(4)}`) === undefined, 120);
    expect(await site.query(ref(4), old)).toBe('done');
    await expectTrace('pipeline-takeover', site);
  });

  it('is cancelled downwards: all that needs the cancelled job, and what names it later', async () => {
    const site = await startedSite();
    await chain(site, 30);
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 2);
    expect(await site.cancel(ref(1), 'node-1')).toBe('cancelled');
    await site.run(2);
    for (const n of [2, 3, 4]) expect(await site.query(ref(n), 'node-2')).toBe('cancelled');
    expect(await site.submit({ ref: ref(5), awaits: [ref(3)] }, 'node-2')).toBe(201);
    expect(await site.query(ref(5))).toBe('cancelled');
    // Repeats are answered from the record, whatever they say.
    expect(await site.submit({ ref: ref(5), awaits: [ref(99)] })).toBe(200);
    expect(site.store.value(`open/${ref(2)}`)).toBe(undefined);
    await expectTrace('pipeline-cancelled', site);
  });

  it('goes on when the cancellation is answered with done', async () => {
    const site = await startedSite();
    await site.submit({ ref: ref(1), runS: 3 });
    await site.submit({ ref: ref(2), runS: 3, awaits: [ref(1)] });
    await runUntil(site, () => site.store.value(`open/${ref(1)}`) === undefined);
    expect(await site.cancel(ref(1))).toBe('done');
    await site.run(20);
    expect(await site.query(ref(2))).toBe('done');
  });

  it('is never reported as pending once a cancellation’s limit has passed, though no leader could write it', async () => {
    const site = await startedSite();
    await chain(site, 200);
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 2);
    // The leader is away before it hears of it, and state is out for longer than a cancellation has.
    const old = site.leader as string;
    const other = site.nodes.find((node) => node !== old) as string;
    site.store.refusedClients.add(old);
    site.isolatedNodes.add(old);
    expect(await site.cancel(ref(1), other)).toBe('cancelled');
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(60);
    for (const name of site.nodes) site.crash(name);
    site.isolatedNodes.clear();
    site.store.refusedClients.clear();
    site.store.isUnavailable = false;
    site.trace('state      is back');
    site.startAll();
    // Asked before anybody leads: the checker counts any `pending` as orphaned.
    await site.run(0.05);
    for (const n of [4, 3, 2]) await site.query(ref(n), other);
    await site.run(10);
    for (const n of [2, 3, 4]) expect(await site.query(ref(n), old)).toBe('cancelled');
    await expectTrace('pipeline-orphans', site);
  });

  it('is cancelled with a job whose cancellation the accepting node did not know', async () => {
    const site = await startedSite();
    await site.submit({ ref: ref(1), runS: 200 });
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 1);
    // The cancelled task's machine hangs, so the leader still holds the job while the next one joins.
    site.worker(site.machineOf(`${ref(1)}/0`)).hang();
    expect(await site.query(ref(1), 'node-2')).toBe('pending');
    expect(await site.cancel(ref(1), 'node-1')).toBe('cancelled');
    expect(await site.submit({ ref: ref(2), awaits: [ref(1)] }, 'node-2')).toBe(201);
    expect(await site.submit({ ref: ref(3), awaits: [ref(2)] }, 'node-2')).toBe(201);
    // Nobody asks: the leader alone writes it down, long before the limit of a cancellation.
    await site.run(3);
    for (const n of [2, 3]) expect(site.store.value(`job/${ref(n)}`)).toMatchObject({ s: 'c' });
    expect(site.runningTaskCount(ref(1))).toBe(1);
    await expectTrace('pipeline-joins-cancelled', site);
  });

  it('takes nothing that can never start, or that a leader of an earlier version would start too early', async () => {
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

  it('gives each stage the priority and the latest end of what needs it', async () => {
    const site = await startedSite();
    // The team is full of standard work; an idle stage under an urgent job goes before it.
    await site.submit({ ref: ref(1), tasks: 40, runS: 20 });
    await site.submit({ ref: ref(2), tasks: 2, runS: 5, rank: 'idle' });
    await site.submit({ ref: ref(3), runS: 5, rank: 'urgent', awaits: [ref(2)], dueS: 60 });
    await runUntil(site, () => site.store.value(`open/${ref(3)}`) === undefined, 70);
    expect(site.runningTaskCount(ref(1))).toBeGreaterThan(0);
    await expectTrace('pipeline-priority', site);
  });

  it('may name more jobs than one record has room for', async () => {
    const site = new SimulatedSite({
      limit: { red: 4000, blue: 4000 },
      reportS: 3,
      nodes: 3,
      next: { value_kb: 1 },
    });
    site.startAll();
    await site.run(1);
    const named: string[] = [];
    for (let n = 1; n <= 150; n++) {
      while ((await site.submit({ ref: ref(n), cpus: 1, runS: 3 })) === 503) await site.run(0.2);
      named.push(ref(n));
    }
    while ((await site.submit({ ref: ref(500), runS: 3, awaits: named })) === 503) await site.run(0.2);
    const lists = (): string[] => [...site.store.keys.keys()].filter((key) => key.startsWith('deps/'));
    expect(lists().length).toBeGreaterThan(1);
    // A successor has them from the records, too.
    site.crash(site.leader as string);
    await runUntil(site, () => site.store.value(`open/${ref(500)}`) === undefined, 200);
    await site.run(5);
    expect(await site.query(ref(500), site.leader as string)).toBe('done');
    expect(lists()).toEqual([]);
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  });

  it('costs what the edges touched cost: a fan of 800 and a chain of 200', async () => {
    const site = new SimulatedSite({ limit: { red: 4000, blue: 4000 }, reportS: 6, nodes: 3 });
    site.startAll();
    await site.run(1);
    const take = async (wish: Parameters<SimulatedSite['submit']>[0]): Promise<void> => {
      while ((await site.submit(wish)) === 503) await site.run(0.2);
    };
    await take({ ref: ref(1), runS: 400 });
    for (let n = 2; n <= 200; n++) await take({ ref: ref(n), awaits: [ref(n - 1)], rank: 'idle' });
    await take({ ref: ref(201), awaits: [ref(200)], rank: 'urgent', dueS: 900 });
    for (let n = 1000; n < 1800; n++) await take({ ref: ref(n), awaits: [ref(1)] });
    await site.run(2);
    const before = { requests: site.store.requestCount, writes: site.store.writeCount };
    await site.run(10);
    // What waits is asked of nobody: the leader's renewals and watches alone.
    expect(site.store.requestCount - before.requests).toBeLessThan(150);
    expect(await site.cancel(ref(1))).toBe('cancelled');
    await site.run(38);
    expect(await site.query(ref(201), 'node-1')).toBe('cancelled');
    expect(await site.query(ref(1799), 'node-2')).toBe('cancelled');
    // Two writes a job that falls with it.
    expect(site.store.writeCount - before.writes).toBeLessThan(2 * 1001 + 50);
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  }, 60_000);
});
