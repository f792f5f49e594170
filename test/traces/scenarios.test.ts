import { describe, expect, it } from 'vitest';
import type { MachineId } from '../../src/model/ids.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

describe('a site without faults', () => {
  it('rents machines, runs an array within its team’s CPU limit, and deletes the machines', async () => {
    const site = await startedSite();
    // 16 tasks of 2 CPUs exceed the 24 CPUs that the team may use.
    expect(await site.submit({ ref: 'j-000001', tasks: 16, runS: 10 })).toBe(201);
    await site.run(60);
    expect(await site.query('j-000001', 'node-2')).toBe('done');
    await site.run(60);
    await expectTrace('quiet-array', site);
  });

  it('obeys zone affinity (samePlace) and zone anti-affinity (apart)', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 6, samePlace: true, runS: 20 });
    await site.submit({ ref: 'j-000002', team: 'blue', tasks: 5, apart: true, runS: 20 });
    await site.run(80);
    expect(await site.query('j-000001')).toBe('done');
    expect(await site.query('j-000002')).toBe('done');
    await expectTrace('places', site);
  });

  it('rejects jobs that can never run, and recognizes a repeated submission with different content', async () => {
    const site = await startedSite();
    expect(await site.submit({ ref: 'j-000001', cpus: 9 })).toBe(422);
    expect(await site.submit({ ref: 'j-000001', team: 'green' })).toBe(422);
    expect(await site.query('j-000001')).toBe('404');
    expect(await site.submit({ ref: 'j-000001' })).toBe(201);
    expect(await site.submit({ ref: 'j-000001', cpus: 9 })).toBe(200);
  });
});

describe('controller failures', () => {
  it('a successor takes over running tasks without stopping them', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    site.crash(site.leader as string);
    await site.run(12);
    // The test guards against a new leader that treats each machine without a heartbeat so far as a machine that
    // failed to boot.
    expect(site.runningTaskCount('j-000001')).toBe(2);
    await site.submit({ ref: 'j-000002', runS: 5 }, site.leader);
    await site.run(20);
    expect(await site.query('j-000002', site.leader as string)).toBe('done');
    await expectTrace('takeover', site);
  });

  it('no accepted job is lost when all controllers restart', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 3, runS: 15 });
    await site.submit({ ref: 'j-000002', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000002') === 1);
    for (const name of site.nodes) site.crash(name);
    await site.run(4);
    site.startAll();
    await site.run(40);
    expect(await site.query('j-000001')).toBe('done');
    expect(site.runningTaskCount('j-000002')).toBe(1);
    await expectTrace('all-restart', site);
  });

  it('a leader that only the store refuses is replaced, and its delayed transaction has no effect', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    // The old leader's next transaction is executed 30 s late, after the takeover.
    site.store.nextCommitDelayMs.set(oldLeader, 30_000);
    await site.submit({ ref: 'j-000002', runS: 10 }, otherNode);
    site.store.refusedClients.add(oldLeader);
    await site.run(60);
    expect(site.leader).not.toBe(oldLeader);
    expect(await site.query('j-000002', otherNode)).toBe('done');
    await expectTrace('refused-leader', site);
  });
});

describe('a cancellation', () => {
  it('prevents a start whose transaction is in progress', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    // The transaction that starts j-000002 is executed only after the cancellation of j-000002, and must fail.
    const otherNode = site.nodes.find((node) => node !== site.leader) as string;
    site.store.nextCommitDelayMs.set(site.leader as string, 400);
    await site.submit({ ref: 'j-000002', runS: 60 }, otherNode);
    await site.run(0.1);
    expect(await site.cancel('j-000002', otherNode)).toBe('cancelled');
    await site.run(20);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(await site.query('j-000002')).toBe('cancelled');
    await expectTrace('cancel-against-start', site);
  });

  it('has no effect on a job that is done', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', runS: 5 });
    await runUntil(site, () => site.store.value('open/j-000001') === undefined);
    expect(await site.cancel('j-000001')).toBe('done');
    expect(await site.query('j-000001', 'node-2')).toBe('done');
  });

  it('prevents a delayed start command from starting the task again', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const host = site.machineOf('j-000001/0');
    site.holdCommands(site.leader as string, host);
    await site.submit({ ref: 'j-000002', kind: 'service' });
    await site.run(0.3);
    expect(await site.cancel('j-000002')).toBe('cancelled');
    await site.run(45);
    // The direct start command was sent but not answered; the answer to a heartbeat started the task instead. When the
    // command arrives late, the worker must recognize the attempt as ended.
    site.releaseCommands();
    await site.run(10);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await expectTrace('cancel-against-held-run', site);
  });

  it('reaches a task on a machine that hangs, by fencing it', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    site.cloud.isUnavailable = true;
    site.worker(site.machineOf('j-000001/0')).hang();
    expect(await site.cancel('j-000001')).toBe('cancelled');
    await site.run(15);
    site.cloud.isUnavailable = false;
    await site.run(30);
    expect(site.runningTaskCount('j-000001')).toBe(0);
    await expectTrace('cancel-on-hung-machine', site);
  });
});

describe('machine failures', () => {
  it('a dead machine is fenced, and its replica starts once on another machine', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    site.killMachine(site.machineOf('j-000001/0'));
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    await expectTrace('dead-machine', site);
  });

  it('a hung machine that resumes later does not run its task twice', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const host = site.machineOf('j-000001/0');
    const worker = site.worker(host);
    site.cloud.isUnavailable = true;
    worker.hang();
    // Neither the worker nor the cloud answers, so the tasks can restart only after the worker's lease has expired.
    await site.run(19);
    expect(site.rules.machineOf('j-000001/0' as never)).toBe(host);
    worker.resume();
    site.cloud.isUnavailable = false;
    await site.run(60);
    expect(site.runningTaskCount('j-000001')).toBe(2);
    await expectTrace('hung-machine', site);
  });

  it('a machine that fails every task is quarantined, and a job that fails everywhere waits', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const failingWorker = site.worker(site.machineOf('j-000001/0'));
    failingWorker.failsTasks = true;
    await site.submit({ ref: 'j-000002', tasks: 4, runS: 5 });
    await site.submit({ ref: 'j-000003', team: 'blue', alwaysFails: true });
    await site.run(90);
    expect(await site.query('j-000002')).toBe('done');
    expect(await site.query('j-000003')).toBe('pending');
    await expectTrace('sick-machine', site);
  });

  it('machines that fail to boot are replaced, and machines are rented from other pools during a stockout', async () => {
    const site = await startedSite();
    site.cloud.failingBootCount = 1;
    site.cloud.remainingCapacity.set('small|north|ordinary', 1);
    await site.submit({ ref: 'j-000001', runS: 5, cpus: 8 });
    await site.run(120);
    expect(await site.query('j-000001')).toBe('done');
    await expectTrace('dead-boot', site);
  });
});

describe('outages and partitions', () => {
  it('a store outage stops decisions, but no running tasks', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    site.store.isUnavailable = true;
    site.trace('state      is out');
    expect(await site.submit({ ref: 'j-000002', runS: 5 })).toBe(503);
    await site.run(15);
    expect(site.runningTaskCount('j-000001')).toBe(2);
    site.store.isUnavailable = false;
    site.trace('state      is back');
    expect(await site.submit({ ref: 'j-000002', runS: 5 })).toBe(201);
    await site.run(20);
    expect(await site.query('j-000002')).toBe('done');
    await expectTrace('state-outage', site);
  });

  it('a start command that is delivered after its task has ended starts nothing', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const host = site.machineOf('j-000001/0');
    site.holdCommands(site.leader as string, host);
    // The worker receives the start in the answer to a heartbeat, and the task runs and ends; the direct command is
    // still delayed.
    await site.submit({ ref: 'j-000002', tasks: 2, runS: 4 });
    await site.run(25);
    expect(await site.query('j-000002')).toBe('done');
    site.releaseCommands();
    await site.run(10);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    await expectTrace('late-run-order', site);
  });

  it('a leader that receives no heartbeats resigns', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    const oldLeader = site.leader as string;
    for (const host of site.workers.keys()) {
      for (const node of site.nodes) site.cutLinks.add(`${node} ${host}`);
    }
    await site.run(9);
    site.cutLinks.clear();
    await site.run(20);
    expect(site.leader).not.toBe(oldLeader);
    await expectTrace('deaf-leader', site);
  });

  it('an unresponsive machine’s lease counts as expired only after a former leader can no longer have renewed the lease', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 3, cpus: 4 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 3);
    const host: MachineId = site.machineOf('j-000001/0');
    site.cloud.isUnavailable = true;
    for (const node of site.nodes) site.cutLinks.add(`${node} ${host}`);
    site.crash(site.leader as string);
    // The worker ends its tasks when its lease (20 s) expires. The successor counts the lease from the end of the
    // time in which the old leader may still have answered heartbeats after the takeover.
    await site.run(70);
    site.trace('cloud      is back');
    site.cloud.isUnavailable = false;
    await site.run(40);
    expect(site.runningTaskCount('j-000001')).toBe(3);
    await expectTrace('lease-proof', site);
  });
});
