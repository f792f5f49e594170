import { describe, expect, it } from 'vitest';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import type { JobRequest } from '../simulation/site-setup.js';
import { runUntil } from './steps.js';

/** The time for which a job may wait while a machine that fits has room (hunt/LATER.md). */
const MAX_WAIT_S = 90;
const MACHINES = ['host-000000', 'host-000001'] as MachineId[];
const SERVICES = ['j-000001', 'j-000002'];
const POOLS = ['north', 'south'].flatMap((zone) => [`small|${zone}|ordinary`, `small|${zone}|spot`]);

/** Starts a site with two machines and a cloud that provides no more; a service takes 5 of the 8 CPUs of each. */
async function fullyRentedSite({ hasServices = true } = {}): Promise<SimulatedSite> {
  const site = new SimulatedSite();
  for (const pool of POOLS) site.cloud.remainingCapacity.set(pool, 0);
  MACHINES.forEach((id, index) => {
    const zone = (index === 0 ? 'north' : 'south') as ZoneId;
    site.cloud.addRunningMachine({ id, type: 'small' as MachineTypeId, zone, spot: false });
  });
  site.startAll();
  await site.run(2);
  if (!hasServices) return site;
  for (const ref of SERVICES) await site.submit({ ref, kind: 'service', cpus: 5 });
  await runUntil(site, () => SERVICES.every((ref) => site.runningTaskCount(ref) === 1));
  return site;
}

function setFailing(site: SimulatedSite, fails: boolean): void {
  for (const id of MACHINES) site.worker(id).failsTasks = fails;
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
