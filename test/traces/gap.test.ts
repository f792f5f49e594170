import { describe, expect, it } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

/** An outage longer than the time limit of a cancellation (40 s on simulated sites) and than a lease (20 s). */
const OUTAGE_S = 60;

/** A site, its leader, which the key-value store refuses later, and a controller that confirms a cancellation. */
interface RefusedLeaderScenario {
  readonly site: SimulatedSite;
  readonly oldLeader: string;
  readonly otherNode: string;
}

/** Returns a site that runs a service and an array of three tasks of 200 s, before the store refuses the leader. */
async function siteWithRefusableLeader(): Promise<RefusedLeaderScenario> {
  const site = await startedSite();
  await site.submit({ ref: 'j-000001', kind: 'service', team: 'blue' });
  await site.submit({ ref: 'j-000002', tasks: 3, runS: 200 });
  await runUntil(
    site,
    () => site.runningTaskCount('j-000001') === 1 && site.runningTaskCount('j-000002') === 3,
  );
  const oldLeader = site.leader as string;
  const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
  return { site, oldLeader, otherNode };
}

/** Makes the store refuse the leader, cancels a job through another controller, and then starts an outage for all. */
async function cancelAndStartOutage({ site, oldLeader, otherNode }: RefusedLeaderScenario): Promise<void> {
  site.store.refusedClients.add(oldLeader);
  site.trace(`state      refuses ${oldLeader}`);
  await site.run(1);
  expect(await site.cancel('j-000002', otherNode)).toBe('cancelled');
  await site.run(0.5);
  site.store.isUnavailable = true;
  site.trace('state      is out');
}

/** Ends the outage of the store for all controllers, and runs the site for 30 s. */
async function endOutage({ site, oldLeader }: RefusedLeaderScenario): Promise<void> {
  site.store.isUnavailable = false;
  site.store.refusedClients.delete(oldLeader);
  site.trace('state      is back');
  await site.run(30);
}

describe('the store refuses the leader, another controller confirms a cancellation, and the store becomes unavailable to all', () => {
  it('the leader learns of the cancellation from the confirming controller and stops the tasks without a valid leader lease; other jobs continue', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, otherNode } = scenario;
    await cancelAndStartOutage(scenario);
    await site.run(4);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.isLeading(scenario.oldLeader)).toBe(true);
    await site.run(OUTAGE_S - 4);
    // The other controllers report that they confirmed nothing else, so the leader renews leases throughout the outage.
    expect(site.runningTaskCount('j-000001')).toBe(1);
    await endOutage(scenario);
    expect(await site.query('j-000002', otherNode)).toBe('cancelled');
    await expectTrace('gap', site);
  });

  it('a leader that is also isolated from its peers stops answering workers, whose leases expire within the limit', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, oldLeader } = scenario;
    site.isolatedNodes.add(oldLeader);
    await cancelAndStartOutage(scenario);
    await site.run(39);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await site.run(OUTAGE_S - 39);
    site.isolatedNodes.delete(oldLeader);
    await endOutage(scenario);
    await expectTrace('gap-alone', site);
  });

  it('leases expire in time if the other controllers run an older version that reports no cancellations', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, oldLeader } = scenario;
    for (const name of site.nodes) if (name !== oldLeader) site.earlierVersionNodes.add(name);
    await cancelAndStartOutage(scenario);
    await site.run(39);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await site.run(OUTAGE_S - 39);
    await endOutage(scenario);
    await expectTrace('gap-old-siblings', site);
  });

  it('leases expire in time if a peer has restarted and may have confirmed cancellations before its restart', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, oldLeader, otherNode } = scenario;
    const thirdNode = site.nodes.find((node) => node !== oldLeader && node !== otherNode) as string;
    // The confirming controller's message to the leader is lost, and the restart clears that controller's memory.
    site.isolatedNodes.add(otherNode);
    await cancelAndStartOutage(scenario);
    site.crash(otherNode);
    site.isolatedNodes.delete(otherNode);
    site.start(otherNode);
    await site.run(39);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await site.run(OUTAGE_S - 39);
    await endOutage(scenario);
    expect(await site.query('j-000002', thirdNode)).toBe('cancelled');
    await expectTrace('gap-restarted-sibling', site);
  });

  it('a hung machine that runs the task is deleted, although no leader has a valid lease', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site } = scenario;
    const host = site.machineOf('j-000002/0');
    site.worker(host).hang();
    await cancelAndStartOutage(scenario);
    await site.run(35);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.workers.has(host)).toBe(false);
    await site.run(OUTAGE_S - 35);
    await endOutage(scenario);
    await expectTrace('gap-hung-machine', site);
  });

  it('a delayed start is refused when it arrives, because the fencing token was raised', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, oldLeader, otherNode } = scenario;
    // This job makes the machine fetch the image, so that the delayed start command would take effect immediately.
    await site.submit({ ref: 'j-000004', kind: 'service', team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000004') === 1);
    await site.cancel('j-000004');
    await site.run(5);
    // The start command is sent but delayed, and no answer to a heartbeat can deliver the start while starts are
    // allowed.
    for (const host of site.workers.keys()) {
      site.holdCommands(oldLeader, host);
      site.outboundPartitioned.add(host);
    }
    await site.submit({ ref: 'j-000003', kind: 'service', team: 'blue' }, otherNode);
    await site.run(0.2);
    // No controller has a valid leader lease any more; then the store serves the other controllers, but not the leader,
    // until a cancellation is confirmed.
    site.store.isUnavailable = true;
    await site.run(4);
    site.outboundPartitioned.clear();
    site.store.refusedClients.add(oldLeader);
    site.store.isUnavailable = false;
    expect(await site.cancel('j-000003', otherNode)).toBe('cancelled');
    site.store.isUnavailable = true;
    site.trace('state      is out again');
    await site.run(10);
    const startCount = site.rules.startCount;
    site.releaseCommands();
    await site.run(5);
    expect(site.rules.startCount).toBe(startCount);
    await endOutage(scenario);
    await expectTrace('gap-held-start', site);
  });

  it('a successor that has read no records yet stops the tasks that peers report as cancelled', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, oldLeader, otherNode } = scenario;
    site.store.refusedClients.add(oldLeader);
    await site.run(1);
    expect(await site.cancel('j-000002', otherNode)).toBe('cancelled');
    site.crash(oldLeader);
    // The outage begins at the moment of the election, before the new leader has read any job.
    while (site.leader === undefined) await site.run(0.001);
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(38);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    site.start(oldLeader);
    await site.run(OUTAGE_S - 38);
    await endOutage(scenario);
    await expectTrace('gap-successor', site);
  });
});

describe('a successor that is elected just before a store outage', () => {
  it('keeps running tasks without having read the jobs, stops cancelled tasks, and starts none', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site, oldLeader, otherNode } = scenario;
    // Every controller must have been running for longer than the time limit of a cancellation.
    await site.run(25);
    site.store.refusedClients.add(oldLeader);
    expect(await site.cancel('j-000002', otherNode)).toBe('cancelled');
    while (site.isLeading(oldLeader)) await site.run(0.001);
    while (site.leader === undefined) await site.run(0.001);
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(OUTAGE_S);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    const startCount = site.rules.startCount;
    await endOutage(scenario);
    // The test guards against a new leader that stops reported tasks as unknown before it has read their records.
    expect(site.runningTaskCount('j-000001')).toBe(1);
    expect(site.rules.startCount).toBe(startCount);
    await expectTrace('gap-elected', site);
  });
});

describe('a store outage for all controllers', () => {
  it('ends no task while every controller reports that it confirmed no cancellation, even if the outage lasts 120 s', async () => {
    const scenario = await siteWithRefusableLeader();
    const { site } = scenario;
    site.store.isUnavailable = true;
    await site.run(120);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    expect(site.runningTaskCount('j-000002')).toBe(3);
    await endOutage(scenario);
    expect(site.runningTaskCount('j-000002')).toBe(3);
    await expectTrace('long-outage', site);
  });
});
