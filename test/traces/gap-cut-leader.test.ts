/**
 * What happens: a machine hangs with a task whose cancellation was confirmed, and keeps it beyond the cancellation's limit;
 * if it goes on, so does the task (`ran_cancelled`).
 *
 * Why: the leader is cut off from the store and from the other controllers, so that nobody tells it of the cancellation; the
 * controller that confirmed it knows no placements; and while the store is out nobody can be elected who would. A worker
 * that runs ends its tasks when its lease expires. One that hangs doesn't, and nobody who may delete it knows that it should.
 *
 * What showed it: `ran_cancelled: j-000002 is still on a machine` 41 s after the confirmation; in the trace no machine is
 * deleted between "state is out" and then.
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
    const old = site.leader as string;
    const other = site.nodes.find((node) => node !== old) as string;
    const machine = site.machineOf('j-000002/0');
    site.isolatedNodes.add(old);
    site.store.refusedClients.add(old);
    site.worker(machine).hang();
    await site.run(1);
    expect(await site.cancel('j-000002', other)).toBe('cancelled');
    site.store.isUnavailable = true;
    site.trace('state      is out');
    await site.run(CANCEL_S + 1);
    site.rules.checkCancelled(site.clock.now());
    expect(site.rules.violations).toEqual([]);
    // Everything is back: what is not cancelled is served.
    site.store.isUnavailable = false;
    site.store.refusedClients.clear();
    site.isolatedNodes.clear();
    site.workers.get(machine)?.resume();
    await site.run(60);
    expect(site.runningTaskCount('j-000001')).toBe(1);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
