import { describe, expect, it } from 'vitest';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

describe('a machine with an inbound partition', () => {
  it('receives no new tasks, and its replicas start on another machine within 60 s', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const host = site.machineOf('j-000001/0');
    site.trace(`network    brings nothing to ${host} any more, only from it`);
    site.inboundPartitioned.add(host);
    const startedAt = site.clock.now();
    await site.submit({ ref: 'j-000002', tasks: 3, runS: 4, team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 2 && site.machineOf('j-000001/0') !== host,
    );
    // The limit of 60 s includes the machine's lease of 20 s. The machine still sends heartbeats, but they acknowledge
    // no answer from a controller.
    expect(site.clock.now() - startedAt).toBeLessThan(60_000);
    await runUntil(site, () => site.store.value('open/j-000002') === undefined);
    await expectTrace('one-way-replicas', site);
  });

  it('is detected from its own heartbeats if it runs only tasks of an array', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 2, cpus: 2, runS: 90 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const host = site.machineOf('j-000001/0');
    site.trace(`network    brings nothing to ${host} any more, only from it`);
    site.inboundPartitioned.add(host);
    const startedAt = site.clock.now();
    // The first start command that is sent to the machine has no effect; later tasks start on other machines or wait.
    await site.submit({ ref: 'j-000002', team: 'blue', runS: 10 });
    await site.run(4);
    await site.submit({ ref: 'j-000003', team: 'blue', tasks: 5, runS: 30 });
    await site.run(4);
    expect(JSON.stringify(site.store.value('open/j-000003/0000') ?? null)).not.toContain(host);
    await runUntil(site, () => !site.cloud.machines.has(host));
    expect(site.clock.now() - startedAt).toBeLessThan(20_000);
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
    // All tasks of a cancelled job must have ended 40 s after the confirmation.
    await site.run(39);
    expect(site.runningTaskCount('j-000001')).toBe(0);
    await expectTrace('one-way-cancel', site);
  });

  it('is also detected by a new leader', async () => {
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
  it('restore no machine, confirm no command and extend no lease, neither with the old nor with a new leader', async () => {
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
    // The leader's fleet matches the machines in the cloud: no machine was added because of a duplicate heartbeat.
    expect(site.fleetSize).toBe(site.cloud.machines.size);
    await site.run(50);
    expect(site.fleetSize).toBe(site.cloud.machines.size);
    expect(site.runningTaskCount('j-000001')).toBe(6);
    await expectTrace('late-copies', site);
  });
});

describe('duplicates of commands that were executed', () => {
  it('start no task again, whatever their delay, before and after a forget command', async () => {
    const site = await startedSite();
    site.repeatCommands(9);
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await site.submit({ ref: 'j-000002', tasks: 4, runS: 5 });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 2 && site.runningTaskCount('j-000002') === 4,
    );
    // The tasks of j-000002 that the following jobs preempt, or that fail on the failing machine, start again, after
    // forget commands have cleared their first attempts.
    const failingWorker = site.worker(site.machineOf('j-000001/0'));
    failingWorker.failsTasks = true;
    await site.submit({ ref: 'j-000003', tasks: 3, runS: 12, team: 'blue' });
    await site.run(7);
    failingWorker.failsTasks = false;
    await site.submit({ ref: 'j-000004', tasks: 2, runS: 60, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount('j-000004') === 2);
    expect(await site.cancel('j-000004')).toBe('cancelled');
    await site.run(50);
    expect(await site.query('j-000003')).toBe('done');
    await expectTrace('repeated-commands', site);
  });
});

describe('duplicates of requests to the key-value store, the cloud and the user API', () => {
  it('have no effect: no older record is restored, and no machine is rented or job accepted twice', async () => {
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
    // The fleet record that a successor reads lists exactly the machines that exist in the cloud.
    const fleetRecord = JSON.stringify(site.store.value('fleet/0000'));
    expect([...site.cloud.machines.keys()].every((id) => fleetRecord.includes(id))).toBe(true);
    expect(fleetRecord.split('host-').length - 1).toBe(2 * site.cloud.machines.size);
    site.crash(site.leader as string);
    await site.run(20);
    expect(site.fleetSize).toBe(site.cloud.machines.size);
    expect(site.runningTaskCount('j-000001')).toBe(3);
    await expectTrace('repeated-writes', site);
  });
});

describe('a controller that reaches only its workers', () => {
  it('hands its workers over to its successor if it leads', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    site.trace(`network    leaves ${oldLeader} its workers only`);
    site.store.refusedClients.add(oldLeader);
    site.isolatedNodes.add(oldLeader);
    await site.run(8);
    expect(site.leader).not.toBe(oldLeader);
    await site.submit({ ref: 'j-000002', tasks: 2, runS: 5 }, otherNode);
    await site.run(40);
    expect(await site.query('j-000002', otherNode)).toBe('done');
    expect(site.runningTaskCount('j-000001')).toBe(2);
    site.trace(`network    lets ${oldLeader} at the others again`);
    site.store.refusedClients.delete(oldLeader);
    site.isolatedNodes.delete(oldLeader);
    await site.run(10);
    expect(await site.query('j-000002', oldLeader)).toBe('done');
    await expectTrace('leader-alone', site);
  });

  it('redirects its workers before their leases expire if it follows, while another node answers users', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    // Every worker contacts node-0 first, whether that node leads or follows.
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

  it('deletes no machine while its leader lease is not valid', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 6 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 6);
    const oldLeader = site.leader as string;
    const host = site.machineOf('j-000001/0');
    // No controller can take over because the key-value store is unavailable to all; the leader cannot reach one
    // machine.
    site.store.isUnavailable = true;
    site.trace('state      is out');
    site.cutLinks.add(`${oldLeader} ${host}`);
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
  it('detects that another controller leads, while decisions, commands and deletions are in progress', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 4 });
    await site.submit({ ref: 'j-000002', tasks: 4, runS: 25, team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 4 && site.runningTaskCount('j-000002') === 4,
    );
    const oldLeader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== oldLeader) as string;
    // The pause begins while a start is being committed, after a machine has died, and before a heartbeat is answered.
    await site.submit({ ref: 'j-000003', kind: 'service', tasks: 2, team: 'blue' }, otherNode);
    site.killMachine(site.machineOf('j-000001/0'));
    await site.run(1.9);
    site.pause(oldLeader, 14);
    await site.run(1);
    expect(await site.cancel('j-000002', otherNode)).toBe('cancelled');
    await site.run(12);
    const newLeaders = site.nodes.filter((node) => node !== oldLeader && site.isLeading(node));
    expect(newLeaders.length).toBe(1);
    await site.run(20);
    // Leadership is stable: the successor still leads after the old leader has resumed.
    expect(site.leader).toBe(newLeaders[0]);
    expect(site.runningTaskCount('j-000001')).toBe(4);
    expect(site.runningTaskCount('j-000002')).toBe(0);
    expect(site.runningTaskCount('j-000003')).toBe(2);
    expect(await site.query('j-000002', oldLeader)).toBe('cancelled');
    await expectTrace('standing-still', site);
  });

  it('returns no answer that was read from the key-value store before the pause', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service' });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 1);
    const pausedNode = site.nodes.find((node) => node !== site.leader) as string;
    const pendingAnswer = site.query('j-000001', pausedNode);
    // The key-value store's answer arrives during the pause and is read after it.
    site.clock.after(3, () => site.pause(pausedNode, 1.9));
    expect(await pendingAnswer).toBe('503');
  });
});

describe('immediate restarts', () => {
  it('of a leader within 200 ms, and again during its own election', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 4, runS: 20 });
    await site.submit({ ref: 'j-000002', kind: 'service', team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount('j-000001') === 4 && site.runningTaskCount('j-000002') === 1,
    );
    const oldLeader = site.leader as string;
    site.crash(oldLeader);
    await site.run(0.2);
    site.start(oldLeader);
    // The takeover transaction is delayed when the process ends again, and is applied after the next start of the
    // process.
    site.store.nextCommitDelayMs.set(oldLeader, 300);
    await site.run(0.05);
    site.crash(oldLeader);
    await site.run(0.1);
    site.start(oldLeader);
    await site.run(40);
    expect(await site.query('j-000001')).toBe('done');
    expect(site.runningTaskCount('j-000002')).toBe(1);
    await expectTrace('back-in-election', site);
  });

  it('of all controllers keep a job that was accepted right before them', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', tasks: 2, runS: 5 });
    for (const name of site.nodes) site.crash(name);
    await site.run(0.3);
    site.startAll();
    await site.run(60);
    expect(await site.query('j-000001')).toBe('done');
    await expectTrace('all-back-at-once', site);
  });

  it('of a worker’s machine start a new incarnation of the worker', async () => {
    const site = await startedSite();
    await site.submit({ ref: 'j-000001', kind: 'service', tasks: 2 });
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    site.worker(site.machineOf('j-000001/0')).restart();
    await runUntil(site, () => site.runningTaskCount('j-000001') === 2);
    await expectTrace('worker-back', site);
  });
});

describe('many submissions at once', () => {
  it('leave enough of the request rate for leader lease renewals and starts, and are all accepted within a minute', async () => {
    const site = await startedSite();
    // The rates in the settings of simulated sites: 200 requests and 60 writes per second.
    site.store.rateLimits = {
      requests: new TokenBucket(site.clock, 200, 200),
      writes: new TokenBucket(site.clock, 60, 60),
    };
    const refs = Array.from({ length: 450 }, (_, i) => `j-${String(i).padStart(6, '0')}`);
    const startedAt = site.clock.now();
    let attemptCount = 0;
    const submitWithRetry = async (ref: string): Promise<void> => {
      const node = site.nodes[attemptCount++ % site.nodes.length] as string;
      const status = await site.submitConcurrently({ ref, team: 'blue', runS: 5 }, node);
      if (status !== 201) site.clock.after(1000 + (attemptCount % 7) * 150, () => void submitWithRetry(ref));
    };
    const initialEpoch = site.store.value('epoch');
    for (const ref of refs) void submitWithRetry(ref);
    while (site.acceptedCount < refs.length && site.clock.now() - startedAt < 60_000) await site.run(1);
    expect(site.acceptedCount).toBe(refs.length);
    // The test guards against renewals of the leader's lease that are rate-limited until the lease expires.
    expect(site.store.value('epoch')).toEqual(initialEpoch);
    expect(site.rules.startCount).toBeGreaterThan(10);
    expect(site.rules.violations).toEqual([]);
  });
});

describe('a full cluster', () => {
  it('starts low-priority tasks within four minutes, although urgent jobs keep arriving', async () => {
    const site = await startedSite();
    for (const zone of ['north', 'south']) site.cloud.remainingCapacity.set(`small|${zone}|ordinary`, 1);
    const lowPriorityJob = { ref: 'j-900000', rank: 'idle', team: 'blue', tasks: 8, cpus: 2, runS: 20 };
    // The site has two machines of 8 CPUs; each wave of urgent jobs fills both until the next wave arrives.
    let waveCount = 0;
    await site.submit({ ref: `j-${waveCount++}`, rank: 'urgent', team: 'blue', tasks: 16, runS: 20 });
    await site.run(5);
    await site.submit(lowPriorityJob);
    while (site.clock.now() < 240_000 && site.runningTaskCount(lowPriorityJob.ref) === 0) {
      await site.submit({ ref: `j-${waveCount++}`, rank: 'urgent', team: 'blue', tasks: 10, runS: 20 });
      await site.run(15);
    }
    expect(site.runningTaskCount(lowPriorityJob.ref)).toBeGreaterThan(0);
    expect(site.clock.now()).toBeLessThan(240_000);
  });
});
