import { describe, expect, it } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

/** Longer than a cancellation has (40 s on simulated sites), and than a lease (20 s). */
const OUTAGE_S = 60;

interface Gap {
  readonly site: SimulatedSite;
  readonly old: string;
  readonly other: string;
}

/** A service on a machine of its own and a long array; both run. */
async function running(): Promise<Gap> {
  const site = await startedSite();
  await site.submit({ ref: 'j-000001', kind: 'service', team: 'blue' });
  await site.submit({ ref: 'j-000002', tasks: 3, runS: 200 });
  await runUntil(
    site,
    () => site.runningTaskCount('j-000001') === 1 && site.runningTaskCount('j-000002') === 3,
  );
  const old = site.leader as string;
  const other = site.nodes.find((node) => node !== old) as string;
  return { site, old, other };
}

/** State refuses the leader alone, another controller confirms a cancellation, then state is out for all. */
async function cancelInGap({ site, old, other }: Gap): Promise<void> {
  site.store.refusedClients.add(old);
  site.trace(`state      refuses ${old}`);
  await site.run(1);
  expect(await site.cancel('j-000002', other)).toBe('cancelled');
  await site.run(0.5);
  site.store.isUnavailable = true;
  site.trace('state      is out');
}

async function outageEnds({ site, old }: Gap): Promise<void> {
  site.store.isUnavailable = false;
  site.store.refusedClients.delete(old);
  site.trace('state      is back');
  await site.run(30);
}

describe('the store refuses the leader alone, a cancellation is confirmed elsewhere, and the store fails for all', () => {
  it('the leader learns of it from the confirming controller and stops the tasks without a valid lease; the rest continues', async () => {
    const gap = await running();
    const { site, other } = gap;
    await cancelInGap(gap);
    await site.run(4);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.isLeading(gap.old)).toBe(true);
    await site.run(OUTAGE_S - 4);
    // The others say that they confirmed nothing else: leases live through the outage.
    expect(site.runningTaskCount('j-000001')).toBe(1);
    await outageEnds(gap);
    expect(await site.query('j-000002', other)).toBe('cancelled');
    await expectTrace('gap', site);
  });

  it('a leader that is cut off from its peers as well stops answering: worker leases expire within the limit', async () => {
    const gap = await running();
    const { site, old } = gap;
    site.isolatedNodes.add(old);
    await cancelInGap(gap);
    await site.run(39);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await site.run(OUTAGE_S - 39);
    site.isolatedNodes.delete(old);
    await outageEnds(gap);
    await expectTrace('gap-alone', site);
  });

  it('beside controllers of an older version, which report nothing, leases expire in time', async () => {
    const gap = await running();
    const { site, old } = gap;
    for (const name of site.nodes) if (name !== old) site.earlierVersionNodes.add(name);
    await cancelInGap(gap);
    await site.run(39);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await site.run(OUTAGE_S - 39);
    await outageEnds(gap);
    await expectTrace('gap-old-siblings', site);
  });

  it('if a peer has restarted meanwhile, what it may have confirmed is unknown, and leases expire in time', async () => {
    const gap = await running();
    const { site, old, other } = gap;
    const third = site.nodes.find((node) => node !== old && node !== other) as string;
    // What the confirming controller tells is lost, and so is its memory.
    site.isolatedNodes.add(other);
    await cancelInGap(gap);
    site.crash(other);
    site.isolatedNodes.delete(other);
    site.start(other);
    await site.run(39);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await site.run(OUTAGE_S - 39);
    await outageEnds(gap);
    expect(await site.query('j-000002', third)).toBe('cancelled');
    await expectTrace('gap-restarted-sibling', site);
  });

  it('a machine that hangs with the task is deleted, although no leader has a valid lease', async () => {
    const gap = await running();
    const { site } = gap;
    const host = site.machineOf('j-000002/0');
    site.worker(host).hang();
    await cancelInGap(gap);
    await site.run(35);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.workers.has(host)).toBe(false);
    await site.run(OUTAGE_S - 35);
    await outageEnds(gap);
    await expectTrace('gap-hung-machine', site);
  });

  it('a delayed start is refused when it arrives, because the fencing token was raised', async () => {
    const gap = await running();
    const { site, old, other } = gap;
    // The machine where it will be placed has the image: a start is a start at once.
    await site.submit({ ref: 'j-000004', kind: 'service', team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000004') === 1);
    await site.cancel('j-000004');
    await site.run(5);
    // The order leaves, is held up, and no report's answer brings it another way while starts are allowed.
    for (const host of site.workers.keys()) {
      site.holdCommands(old, host);
      site.outboundPartitioned.add(host);
    }
    await site.submit({ ref: 'j-000003', kind: 'service', team: 'blue' }, other);
    await site.run(0.2);
    // Nobody is sure any more; then the others are served again for a moment, and the leader is not.
    site.store.isUnavailable = true;
    await site.run(4);
    site.outboundPartitioned.clear();
    site.store.refusedClients.add(old);
    site.store.isUnavailable = false;
    expect(await site.cancel('j-000003', other)).toBe('cancelled');
    site.store.isUnavailable = true;
    site.trace('state      is out again');
    await site.run(10);
    const before = site.rules.startCount;
    site.releaseCommands();
    await site.run(5);
    expect(site.rules.startCount).toBe(before);
    await outageEnds(gap);
    await expectTrace('gap-held-start', site);
  });

  it('a successor that has read nothing yet stops the tasks that peers report as cancelled', async () => {
    const gap = await running();
    const { site, old, other } = gap;
    site.store.refusedClients.add(old);
    await site.run(1);
    expect(await site.cancel('j-000002', other)).toBe('cancelled');
    site.crash(old);
    // At the moment of its election: it knows who leads, and no job.
    while (site.leader === undefined) await site.run(0.001);
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(38);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    site.start(old);
    await site.run(OUTAGE_S - 38);
    await outageEnds(gap);
    await expectTrace('gap-successor', site);
  });
});

describe('a successor that is elected just before a store outage', () => {
  it('keeps the work running though it knows no job, stops what is cancelled, and starts nothing', async () => {
    const gap = await running();
    const { site, old, other } = gap;
    // Everybody has been up for longer than a cancellation has.
    await site.run(25);
    site.store.refusedClients.add(old);
    expect(await site.cancel('j-000002', other)).toBe('cancelled');
    while (site.isLeading(old)) await site.run(0.001);
    while (site.leader === undefined) await site.run(0.001);
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(OUTAGE_S);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    const starts = site.rules.startCount;
    await outageEnds(gap);
    // Guards against a new leader that took all it had been shown before it had read the records for strays.
    expect(site.runningTaskCount('j-000001')).toBe(1);
    expect(site.rules.startCount).toBe(starts);
    await expectTrace('gap-elected', site);
  });
});

describe('a store outage for all controllers', () => {
  it('ends no work while every controller reports that it confirmed nothing, however long it lasts', async () => {
    const gap = await running();
    const { site } = gap;
    site.store.isUnavailable = true;
    await site.run(120);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    expect(site.runningTaskCount('j-000002')).toBe(3);
    await outageEnds(gap);
    expect(site.runningTaskCount('j-000002')).toBe(3);
    await expectTrace('long-outage', site);
  });
});
