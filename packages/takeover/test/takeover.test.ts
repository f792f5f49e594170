import {
  DEFAULT_TUNING,
  type MemberId,
  Membership,
  MemberState,
  PeerSupport,
  type ProcessId,
} from '@plumyoke/membership';
import { SharedStore, SimulatedCluster, VirtualClock } from '@plumyoke/simulation';
import {
  checkTakeoverSettings,
  OwnershipConfirmation,
  DEFAULT_TAKEOVER_SETTINGS,
  EffectGate,
  type FencingEpoch,
  type Owner,
  type OwnershipReading,
  type TakeoverSettings,
  type UnitId,
} from '@plumyoke/takeover';
import { EpochFence, OwnershipRegistry } from '@plumyoke/takeover/reference';
import { describe, expect, it } from 'vitest';

const UNIT = 'unit-0' as UnitId;
const owner = (member: string, process = 'p1'): Owner => ({
  member: member as MemberId,
  process: process as ProcessId,
});

/** Registries of several members on one simulated store. */
interface RegistryFixture {
  readonly clock: VirtualClock;
  readonly store: SharedStore;
  readonly registry: (name: string) => OwnershipRegistry;
  /** Advances the virtual clock past the store's deadline and resolves to the promise's result. */
  readonly runUntilSettled: <T>(promise: Promise<T>) => Promise<T>;
}

function createFixture(): RegistryFixture {
  const clock = new VirtualClock();
  const store = new SharedStore(clock, () => 0.5);
  return {
    clock,
    store,
    registry: (name) => new OwnershipRegistry(store.clientFor(name, clock)),
    async runUntilSettled(promise) {
      await clock.advance(1500);
      return promise;
    },
  };
}

function claimable(reading: OwnershipReading | null): Exclude<OwnershipReading, { kind: 'damaged' }> {
  if (reading === null || reading.kind === 'damaged')
    throw new Error('the reading must allow a claim, but is null or damaged');
  return reading;
}

describe('OwnershipRegistry', () => {
  it('grants exactly one of two concurrent claims', async () => {
    const { registry, runUntilSettled } = createFixture();
    const registryA = registry('a');
    const initialReading = claimable(await runUntilSettled(registryA.read(UNIT)));
    const claims = [
      registryA.claim(UNIT, owner('a'), initialReading),
      registry('b').claim(UNIT, owner('b'), initialReading),
    ];
    const results = await runUntilSettled(Promise.all(claims));
    expect(results.map(({ kind }) => kind).sort()).toEqual(['superseded', 'won']);
    const reading = claimable(await runUntilSettled(registryA.read(UNIT)));
    expect(reading.epoch).toBe(1);
  });

  it('refuses every write of an owner whose successor has claimed, and reports the claim to the owner', async () => {
    const { registry, runUntilSettled } = createFixture();
    const registryA = registry('a');
    const firstClaim = await runUntilSettled(
      registryA.claim(UNIT, owner('a'), claimable(await runUntilSettled(registryA.read(UNIT)))),
    );
    if (firstClaim.kind !== 'won') throw new Error('the first claim was not won');
    expect(await runUntilSettled(registryA.confirm(firstClaim.ownership))).toBe(OwnershipConfirmation.Held);
    await runUntilSettled(registryA.writeHeartbeat(firstClaim.ownership));
    expect(await runUntilSettled(registryA.confirm(firstClaim.ownership))).toBe(OwnershipConfirmation.Held);
    const registryB = registry('b');
    const secondClaim = await runUntilSettled(
      registryB.claim(UNIT, owner('b'), claimable(await runUntilSettled(registryB.read(UNIT)))),
    );
    expect(secondClaim.kind).toBe('won');
    expect(
      await runUntilSettled(registryA.commitAs(firstClaim.ownership, [], [{ key: 'job/1', value: 1 }])),
    ).toEqual({
      committed: false,
    });
    // Neither a heartbeat nor a release of the previous owner may change the record of its successor.
    await runUntilSettled(registryA.writeHeartbeat(firstClaim.ownership));
    await runUntilSettled(registryA.release(firstClaim.ownership, null));
    expect(claimable(await runUntilSettled(registryB.read(UNIT)))).toMatchObject({
      kind: 'owned',
      owner: owner('b'),
      epoch: 2,
    });
    expect(await runUntilSettled(registryA.confirm(firstClaim.ownership))).toBe(
      OwnershipConfirmation.Superseded,
    );
  });

  it('reports a claim without a response as uncertain, and a later read shows its result', async () => {
    const { registry, runUntilSettled, store, clock } = createFixture();
    const registryA = registry('a');
    const initialReading = claimable(await runUntilSettled(registryA.read(UNIT)));
    store.lateCommitRate = 1;
    const result = await runUntilSettled(registryA.claim(UNIT, owner('a'), initialReading));
    expect(result.kind).toBe('uncertain');
    await clock.advance(8000);
    expect(claimable(await runUntilSettled(registryA.read(UNIT)))).toMatchObject({
      kind: 'owned',
      owner: owner('a'),
    });
  });

  it('reports a store outage without throwing', async () => {
    const { registry, runUntilSettled, store } = createFixture();
    const registryA = registry('a');
    const initialReading = claimable(await runUntilSettled(registryA.read(UNIT)));
    store.isUnavailable = true;
    expect(await runUntilSettled(registryA.read(UNIT))).toBeNull();
    expect(await runUntilSettled(registryA.claim(UNIT, owner('a'), initialReading))).toEqual({
      kind: 'unavailable',
    });
  });

  it.each([
    ['holder', 'nonsense', 'is not a JSON object'],
    ['holder', { format: 1, state: 'held', member: 'a', epoch: 3 }, 'has a missing or invalid field process'],
    [
      'holder',
      { format: 2, state: 'held', member: 'a', process: 'p', epoch: 3 },
      'has a missing or invalid field format',
    ],
    ['epoch', { format: 1, epoch: -1 }, 'has a missing or invalid field epoch'],
  ])('names a damaged %s record', async (key, value, problem) => {
    const { registry, runUntilSettled, store } = createFixture();
    store.overwrite(`ownership/${UNIT}/${key}`, value);
    expect(await runUntilSettled(registry('a').read(UNIT))).toEqual({
      kind: 'damaged',
      key: `ownership/${UNIT}/${key}`,
      problem,
    });
  });
});

describe('EpochFence', () => {
  it('admits equal and higher epochs of each unit, and refuses lower epochs', () => {
    const fence = new EpochFence();
    const epoch = (value: number): FencingEpoch => value as FencingEpoch;
    expect(fence.admit(UNIT, epoch(3))).toBe(true);
    expect(fence.admit(UNIT, epoch(3))).toBe(true);
    expect(fence.admit(UNIT, epoch(2))).toBe(false);
    expect(fence.admit('unit-1' as UnitId, epoch(1))).toBe(true);
    expect(fence.admit(UNIT, epoch(4))).toBe(true);
  });
});

describe('EffectGate', () => {
  it('is closed by a pause at its first use, before any timer has run', async () => {
    const clock = new VirtualClock();
    let skippedMs = 0;
    const membership = new Membership(
      { ...DEFAULT_TUNING, self: 'a' as MemberId, members: ['a'] as MemberId[], majority: 1 },
      {
        clock: { now: () => clock.now() + skippedMs, wall: () => 0, after: clock.after.bind(clock) },
        random: () => 0.5,
        log: { info: () => {}, warn: () => {} },
        selfReport: () => ({ load: 0, ready: true }),
        transport: { support: () => PeerSupport.Supported, request: () => Promise.resolve(null) },
      },
    );
    const pauses: number[] = [];
    const gate = new EffectGate(membership, (pausedMs) => pauses.push(pausedMs));
    membership.start();
    await clock.advance(5000);
    expect(gate.isOpen).toBe(true);
    const before = gate.generation;
    skippedMs = 3000;
    expect(gate.isOpen).toBe(false);
    expect(pauses).toHaveLength(1);
    // A confirmation that was requested before the pause must not open the gate after the pause.
    gate.reopen(before);
    expect(gate.isOpen).toBe(false);
    gate.reopen(gate.generation);
    expect(gate.isOpen).toBe(true);
  });
});

describe('checkTakeoverSettings', () => {
  it.each<[string, Partial<TakeoverSettings>]>([
    ['claimStaggerMs: must be a finite number above 0', { claimStaggerMs: -1 }],
    ['pollIntervalMs: must be a finite number above 0', { pollIntervalMs: Number.NaN }],
    ['heartbeatTimeoutMs: must be at least 2 times heartbeatIntervalMs', { heartbeatTimeoutMs: 500 }],
  ])('%s', (message, change) => {
    expect(() => checkTakeoverSettings({ ...DEFAULT_TAKEOVER_SETTINGS, ...change })).toThrow(message);
  });
});

async function startCluster(controllers = 3, units = 1, seed = 1): Promise<SimulatedCluster> {
  const started = new SimulatedCluster({ controllers, units, seed });
  started.startAll();
  await started.run(5000);
  return started;
}

function soleOwner(simulated: SimulatedCluster, unit = UNIT): MemberId {
  const owners = simulated.ownersOf(unit);
  expect(owners).toHaveLength(1);
  return owners[0] as MemberId;
}

function cutFromPeers({ network, members }: SimulatedCluster, member: MemberId): void {
  for (const other of members) {
    network.cut(member, other);
    network.cut(other, member);
  }
}

describe('a takeover', () => {
  it('is executed by exactly one survivor after the owner is killed', async () => {
    const simulated = await startCluster(5, 4);
    const previousOwner = soleOwner(simulated);
    const epoch = simulated.history.lastEpoch(UNIT);
    simulated.kill(previousOwner);
    await simulated.run(1500);
    const stages = simulated.members.map((member) => simulated.stageOf(member, UNIT));
    expect(stages).toContain('suspecting');
    await simulated.run(3000);
    expect(soleOwner(simulated)).not.toBe(previousOwner);
    expect(simulated.history.lastEpoch(UNIT)).toBe((epoch ?? 0) + 1);
  });

  it('is not started by a suspicion that is refuted', async () => {
    const simulated = await startCluster();
    const owner = soleOwner(simulated);
    simulated.pause(owner);
    await simulated.run(1300);
    const others = simulated.members.filter((member) => member !== owner);
    expect(others.map((member) => simulated.stageOf(member, UNIT))).toContain('suspecting');
    simulated.resume(owner);
    await simulated.run(4000);
    expect(soleOwner(simulated)).toBe(owner);
    expect(others.map((member) => simulated.stageOf(member, UNIT))).toEqual(['watching', 'watching']);
    expect(simulated.history.lastEpoch(UNIT)).toBe(1);
  });

  it('is detected by a paused owner before its next effect', async () => {
    const simulated = await startCluster();
    const previousOwner = soleOwner(simulated);
    simulated.pause(previousOwner);
    await simulated.run(6000);
    const refused = simulated.history.refusedCount;
    simulated.resume(previousOwner);
    await simulated.run(3000);
    expect(soleOwner(simulated)).not.toBe(previousOwner);
    expect(simulated.stageOf(previousOwner, UNIT)).toBe('watching');
    // Effects that the paused owner sent before the pause may still arrive and are refused. The owner must send no
    // others.
    expect(simulated.history.refusedCount).toBe(refused);
    const replacedWarnings = simulated.warnings.filter((line) =>
      line.startsWith(`${previousOwner}: another controller took over`),
    );
    expect(replacedWarnings).toHaveLength(1);
    expect(replacedWarnings[0]).toMatch(
      /while this process stood still for \d\.\d s; this one stopped before its next action/,
    );
  });

  it('does not replace an owner that is partitioned from its peers but reaches the store', async () => {
    const simulated = await startCluster();
    const owner = soleOwner(simulated);
    cutFromPeers(simulated, owner);
    await simulated.run(20_000);
    expect(soleOwner(simulated)).toBe(owner);
    const other = simulated.members.find((member) => member !== owner) as MemberId;
    expect(simulated.state(other, owner)).toBe(MemberState.Failed);
    // An owner whose store requests are refused as well can no longer write heartbeats.
    simulated.store.refusedClients.add(owner);
    await simulated.run(5000);
    expect(simulated.ownersOf(UNIT).filter((member) => member !== owner)).toHaveLength(1);
  });

  it('is completed by another survivor when the first successor is killed during the takeover', async () => {
    for (const deathAfterMs of [1200, 1900, 2000, 2050, 2100, 2200, 2400]) {
      const simulated = await startCluster(5, 1, deathAfterMs);
      const previousOwner = soleOwner(simulated);
      simulated.kill(previousOwner);
      await simulated.run(deathAfterMs);
      const successor = simulated.members.find((member) =>
        ['suspecting', 'claiming', 'adopting', 'serving'].includes(simulated.stageOf(member, UNIT)),
      );
      if (successor) simulated.kill(successor);
      await simulated.run(12_000);
      expect([previousOwner, successor]).not.toContain(soleOwner(simulated));
      expect(simulated.history.getViolations()).toEqual([]);
    }
  });

  it('waits for the store, and is executed by another survivor when the store refuses one survivor', async () => {
    const simulated = await startCluster();
    const previousOwner = soleOwner(simulated);
    simulated.store.isUnavailable = true;
    simulated.kill(previousOwner);
    await simulated.run(6000);
    expect(simulated.ownersOf(UNIT)).toEqual([]);
    simulated.store.isUnavailable = false;
    await simulated.run(4000);
    const secondOwner = soleOwner(simulated);
    simulated.start(previousOwner);
    await simulated.run(4000);
    simulated.store.refusedClients.add(previousOwner);
    simulated.kill(secondOwner);
    await simulated.run(8000);
    expect([previousOwner, secondOwner]).not.toContain(soleOwner(simulated));
  });

  it('needs no suspicion when the owner leaves', async () => {
    const simulated = await startCluster();
    const previousOwner = soleOwner(simulated);
    simulated.events.length = 0;
    const leaving = simulated.leave(previousOwner);
    await simulated.run(1000);
    await leaving;
    expect(soleOwner(simulated)).not.toBe(previousOwner);
    const states = simulated.events.flatMap(({ event }) =>
      event.kind === 'state-changed' ? [event.to] : [],
    );
    expect(states).not.toContain(MemberState.Suspect);
  });

  it('claims units whose owner stays down after all members were killed and the others restarted', async () => {
    const simulated = await startCluster();
    const previousOwner = soleOwner(simulated);
    for (const member of simulated.members) simulated.kill(member);
    for (const member of simulated.members) if (member !== previousOwner) simulated.start(member);
    await simulated.run(10_000);
    expect(soleOwner(simulated)).not.toBe(previousOwner);
  });

  it('is blocked by a damaged record, names the key and the remedy, and continues once it is repaired', async () => {
    const simulated = await startCluster();
    const previousOwner = soleOwner(simulated);
    simulated.store.overwrite(`ownership/${UNIT}/holder`, 'scribble');
    simulated.kill(previousOwner);
    await simulated.run(10_000);
    expect(simulated.ownersOf(UNIT)).toEqual([]);
    const others = simulated.members.filter((member) => member !== previousOwner);
    expect(others.map((member) => simulated.stageOf(member, UNIT))).toEqual(['blocked', 'blocked']);
    expect(simulated.warnings.join('\n')).toContain(
      `No controller takes over ${UNIT}: its record ownership/${UNIT}/holder is not a JSON object. Inspect the key in the state service.`,
    );
    simulated.store.delete(`ownership/${UNIT}/holder`);
    await simulated.run(8000);
    expect(others).toContain(soleOwner(simulated));
  });
});
