import { describe, expect, it } from 'vitest';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

describe('a change of leader', () => {
  it('while a team is at its CPU limit, one of its machines hangs, and a job is cancelled', async () => {
    const site = await startedSite();
    // The team may use 24 CPUs: twelve of the tasks run, and four wait.
    await site.submit({ ref: 'j-000001', tasks: 16, runS: 90 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 12);
    await site.submit({ ref: 'j-000002', tasks: 6, runS: 15 });
    const host = site.machineOf('j-000001/0');
    site.cloud.isUnavailable = true;
    site.worker(host).hang();
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    site.crash(oldLeader);
    // Tasks that the hung machine may still run count towards the limit until they have provably ended, even if
    // cancelled.
    expect(await site.cancel('j-000001', otherNode)).toBe('cancelled');
    await site.run(12);
    site.cloud.isUnavailable = false;
    await site.run(6);
    site.workers.get(host)?.resume();
    await site.run(40);
    expect(await site.query('j-000002', otherNode)).toBe('done');
    expect(site.runningTaskCount('j-000001')).toBe(0);
    await expectTrace('takeover-at-limit', site);
  });

  it('between the ends of a job’s three tasks, while the heartbeat that reports one end is delayed', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 3, cpus: 8, runS: 12 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 3);
    const [firstMachine, secondMachine] = [site.machineOf('j-000001/0'), site.machineOf('j-000001/1')];
    // The end of the task on the first machine is not reported; the second machine hangs, and its task ends after
    // the takeover.
    site.outboundPartitioned.add(firstMachine);
    await site.run(6);
    site.worker(secondMachine).hang();
    site.duplicateHeartbeatLater(firstMachine, 9);
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    site.crash(site.leader as string);
    await runUntil(site, () => site.leader !== undefined, 10);
    expect(await site.query('j-000001', site.leader as string)).not.toBe('done');
    site.outboundPartitioned.clear();
    await site.run(4);
    site.workers.get(secondMachine)?.resume();
    const newLeader = site.leader as string;
    await runUntil(site, () => site.store.value('open/j-000001') === undefined, 60);
    await site.run(3);
    expect(await site.query('j-000001', newLeader)).toBe('done');
    await expectTrace('takeover-between-ends', site);
  });

  it('ten times in two minutes, with a cancellation: the cancelled task on a hung machine is still fenced in time', async () => {
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
      // Each leader leads for less than the time after which a machine that still runs a cancelled task is fenced.
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

describe('an invalid request', () => {
  it('gets the same answer with any leader or without one, and no job is accepted before it can be validated', async () => {
    const site = await startedSite();
    const expectErrorAnswers = async (node: string): Promise<void> => {
      expect(await site.submit({ ref: 'j-000090', cpus: 9 }, node)).toBe(422);
      expect(await site.submit({ ref: 'j-000091', team: 'green' }, node)).toBe(422);
      void site.expectRejected({ ref: 'j-000092' }, node, 'shards');
      await site.run(0.2);
      expect(await site.cancel('j-000093', node)).toBe('404');
      expect(await site.query('j-000090', node)).toBe('404');
    };
    await site.submit({ ref: 'j-000001', runS: 2 });
    await runUntil(site, () => site.store.value('open/j-000001') === undefined);
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    await expectErrorAnswers(otherNode);
    site.crash(oldLeader);
    await expectErrorAnswers(otherNode);
    // While no controller leads, a repeated submission and a cancellation of a done job are answered from its record.
    expect(await site.submit({ ref: 'j-000001', cpus: 9 }, otherNode)).toBe(200);
    expect(await site.cancel('j-000001', otherNode)).toBe('done');
    site.machineTypesUnknown = true;
    site.start(oldLeader);
    expect(await site.submit({ ref: 'j-000002' }, oldLeader)).toBe(503);
    expect(await site.submit({ ref: 'j-000094', cpus: 9 }, oldLeader)).toBe(503);
    expect(site.rules.violations).toEqual([]);
  });
});

describe('machines with an outbound partition, which still receive direct commands', () => {
  it('keep tasks of a new incarnation until the lease of that incarnation has expired', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 4, cpus: 4, team: 'blue' });
    await site.submit({ ref: 'j-000002', tasks: 10, runS: 90 });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 4 && site.runningTaskCount('j-000002') === 10,
    );
    // The cloud confirms no deletion, so that only expired leases prove that tasks have ended.
    site.cloud.isUnavailable = true;
    for (const host of site.workers.keys())
      if (site.outboundPartitioned.size < 2) site.outboundPartitioned.add(host);
    // The partition outlasts two incarnations of a worker. A task that a direct command starts in the second
    // incarnation has the lease of that incarnation.
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
