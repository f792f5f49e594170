/**
 * Guards against a hung machine that keeps a task beyond the time limit of the task's confirmed cancellation, so
 * that the task continues when the machine resumes. 41 s after the confirmation the rule checker reports
 * `ran_cancelled: j-000002 is still on a machine`, and no machine is deleted during the store outage.
 *
 * The leader is isolated from the store and from the other controllers, so the leader does not learn of the
 * cancellation. The controller that confirmed the cancellation knows no placements, and no other leader can be
 * elected during the outage. A responsive worker ends its tasks when its lease expires, but a hung worker does not,
 * and no controller that may delete the machine knows of the cancellation.
 */
import { describe, expect, it } from 'vitest';
import { CANCEL_S } from '../simulation/site-setup.js';
import { runUntil, startedSite } from './steps.js';

describe('a leader that is cut off from the store and its peers, then a store outage', () => {
  it('leaves no cancelled task on a machine that hangs', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', team: 'blue' });
    await site.submit({ ref: 'j-000002', tasks: 3, runS: 200 });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 1 && site.runningTaskCount('j-000002') === 3,
    );
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    const hungMachine = site.machineOf('j-000002/0');
    site.isolatedNodes.add(oldLeader);
    site.store.refusedClients.add(oldLeader);
    site.worker(hungMachine).hang();
    await site.run(1);
    expect(await site.cancel('j-000002', otherNode)).toBe('cancelled');
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(CANCEL_S + 1);
    site.rules.checkCancelled(site.clock.now());
    expect(site.rules.violations).toEqual([]);
    // After the store and the network have recovered, the job that was not cancelled keeps running.
    site.store.isUnavailable = false;
    site.store.refusedClients.clear();
    site.isolatedNodes.clear();
    site.workers.get(hungMachine)?.resume();
    await site.run(60);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
