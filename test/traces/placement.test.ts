import { describe, expect, it } from 'vitest';
import type { MachineId } from '../../src/model/ids.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { runUntil } from './steps.js';

/** Machines are up after a second and appear in the list long after that: reports and records alone tell of them. */
async function siteWithLateList(): Promise<SimulatedSite> {
  const site = new SimulatedSite(MIXED_SITE);
  site.cloud.bootMs = 1000;
  site.cloud.listLagMs = 60_000;
  site.startAll();
  await site.run(1);
  return site;
}

/** The machine on which a running task is, which no controller hears from now on. */
function silence(site: SimulatedSite, task: string): MachineId {
  const host = site.machineOf(task);
  site.trace(`network    takes ${host} to no controller any more`);
  site.outboundPartitioned.add(host);
  return host;
}

/** The leader ends before it has recorded the machine, as one that has no changes left for machines' records. */
async function endBeforeRecorded(site: SimulatedSite, host: MachineId): Promise<void> {
  site.crash(site.leader as string);
  for (const [key, entry] of site.store.keys) {
    if (!key.startsWith('fleet/')) continue;
    const machines = (entry.value as { m: [MachineId][] }).m;
    entry.value = { m: machines.filter(([id]) => id !== host) };
  }
  await runUntil(site, () => site.leader !== undefined, 10);
}

/** Only these pools have machines left to rent. */
function offers(site: SimulatedSite, pools: readonly string[], count = 20): void {
  for (const type of MIXED_SITE.types ?? [])
    for (const zone of type.zones)
      for (const kind of ['spot', 'ordinary']) {
        const pool = `${type.id}|${zone}|${kind}`;
        site.cloud.remainingCapacity.set(pool, pools.includes(pool) ? count : 0);
      }
}

const showDay = (site: SimulatedSite): void => {
  if (process.env['SHOW_DAY']) process.stderr.write(site.traceText);
};

// Guards against issue 30: what a new leader guesses of a machine that no record names must place nothing.
describe('a machine that is known only from its tasks’ records', () => {
  it('lends its guessed zone to no job: tasks that have to be together wait until it is known', async () => {
    const site = await siteWithLateList();
    offers(site, ['small|south|ordinary'], 1);
    await site.submit({ ref: 'j-000002', kind: 'service', cpus: 4, zone: 'south' });
    await runUntil(site, () => site.runningTaskCount('j-000002') === 1);
    offers(site, ['small|north|ordinary', 'small|west|ordinary'], 1);
    await site.submit({ ref: 'j-000004', tasks: 4, zone: 'north', team: 'blue', runS: 5 });
    await site.submit({ ref: 'j-000005', tasks: 4, zone: 'west', team: 'blue', runS: 5 });
    await runUntil(site, () => site.runningTaskCount('j-000004') + site.runningTaskCount('j-000005') === 8);
    // There is room in the south alone, and for two of its tasks: the others wait.
    await site.submit({ ref: 'j-000003', tasks: 4, samePlace: true, runS: 40 });
    await runUntil(site, () => site.runningTaskCount('j-000003') === 2);
    const host = site.machineOf('j-000003/0');
    expect(site.machineOf('j-000002/0')).toBe(host);
    silence(site, 'j-000003/0');
    await endBeforeRecorded(site, host);
    await site.run(14);
    site.outboundPartitioned.clear();
    await site.run(120);
    showDay(site);
    expect(site.rules.violations).toEqual([]);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
  });

  it('is not recorded as what was guessed of it: the leader after the next would take that for a fact', async () => {
    const site = await siteWithLateList();
    offers(site, ['large|south|ordinary']);
    await site.submit({ ref: 'j-000003', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000003') === 1);
    const host = silence(site, 'j-000003/0');
    await endBeforeRecorded(site, host);
    // A rental makes the second leader write its machines.
    offers(site, ['small|west|ordinary']);
    await site.submit({ ref: 'j-000012', team: 'blue', types: ['small'], runS: 60 }, site.leader);
    await runUntil(site, () => site.runningTaskCount('j-000012') === 1);
    site.crash(site.leader as string);
    site.outboundPartitioned.clear();
    await runUntil(site, () => site.leader !== undefined, 10);
    await site.run(4);
    await site.submit({ ref: 'j-000020', tasks: 3, spot: true, types: ['small'], runS: 5 }, site.leader);
    await site.run(40);
    showDay(site);
    expect(site.rules.violations).toEqual([]);
    expect(await site.query('j-000020', site.leader as string)).toBe('done');
  });
});

// Guards against renting that asks for fewer parts of a job's rule than placement does (found with issue 30).
describe('tasks that must not all be in one zone', () => {
  it('get machines in another zone, not one after the other in the zone that takes no more of them', async () => {
    const site = await siteWithLateList();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6, cpus: 6, apart: true, spot: true });
    await runUntil(site, () => site.runningTaskCount('j-000001') >= 3);
    await site.run(30);
    showDay(site);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    expect(site.cloud.machines.size).toBeLessThan(8);
  });

  it('that have to be together get machines where the first ones are', async () => {
    const site = await siteWithLateList();
    await site.submit({ ref: 'j-000002', cpus: 6, zone: 'west', spot: true, runS: 200 });
    await runUntil(site, () => site.runningTaskCount('j-000002') === 1);
    await site.submit({ ref: 'j-000001', tasks: 6, cpus: 2, samePlace: true, spot: true, runS: 200 });
    await site.run(30);
    showDay(site);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    expect(site.cloud.machines.size).toBeLessThan(8);
  });
});
