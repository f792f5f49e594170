import { describe, expect, it } from 'vitest';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

describe('a change of leader', () => {
  it('while a team is at its limit, some of its machines are unreachable, and a job is cancelled', async () => {
    const site = await startedSite();
    // 24 CPUs for the team: twelve tasks run, and four wait.
    await site.submit({ ref: 'j-000001', tasks: 16, runS: 90 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 12);
    await site.submit({ ref: 'j-000002', tasks: 6, runS: 15 });
    const host = site.machineOf('j-000001/0');
    site.cloud.isUnavailable = true;
    site.worker(host).hang();
    const old = site.leader as string;
    const other = site.nodes.find((node) => node !== old) as string;
    site.crash(old);
    // What the machine that hangs may still run counts, cancelled or not, until it is proven gone.
    expect(await site.cancel('j-000001', other)).toBe('cancelled');
    await site.run(12);
    site.cloud.isUnavailable = false;
    await site.run(6);
    site.workers.get(host)?.resume();
    await site.run(40);
    expect(await site.query('j-000002', other)).toBe('done');
    expect(site.runningTaskCount('j-000001')).toBe(0);
    await expectTrace('takeover-at-limit', site);
  });

  it('between the ends of a job’s three tasks, while the report of one is held back', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 3, cpus: 8, runS: 12 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 3);
    const [first, second] = [site.machineOf('j-000001/0'), site.machineOf('j-000001/1')];
    // The first one's task ends unheard; the second one hangs and ends its own much later.
    site.outboundPartitioned.add(first);
    await site.run(6);
    site.worker(second).hang();
    site.duplicateHeartbeatLater(first, 9);
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    site.crash(site.leader as string);
    await runUntil(site, () => site.leader !== undefined, 10);
    expect(await site.query('j-000001', site.leader as string)).not.toBe('done');
    site.outboundPartitioned.clear();
    await site.run(4);
    site.workers.get(second)?.resume();
    const asked = site.leader as string;
    await runUntil(site, () => site.store.value('open/j-000001') === undefined, 60);
    await site.run(3);
    expect(await site.query('j-000001', asked)).toBe('done');
    await expectTrace('takeover-between-ends', site);
  });

  it('ten times in two minutes, with cancellations: the last leader still fences in time', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 2, runS: 300 });
    await site.submit({ ref: 'j-000002', kind: 'service', tasks: 2, team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 2 && site.runningTaskCount('j-000002') === 2,
    );
    const host = site.machineOf('j-000001/0');
    site.worker(host).hang();
    expect(await site.cancel('j-000001', site.nodes[1])).toBe('cancelled');
    for (let i = 0; i < 10; i++) {
      // Each is there for less time than a cancelled task is given to go.
      const leader = site.leader as string;
      site.crash(leader);
      await site.run(i % 3 === 0 ? 0.2 : 3);
      site.start(leader);
      await site.run(9);
    }
    expect(site.runningTaskCount('j-000001')).toBe(0);
    await site.run(30);
    expect(site.runningTaskCount('j-000002')).toBe(2);
    await expectTrace('ten-leaders', site);
  });
});

describe('bad input', () => {
  it('is answered the same whoever leads, and nothing is accepted that was not decided', async () => {
    const site = await startedSite();
    const check = async (node: string): Promise<void> => {
      expect(await site.submit({ ref: 'j-000090', cpus: 9 }, node)).toBe(422);
      expect(await site.submit({ ref: 'j-000091', team: 'green' }, node)).toBe(422);
      void site.expectRejected({ ref: 'j-000092' }, node, 'shards');
      await site.run(0.2);
      expect(await site.cancel('j-000093', node)).toBe('404');
      expect(await site.query('j-000090', node)).toBe('404');
    };
    await site.submit({ ref: 'j-000001', runS: 2 });
    await runUntil(site, () => site.store.value('open/j-000001') === undefined);
    const old = site.leader as string;
    const other = site.nodes.find((node) => node !== old) as string;
    await check(other);
    site.crash(old);
    await check(other);
    // A repeat of what is done, and its cancellation, say so in the middle of it.
    expect(await site.submit({ ref: 'j-000001', cpus: 9 }, other)).toBe(200);
    expect(await site.cancel('j-000001', other)).toBe('done');
    site.machineTypesUnknown = true;
    site.start(old);
    expect(await site.submit({ ref: 'j-000002' }, old)).toBe(503);
    expect(await site.submit({ ref: 'j-000094', cpus: 9 }, old)).toBe(503);
    expect(site.rules.violations).toEqual([]);
  });
});

describe('machines with an outbound partition, which direct commands reach', () => {
  it('keep tasks of a new incarnation until the lease of that incarnation has expired', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 4, cpus: 4, team: 'blue' });
    await site.submit({ ref: 'j-000002', tasks: 10, runS: 90 });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 4 && site.runningTaskCount('j-000002') === 10,
    );
    // The cloud confirms no delete, so that only leases prove tasks gone.
    site.cloud.isUnavailable = true;
    for (const host of site.workers.keys())
      if (site.outboundPartitioned.size < 2) site.outboundPartitioned.add(host);
    // For longer than two sessions: what a direct order starts in the second one has that one's lease.
    for (let i = 0; i < 9; i++) {
      await site.submit({ ref: `j-00010${i}`, tasks: 2, runS: 60, team: i % 2 === 0 ? 'red' : 'blue' });
      await site.run(6);
    }
    site.outboundPartitioned.clear();
    site.cloud.isUnavailable = false;
    await site.run(240);
    expect(site.runningTaskCount('j-000001')).toBe(4);
    expect(await site.query('j-000002')).toBe('done');
    await expectTrace('mute-sessions', site);
  });
});
