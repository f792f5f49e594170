import { describe, expect, it } from 'vitest';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import type { JobRequest } from '../simulation/site-setup.js';
import { runUntil } from './steps.js';

/** The time for which a job may wait while a machine that fits has room (hunt/LATER.md). */
const MAX_WAIT_S = 90;
const POOLS = ['north', 'south'].flatMap((zone) => [`small|${zone}|ordinary`, `small|${zone}|spot`]);

interface SiteOptions {
  readonly machineCount?: number;
  /** Whether a service takes 5 of the 8 CPUs of each machine. */
  readonly hasServices?: boolean;
}

const machineOf = (id: string): Machine => ({
  id: id as MachineId,
  type: 'small' as MachineTypeId,
  zone: 'north' as ZoneId,
  spot: false,
});

/** Starts a site whose machines are up, and whose cloud provides no more. */
async function fullyRentedSite({
  machineCount = 2,
  hasServices = true,
}: SiteOptions = {}): Promise<SimulatedSite> {
  const site = new SimulatedSite();
  for (const pool of POOLS) site.cloud.remainingCapacity.set(pool, 0);
  const numbers = Array.from({ length: machineCount }, (_, index) => index + 1);
  for (const number of numbers) site.cloud.addRunningMachine(machineOf(`host-00000${number}`));
  site.startAll();
  await site.run(2);
  if (!hasServices) return site;
  const services = numbers.map((number) => `j-00000${number}`);
  for (const ref of services) await site.submit({ ref, kind: 'service', cpus: 5 });
  await runUntil(site, () => services.every((ref) => site.runningTaskCount(ref) === 1));
  return site;
}

/** Sets whether the machines that are up now fail every task that they start. */
function setFailing(site: SimulatedSite, fails: boolean): void {
  for (const worker of site.workers.values()) worker.failsTasks = fails;
}

async function submitAll(
  site: SimulatedSite,
  refs: readonly string[],
  request: Partial<JobRequest> = {},
): Promise<void> {
  for (const ref of refs) await site.submit({ ref, team: 'blue', runS: 4, ...request });
}

async function statesOf(site: SimulatedSite, refs: readonly string[]): Promise<string[]> {
  const states: string[] = [];
  for (const ref of refs) states.push(await site.query(ref, site.leader));
  return states;
}

describe('after a spell in which all machines fail their tasks', () => {
  // Guards against cordons of failing machines that hold a service and therefore never become empty (review/2).
  it('a job that was submitted later starts on a machine that was cordoned', async () => {
    const site = await fullyRentedSite();
    setFailing(site, true);
    await submitAll(site, ['j-000101', 'j-000102', 'j-000103', 'j-000104', 'j-000105', 'j-000106']);
    await site.run(12);
    setFailing(site, false);
    await submitAll(site, ['j-000200']);
    await site.run(MAX_WAIT_S);
    expect(await statesOf(site, ['j-000200'])).toEqual(['done']);
  });

  // Guards against the deletion of empty failing machines that the cloud cannot replace.
  it('jobs run on machines without other tasks that were cordoned, since the cloud has no others', async () => {
    const site = await fullyRentedSite({ hasServices: false });
    setFailing(site, true);
    const early = ['j-000101', 'j-000102', 'j-000103', 'j-000104', 'j-000105', 'j-000106'];
    await submitAll(site, early, { cpus: 4 });
    await site.run(12);
    setFailing(site, false);
    await submitAll(site, ['j-000200']);
    await site.run(MAX_WAIT_S);
    const refs = [...early, 'j-000200'];
    expect(await statesOf(site, refs)).toEqual(refs.map(() => 'done'));
  });

  // Guards against empty failing machines that are kept because their own pool refuses, though another pool gives machines.
  it('machines without other tasks are deleted once the cloud has given a machine of another pool', async () => {
    const site = await fullyRentedSite({ hasServices: false });
    site.cloud.remainingCapacity.set('small|south|ordinary', 4);
    setFailing(site, true);
    await submitAll(site, ['j-000101', 'j-000102', 'j-000103', 'j-000104', 'j-000105', 'j-000106'], {
      cpus: 4,
    });
    await site.run(30);
    const kept = ['host-000001', 'host-000002'].filter((id) => site.workers.has(id as MachineId));
    expect(kept).toEqual([]);
  });

  // Guards against jobs that avoid the machines on which they failed for as long as the leader leads.
  it('a job that failed once on each machine that it may use starts there again', async () => {
    const site = await fullyRentedSite();
    setFailing(site, true);
    await submitAll(site, ['j-000101']);
    await site.run(12);
    setFailing(site, false);
    await site.run(MAX_WAIT_S);
    expect(await statesOf(site, ['j-000101'])).toEqual(['done']);
  });
});

describe('beside machines that keep failing tasks', () => {
  // Guards against a job that counts as faulty and is started on the same failing machine again and again.
  it('a job that failed on three machines starts on a machine on which it has not failed', async () => {
    const site = await fullyRentedSite({ machineCount: 3 });
    setFailing(site, true);
    site.cloud.addRunningMachine(machineOf('host-000009'));
    await site.run(5);
    await submitAll(site, ['j-000101']);
    await site.run(MAX_WAIT_S);
    expect(await statesOf(site, ['j-000101'])).toEqual(['done']);
  });

  // Guards against an array that is held back for up to a minute after each failure, though its other tasks succeed.
  it('an array whose tasks succeed on a sound machine continues there at once', async () => {
    const site = await fullyRentedSite({ machineCount: 3 });
    setFailing(site, true);
    site.cloud.addRunningMachine(machineOf('host-000009'));
    await site.run(5);
    // The sound machine runs 4 tasks at a time: 10 rounds of 4 s.
    await submitAll(site, ['j-000101'], { tasks: 40 });
    await site.run(MAX_WAIT_S);
    expect(await statesOf(site, ['j-000101'])).toEqual(['done']);
  });
});
