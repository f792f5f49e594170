import { describe, expect, it } from 'vitest';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

describe('a machine with an inbound partition', () => {
  it('gets no new tasks, and its replicas move before its lease expires', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const host = site.machineOf('j-000001/0');
    site.trace(`network    brings nothing to ${host} any more, only from it`);
    site.inboundPartitioned.add(host);
    const before = site.clock.now();
    await site.submit({ ref: 'j-000002', tasks: 3, runS: 4, team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 2 && site.machineOf('j-000001/0') !== host,
    );
    // lease 20 s: its reports went on, but they showed no answer of ours
    expect(site.clock.now() - before).toBeLessThan(60_000);
    await runUntil(site, () => site.store.value('open/j-000002') === undefined);
    await expectTrace('one-way-replicas', site);
  });

  it('is detected by its own heartbeats when only an array runs on it', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 2, cpus: 2, runS: 90 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const host = site.machineOf('j-000001/0');
    site.trace(`network    brings nothing to ${host} any more, only from it`);
    site.inboundPartitioned.add(host);
    const before = site.clock.now();
    // The first start sent there has no effect; what comes after it goes elsewhere or waits.
    await site.submit({ ref: 'j-000002', team: 'blue', runS: 10 });
    await site.run(4);
    await site.submit({ ref: 'j-000003', team: 'blue', tasks: 5, runS: 30 });
    await site.run(4);
    expect(JSON.stringify(site.store.value('open/j-000003/0000') ?? null)).not.toContain(host);
    await runUntil(site, () => !site.cloud.machines.has(host));
    expect(site.clock.now() - before).toBeLessThan(20_000);
    await site.run(150);
    expect(await site.query('j-000003')).toBe('done');
    expect(await site.query('j-000001')).toBe('done');
    await expectTrace('one-way-array', site);
  });

  it('lets a cancellation take effect by fencing', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 2, runS: 300 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    site.inboundPartitioned.add(site.machineOf('j-000001/0'));
    expect(await site.cancel('j-000001')).toBe('cancelled');
    // the limit is 40 s
    await site.run(39);
    expect(site.runningTaskCount('j-000001')).toBe(0);
    await expectTrace('one-way-cancel', site);
  });

  it('is detected by a new leader, too', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const host = site.machineOf('j-000001/0');
    site.inboundPartitioned.add(host);
    site.crash(site.leader as string);
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 1 && site.machineOf('j-000001/0') !== host,
    );
    await expectTrace('one-way-takeover', site);
  });
});

describe('late duplicates of heartbeats', () => {
  it('restore no machine, confirm nothing and extend no lease, under any leader', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    const host = site.machineOf('j-000001/0');
    for (const delayS of [2, 9, 30, 75]) site.duplicateHeartbeatLater(host, delayS);
    await site.run(1);
    site.killMachine(host);
    await site.run(25);
    site.crash(site.leader as string);
    await site.run(10);
    // The leader's book holds what there is: nothing was adopted on the word of a copy.
    expect(site.fleetSize).toBe(site.cloud.machines.size);
    await site.run(50);
    expect(site.fleetSize).toBe(site.cloud.machines.size);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    await expectTrace('late-copies', site);
  });
});

describe('duplicates of requests that were carried out', () => {
  it('start no task again, however late they are, before and after a forget command', async () => {
    const site = await startedSite();
    site.repeatCommands(9);
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await site.submit({ ref: 'j-000002', tasks: 4, runS: 5 });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 2 && site.runningTaskCount('j-000002') === 4,
    );
    // Stopped for production work and started again elsewhere: the first attempts are cleared by then.
    const sick = site.worker(site.machineOf('j-000001/0'));
    sick.failsTasks = true;
    await site.submit({ ref: 'j-000003', tasks: 3, runS: 12, team: 'blue' });
    await site.run(7);
    sick.failsTasks = false;
    await site.submit({ ref: 'j-000004', tasks: 2, runS: 60, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000004') === 2);
    expect(await site.cancel('j-000004')).toBe('cancelled');
    await site.run(50);
    expect(await site.query('j-000003')).toBe('done');
    await expectTrace('repeated-commands', site);
  });
});

describe('duplicates of requests to the key-value store, the cloud and the users’ interface', () => {
  it('change nothing: no older record returns, nothing is rented or accepted twice', async () => {
    const site = await startedSite();
    site.trace('network    delivers every commit, rental and deletion once more, 45 s later');
    site.store.duplicateDelayMs = 45_000;
    site.cloud.duplicateDelayMs = 45_000;
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 3 });
    await site.submit({ ref: 'j-000002', tasks: 8, runS: 6, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 3);
    await site.submit({ ref: 'j-000003', tasks: 2, runS: 40 });
    expect(await site.cancel('j-000003')).toBe('cancelled');
    expect(await site.submit({ ref: 'j-000003', tasks: 2, runS: 40 })).toBe(200);
    expect(await site.cancel('j-000003', 'node-1')).toBe('cancelled');
    await site.run(50);
    expect(await site.query('j-000002')).toBe('done');
    expect(await site.cancel('j-000002', 'node-2')).toBe('done');
    await site.run(12);
    // What a successor reads is what there is.
    const recorded = JSON.stringify(site.store.value('fleet/0000'));
    expect([...site.cloud.machines.keys()].every((id) => recorded.includes(id))).toBe(true);
    expect(recorded.split('host-').length - 1).toBe(2 * site.cloud.machines.size);
    site.crash(site.leader as string);
    await site.run(20);
    expect(site.fleetSize).toBe(site.cloud.machines.size);
    expect(site.runningTaskCount('j-000001')).toBe(3);
    await expectTrace('repeated-writes', site);
  });
});

describe('a controller that reaches its workers only', () => {
  it('hands them over to its successor if it leads', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const old = site.leader as string;
    const other = site.nodes.find((node) => node !== old) as string;
    site.trace(`network    leaves ${old} its workers only`);
    site.store.refusedClients.add(old);
    site.isolatedNodes.add(old);
    await site.run(8);
    expect(site.leader).not.toBe(old);
    await site.submit({ ref: 'j-000002', tasks: 2, runS: 5 }, other);
    await site.run(40);
    expect(await site.query('j-000002', other)).toBe('done');
    expect(site.runningTaskCount('j-000001')).toBe(2);
    site.trace(`network    lets ${old} at the others again`);
    site.store.refusedClients.delete(old);
    site.isolatedNodes.delete(old);
    await site.run(10);
    expect(await site.query('j-000002', old)).toBe('done');
    await expectTrace('leader-alone', site);
  });

  it('redirects them within their lease if it follows, and users find another node', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    // Every worker begins with the first node; it leads or follows.
    site.crash('node-0');
    await site.run(6);
    site.start('node-0');
    const follower = site.nodes.find((node) => node !== site.leader && node !== 'node-0') as string;
    site.trace(`network    leaves ${follower} its workers only`);
    site.store.refusedClients.add(follower);
    site.isolatedNodes.add(follower);
    await site.run(45);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    expect(await site.query('j-000001', site.leader as string)).toBe('pending');
    await expectTrace('follower-alone', site);
  });

  it('deletes no machine while its lease is not valid', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    const old = site.leader as string;
    const host = site.machineOf('j-000001/0');
    // Nobody succeeds it: the state service is out for all, and one machine is out of its reach.
    site.store.isUnavailable = true;
    site.trace('state      is out');
    site.cutLinks.add(`${old} ${host}`);
    await site.run(2.6);
    const machines = site.cloud.machines.size;
    await site.run(9);
    expect(site.cloud.machines.size).toBe(machines);
    site.cutLinks.clear();
    site.store.isUnavailable = false;
    site.trace('state      is back');
    await site.run(20);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    await expectTrace('unsure-leader', site);
  });
});

describe('a paused controller whose clocks continue', () => {
  it('detects that another leads, with decisions, commands and deletions under way', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 4 });
    await site.submit({ ref: 'j-000002', tasks: 4, runS: 25, team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 4 && site.runningTaskCount('j-000002') === 4,
    );
    const old = site.leader as string;
    const other = site.nodes.find((node) => node !== old) as string;
    // A start is being committed, a machine has just died, a report is about to be answered.
    await site.submit({ ref: 'j-000003', kind: 'service', tasks: 2, team: 'blue' }, other);
    site.killMachine(site.machineOf('j-000001/0'));
    await site.run(1.9);
    site.pause(old, 14);
    await site.run(1);
    expect(await site.cancel('j-000002', other)).toBe('cancelled');
    await site.run(12);
    const follows = site.nodes.filter((node) => node !== old && site.isLeading(node));
    expect(follows.length).toBe(1);
    await site.run(20);
    // No flap: the one that has followed still leads.
    expect(site.leader).toBe(follows[0]);
    expect(site.runningTaskCount('j-000001')).toBe(4);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.runningTaskCount('j-000003')).toBe(2);
    expect(await site.query('j-000002', old)).toBe('cancelled');
    await expectTrace('standing-still', site);
  });

  it('gives no answer that was read before the pause', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const slow = site.nodes.find((node) => node !== site.leader) as string;
    const asked = site.query('j-000001', slow);
    // What the state service answers lies unread meanwhile.
    site.clock.after(3, () => site.pause(slow, 1.9));
    expect(await asked).toBe('503');
  });
});

describe('immediate restarts', () => {
  it('of a leader within a fraction of a second, and again during its own election', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 4, runS: 20 });
    await site.submit({ ref: 'j-000002', kind: 'service', team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 4 && site.runningTaskCount('j-000002') === 1,
    );
    const old = site.leader as string;
    site.crash(old);
    await site.run(0.2);
    site.start(old);
    // Its takeover is on its way when it ends again; it is applied while the next start stands.
    site.store.nextCommitDelayMs.set(old, 300);
    await site.run(0.05);
    site.crash(old);
    await site.run(0.1);
    site.start(old);
    await site.run(40);
    expect(await site.query('j-000001')).toBe('done');
    expect(site.runningTaskCount('j-000002')).toBe(1);
    await expectTrace('back-in-election', site);
  });

  it('of all controllers keep a job that was accepted just before', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 2, runS: 5 });
    for (const name of site.nodes) site.crash(name);
    await site.run(0.3);
    site.startAll();
    await site.run(60);
    expect(await site.query('j-000001')).toBe('done');
    await expectTrace('all-back-at-once', site);
  });

  it('of a worker’s machine begin a new incarnation', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    site.worker(site.machineOf('j-000001/0')).restart();
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    await expectTrace('worker-back', site);
  });
});

describe('many submissions at once', () => {
  it('leave enough requests for the leadership and for starts, and all are accepted in time', async () => {
    const site = await startedSite();
    // What the sites' settings say: 200 requests and 60 changes a second.
    site.store.rateLimits = {
      requests: new TokenBucket(site.clock, 200, 200),
      writes: new TokenBucket(site.clock, 60, 60),
    };
    const waiting = Array.from({ length: 450 }, (_, i) => `j-${String(i).padStart(6, '0')}`);
    const begin = site.clock.now();
    let turn = 0;
    const attempt = async (ref: string): Promise<void> => {
      const node = site.nodes[turn++ % site.nodes.length] as string;
      const status = await site.submitConcurrently({ ref, team: 'blue', runS: 5 }, node);
      if (status !== 201) site.clock.after(1000 + (turn % 7) * 150, () => void attempt(ref));
    };
    const first = site.store.value('epoch');
    for (const ref of waiting) void attempt(ref);
    while (site.acceptedCount < waiting.length && site.clock.now() - begin < 60_000) await site.run(1);
    expect(site.acceptedCount).toBe(waiting.length);
    // Guards against renewals that were refused until the grant ended.
    expect(site.store.value('epoch')).toEqual(first);
    expect(site.rules.startCount).toBeGreaterThan(10);
    expect(site.rules.violations).toEqual([]);
  });
});

describe('a full cluster', () => {
  it('starts low-priority work within four minutes, however much has precedence', async () => {
    const site = await startedSite();
    for (const zone of ['north', 'south']) site.cloud.remainingCapacity.set(`small|${zone}|ordinary`, 1);
    const low = { ref: 'j-900000', rank: 'idle', team: 'blue', tasks: 8, cpus: 2, runS: 20 };
    // Two machines of 8 CPUs; each wave fills them for as long as the next one takes to come.
    let wave = 0;
    await site.submit({ ref: `j-${wave++}`, rank: 'urgent', team: 'blue', tasks: 16, runS: 20 });
    await site.run(5);
    await site.submit(low);
    while (site.clock.now() < 240_000 && site.runningTaskCount(low.ref) === 0) {
      await site.submit({ ref: `j-${wave++}`, rank: 'urgent', team: 'blue', tasks: 10, runS: 20 });
      await site.run(15);
    }
    expect(site.runningTaskCount(low.ref)).toBeGreaterThan(0);
    expect(site.clock.now()).toBeLessThan(240_000);
  });
});
