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
  Confirmation,
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
  /** Awaits while the virtual clock runs. */
  readonly get: <T>(promise: Promise<T>) => Promise<T>;
}

function createFixture(): RegistryFixture {
  const clock = new VirtualClock();
  const store = new SharedStore(clock, () => 0.5);
  return {
    clock,
    store,
    registry: (name) => new OwnershipRegistry(store.for(name, clock)),
    async get(promise) {
      await clock.advance(1500);
      return promise;
    },
  };
}

function claimable(reading: OwnershipReading | null): Exclude<OwnershipReading, { kind: 'damaged' }> {
  if (reading === null || reading.kind === 'damaged') throw new Error('not claimable');
  return reading;
}

describe('OwnershipRegistry', () => {
  it('grants one of two claims that are made at the same time', async () => {
    const { registry, get } = createFixture();
    const a = registry('a');
    const found = claimable(await get(a.read(UNIT)));
    const claims = [a.claim(UNIT, owner('a'), found), registry('b').claim(UNIT, owner('b'), found)];
    const results = await get(Promise.all(claims));
    expect(results.map(({ kind }) => kind).sort()).toEqual(['superseded', 'won']);
    const reading = claimable(await get(a.read(UNIT)));
    expect(reading.epoch).toBe(1);
  });

  it('refuses every write of an owner whose successor has claimed, and reports it to the owner', async () => {
    const { registry, get } = createFixture();
    const a = registry('a');
    const first = await get(a.claim(UNIT, owner('a'), claimable(await get(a.read(UNIT)))));
    if (first.kind !== 'won') throw new Error('not won');
    expect(await get(a.confirm(first.ownership))).toBe(Confirmation.Held);
    await get(a.writeHeartbeat(first.ownership));
    expect(await get(a.confirm(first.ownership))).toBe(Confirmation.Held);
    const b = registry('b');
    const second = await get(b.claim(UNIT, owner('b'), claimable(await get(b.read(UNIT)))));
    expect(second.kind).toBe('won');
    expect(await get(a.commitAs(first.ownership, [], [{ key: 'job/1', value: 1 }]))).toEqual({
      committed: false,
    });
    // A sign of life or a release of the former owner must not touch its successor's record.
    await get(a.writeHeartbeat(first.ownership));
    await get(a.release(first.ownership, null));
    expect(claimable(await get(b.read(UNIT)))).toMatchObject({ kind: 'owned', owner: owner('b'), epoch: 2 });
    expect(await get(a.confirm(first.ownership))).toBe(Confirmation.Superseded);
  });

  it('reports an unanswered claim as uncertain, and reading again settles it', async () => {
    const { registry, get, store, clock } = createFixture();
    const a = registry('a');
    const found = claimable(await get(a.read(UNIT)));
    store.lateShare = 1;
    const result = await get(a.claim(UNIT, owner('a'), found));
    expect(result.kind).toBe('uncertain');
    await clock.advance(8000);
    expect(claimable(await get(a.read(UNIT)))).toMatchObject({ kind: 'owned', owner: owner('a') });
  });

  it('reports a store outage without throwing', async () => {
    const { registry, get, store } = createFixture();
    const a = registry('a');
    const found = claimable(await get(a.read(UNIT)));
    store.outage = true;
    expect(await get(a.read(UNIT))).toBeNull();
    expect(await get(a.claim(UNIT, owner('a'), found))).toEqual({ kind: 'unavailable' });
  });

  it.each([
    ['holder', 'nonsense', 'is not a record'],
    ['holder', { format: 1, state: 'held', member: 'a', epoch: 3 }, 'field process cannot be read'],
    [
      'holder',
      { format: 2, state: 'held', member: 'a', process: 'p', epoch: 3 },
      'field format cannot be read',
    ],
    ['epoch', { format: 1, epoch: -1 }, 'field epoch cannot be read'],
  ])('names a damaged %s record', async (key, value, problem) => {
    const { registry, get, store } = createFixture();
    store.damage(`ownership/${UNIT}/${key}`, value);
    expect(await get(registry('a').read(UNIT))).toEqual({
      kind: 'damaged',
      key: `ownership/${UNIT}/${key}`,
      problem,
    });
  });
});

describe('EpochFence', () => {
  it('admits equal and higher epochs of each unit, and no lower one', () => {
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
    expect(gate.open).toBe(true);
    const before = gate.generation;
    skippedMs = 3000;
    expect(gate.open).toBe(false);
    expect(pauses).toHaveLength(1);
    // A confirmation that was requested before the pause is void after it.
    gate.reopen(before);
    expect(gate.open).toBe(false);
    gate.reopen(gate.generation);
    expect(gate.open).toBe(true);
  });
});

describe('checkTakeoverSettings', () => {
  it.each<[string, Partial<TakeoverSettings>]>([
    ['claimStaggerMs: not above 0', { claimStaggerMs: -1 }],
    ['pollIntervalMs: not above 0', { pollIntervalMs: Number.NaN }],
    ['heartbeatTimeoutMs: below 2 times heartbeatIntervalMs', { heartbeatTimeoutMs: 500 }],
  ])('%s', (message, change) => {
    expect(() => checkTakeoverSettings({ ...DEFAULT_TAKEOVER_SETTINGS, ...change })).toThrow(message);
  });
});

async function cluster(controllers = 3, units = 1, seed = 1): Promise<SimulatedCluster> {
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
  it('is carried out by one survivor after the owner has died', async () => {
    const simulated = await cluster(5, 4);
    const former = soleOwner(simulated);
    const epoch = simulated.history.lastEpoch(UNIT);
    simulated.kill(former);
    await simulated.run(1500);
    const stages = simulated.members.map((member) => simulated.stageOf(member, UNIT));
    expect(stages).toContain('suspecting');
    await simulated.run(3000);
    expect(soleOwner(simulated)).not.toBe(former);
    expect(simulated.history.lastEpoch(UNIT)).toBe((epoch ?? 0) + 1);
  });

  it('is not started by a suspicion that is refuted', async () => {
    const simulated = await cluster();
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
    const simulated = await cluster();
    const former = soleOwner(simulated);
    simulated.pause(former);
    await simulated.run(6000);
    const refused = simulated.history.refused;
    simulated.resume(former);
    await simulated.run(3000);
    expect(soleOwner(simulated)).not.toBe(former);
    expect(simulated.stageOf(former, UNIT)).toBe('watching');
    // Effects that it had sent before the pause may still arrive, and are refused; it must not send new ones.
    expect(simulated.history.refused).toBe(refused);
    const replacedWarnings = simulated.warnings.filter((line) =>
      line.startsWith(`${former}: another controller took over`),
    );
    expect(replacedWarnings).toHaveLength(1);
    expect(replacedWarnings[0]).toMatch(
      /while this process stood still for \d\.\d s; this one stopped before its next action/,
    );
  });

  it('spares an owner that is cut off from its peers but reaches the store', async () => {
    const simulated = await cluster();
    const owner = soleOwner(simulated);
    cutFromPeers(simulated, owner);
    await simulated.run(20_000);
    expect(soleOwner(simulated)).toBe(owner);
    const other = simulated.members.find((member) => member !== owner) as MemberId;
    expect(simulated.state(other, owner)).toBe(MemberState.Failed);
    // Once the store refuses it as well, it cannot write heartbeats any more.
    simulated.store.refused.add(owner);
    await simulated.run(5000);
    expect(simulated.ownersOf(UNIT).filter((member) => member !== owner)).toHaveLength(1);
  });

  it('is completed by another survivor when the first one dies during it', async () => {
    for (const deathAfterMs of [1200, 1900, 2000, 2050, 2100, 2200, 2400]) {
      const simulated = await cluster(5, 1, deathAfterMs);
      const former = soleOwner(simulated);
      simulated.kill(former);
      await simulated.run(deathAfterMs);
      const successor = simulated.members.find((member) =>
        ['suspecting', 'claiming', 'adopting', 'serving'].includes(simulated.stageOf(member, UNIT)),
      );
      if (successor) simulated.kill(successor);
      await simulated.run(12_000);
      expect([former, successor]).not.toContain(soleOwner(simulated));
      expect(simulated.history.check()).toEqual([]);
    }
  });

  it('waits for the store, and passes to the next survivor when the store refuses the first', async () => {
    const simulated = await cluster();
    const former = soleOwner(simulated);
    simulated.store.outage = true;
    simulated.kill(former);
    await simulated.run(6000);
    expect(simulated.ownersOf(UNIT)).toEqual([]);
    simulated.store.outage = false;
    await simulated.run(4000);
    const second = soleOwner(simulated);
    simulated.start(former);
    await simulated.run(4000);
    simulated.store.refused.add(former);
    simulated.kill(second);
    await simulated.run(8000);
    expect([former, second]).not.toContain(soleOwner(simulated));
  });

  it('needs no suspicion when the owner leaves', async () => {
    const simulated = await cluster();
    const former = soleOwner(simulated);
    simulated.events.length = 0;
    const leaving = simulated.leave(former);
    await simulated.run(1000);
    await leaving;
    expect(soleOwner(simulated)).not.toBe(former);
    const states = simulated.events.flatMap(({ event }) =>
      event.kind === 'state-changed' ? [event.to] : [],
    );
    expect(states).not.toContain(MemberState.Suspect);
  });

  it('takes units whose owner was not seen since all members restarted', async () => {
    const simulated = await cluster();
    const former = soleOwner(simulated);
    for (const member of simulated.members) simulated.kill(member);
    for (const member of simulated.members) if (member !== former) simulated.start(member);
    await simulated.run(10_000);
    expect(soleOwner(simulated)).not.toBe(former);
  });

  it('is blocked by a damaged record, names the key and the remedy, and continues once it is repaired', async () => {
    const simulated = await cluster();
    const former = soleOwner(simulated);
    simulated.store.damage(`ownership/${UNIT}/holder`, 'scribble');
    simulated.kill(former);
    await simulated.run(10_000);
    expect(simulated.ownersOf(UNIT)).toEqual([]);
    const others = simulated.members.filter((member) => member !== former);
    expect(others.map((member) => simulated.stageOf(member, UNIT))).toEqual(['blocked', 'blocked']);
    expect(simulated.warnings.join('\n')).toContain(
      `Nobody takes over ${UNIT}: its record ownership/${UNIT}/holder is not a record. Look at the key in the state service.`,
    );
    simulated.store.delete(`ownership/${UNIT}/holder`);
    await simulated.run(8000);
    expect(others).toContain(soleOwner(simulated));
  });
});
