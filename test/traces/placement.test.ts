import { describe, expect, it } from 'vitest';
import type { MachineId } from '../../src/model/ids.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { runUntil } from './steps.js';

/**
 * Returns a site whose machines boot in 1 s but appear in the cloud’s list only after 60 s. Until then, a controller
 * that did not rent a machine itself learns of the machine only from heartbeats and records.
 */
async function siteWithLateList(): Promise<SimulatedSite> {
  const site = new SimulatedSite(MIXED_SITE);
  site.cloud.bootMs = 1000;
  site.cloud.listLagMs = 60_000;
  site.startAll();
  await site.run(1);
  return site;
}

/** Stops the delivery of heartbeats from the machine that runs a task, and returns the machine. */
function startOutboundPartition(site: SimulatedSite, task: string): MachineId {
  const host = site.machineOf(task);
  site.trace(`network    takes ${host} to no controller any more`);
  site.outboundPartitioned.add(host);
  return host;
}

/**
 * Kills the leader and removes the machine from the fleet records, as if the leader had had no write budget left
 * for the records; resolves once another controller leads.
 */
async function crashLeaderBeforeRecording(site: SimulatedSite, host: MachineId): Promise<void> {
  site.crash(site.leader as string);
  for (const [key, entry] of site.store.keys) {
    if (!key.startsWith('fleet/')) continue;
    const machines = (entry.value as { m: [MachineId][] }).m;
    entry.value = { m: machines.filter(([id]) => id !== host) };
  }
  await runUntil(site, () => site.leader !== undefined, 10);
}

/** Leaves `count` machines to rent in each of the given pools, and none in the other pools. */
function setAvailablePools(site: SimulatedSite, pools: readonly string[], count = 20): void {
  for (const type of MIXED_SITE.types ?? [])
    for (const zone of type.zones)
      for (const kind of ['spot', 'ordinary']) {
        const pool = `${type.id}|${zone}|${kind}`;
        site.cloud.remainingCapacity.set(pool, pools.includes(pool) ? count : 0);
      }
}

/** Prints the trace if the environment variable SHOW_DAY is set. */
const printTraceIfRequested = (site: SimulatedSite): void => {
  if (process.env['SHOW_DAY']) process.stderr.write(site.traceText);
};

// Guards against issue 30: properties that a new leader guesses for a machine without a record must not affect
// placement.
describe('a machine that is known only from the records of its tasks', () => {
  it('does not count with its guessed zone for zone affinity: tasks wait until the zone is known', async () => {
    const site = await siteWithLateList();
    setAvailablePools(site, ['small|south|ordinary'], 1);
    await site.submit({ ref: 'j-000002', kind: 'service', cpus: 4, zone: 'south' });
    await runUntil(site, () => site.runningTaskCount('j-000002') === 1);
    setAvailablePools(site, ['small|north|ordinary', 'small|west|ordinary'], 1);
    await site.submit({ ref: 'j-000004', tasks: 4, zone: 'north', team: 'blue', runS: 5 });
    await site.submit({ ref: 'j-000005', tasks: 4, zone: 'west', team: 'blue', runS: 5 });
    await runUntil(site, () => site.runningTaskCount('j-000004') + site.runningTaskCount('j-000005') === 8);
    // Only the zone south has free capacity, for two of the tasks; the others wait.
    await site.submit({ ref: 'j-000003', tasks: 4, samePlace: true, runS: 40 });
    await runUntil(site, () => site.runningTaskCount('j-000003') === 2);
    const host = site.machineOf('j-000003/0');
    expect(site.machineOf('j-000002/0')).toBe(host);
    startOutboundPartition(site, 'j-000003/0');
    await crashLeaderBeforeRecording(site, host);
    await site.run(14);
    site.outboundPartitioned.clear();
    await site.run(120);
    printTraceIfRequested(site);
    expect(site.rules.violations).toEqual([]);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
  });

  it('is not recorded with guessed properties, which a later leader would take for facts', async () => {
    const site = await siteWithLateList();
    setAvailablePools(site, ['large|south|ordinary']);
    await site.submit({ ref: 'j-000003', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000003') === 1);
    const host = startOutboundPartition(site, 'j-000003/0');
    await crashLeaderBeforeRecording(site, host);
    // The rental of a machine makes the second leader write the fleet records.
    setAvailablePools(site, ['small|west|ordinary']);
    await site.submit({ ref: 'j-000012', team: 'blue', types: ['small'], runS: 60 }, site.leader);
    await runUntil(site, () => site.runningTaskCount('j-000012') === 1);
    site.crash(site.leader as string);
    site.outboundPartitioned.clear();
    await runUntil(site, () => site.leader !== undefined, 10);
    await site.run(4);
    await site.submit({ ref: 'j-000020', tasks: 3, spot: true, types: ['small'], runS: 5 }, site.leader);
    await site.run(40);
    printTraceIfRequested(site);
    expect(site.rules.violations).toEqual([]);
    expect(await site.query('j-000020', site.leader as string)).toBe('done');
  });
});

// Guards against machines that are rented for fewer of a job's constraints than placement checks (found with issue 30).
describe('tasks with zone affinity or anti-affinity', () => {
  it('with anti-affinity get machines in another zone, instead of more machines in the zone that allows no more tasks', async () => {
    const site = await siteWithLateList();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6, cpus: 6, apart: true, spot: true });
    await runUntil(site, () => site.runningTaskCount('j-000001') >= 3);
    await site.run(30);
    printTraceIfRequested(site);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    expect(site.cloud.machines.size).toBeLessThan(8);
  });

  it('with affinity get machines in the zone of the first tasks', async () => {
    const site = await siteWithLateList();
    await site.submit({ ref: 'j-000002', cpus: 6, zone: 'west', spot: true, runS: 200 });
    await runUntil(site, () => site.runningTaskCount('j-000002') === 1);
    await site.submit({ ref: 'j-000001', tasks: 6, cpus: 2, samePlace: true, spot: true, runS: 200 });
    await site.run(30);
    printTraceIfRequested(site);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    expect(site.cloud.machines.size).toBeLessThan(8);
  });
});
