import {
  Connection,
  LinkCondition,
  type MemberId,
  MemberState,
  type MembershipEvent,
} from '@plumyoke/membership';
import { SimulatedCluster } from '@plumyoke/simulation';
import { describe, expect, it } from 'vitest';

const A = 'c0' as MemberId;
const B = 'c1' as MemberId;
const C = 'c2' as MemberId;

async function cluster(controllers = 3, seed = 1): Promise<SimulatedCluster> {
  const started = new SimulatedCluster({ controllers, units: 1, seed });
  started.startAll();
  await started.run(3000);
  return started;
}

function cutBothWays({ network }: SimulatedCluster, a: MemberId, b: MemberId): void {
  network.cut(a, b);
  network.cut(b, a);
}

function kinds({ events }: SimulatedCluster, observer: MemberId): MembershipEvent['kind'][] {
  return events.filter((seen) => seen.observer === observer).map(({ event }) => event.kind);
}

describe('a healthy cluster', () => {
  it('knows all of its members, and suspects nobody for an hour of messages that are lost, slow and repeated', async () => {
    const healthy = await cluster();
    Object.assign(healthy.network.faults, {
      lossShare: 0.02,
      maxDelayMs: 60,
      repeatShare: 0.05,
      repeatWithinMs: 9000,
    });
    await healthy.run(600_000);
    const failed = healthy.events.filter(
      ({ event }) => event.kind === 'state-changed' && event.to === MemberState.Failed,
    );
    expect(failed).toEqual([]);
    for (const observer of healthy.members) {
      for (const subject of healthy.members) {
        expect(healthy.state(observer, subject)).not.toBe(MemberState.Failed);
      }
    }
  });
});

describe('a member that dies', () => {
  it('is suspected, then failed by all others, with evidence that tells who saw what', async () => {
    const members = await cluster();
    members.kill(C);
    await members.run(1200);
    expect(members.state(A, C)).toBe(MemberState.Suspect);
    await members.run(2000);
    expect(members.state(A, C)).toBe(MemberState.Failed);
    expect(members.state(B, C)).toBe(MemberState.Failed);
    const view = members
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.evidence.map(({ observer }) => observer).sort()).toEqual([A, B]);
    expect(view?.evidence.every(({ condition }) => condition === LinkCondition.Silent)).toBe(true);
    // A dead controller is no cut network: operators would look for a fault that is none.
    const survivors = members
      .membership(A)
      .members()
      .filter(({ member }) => member !== C);
    expect(survivors.map(({ connection }) => connection)).toEqual([
      Connection.Connected,
      Connection.Connected,
    ]);
  });

  it('is not failed by a single survivor of three: one is no majority', async () => {
    const members = await cluster();
    members.kill(B);
    members.kill(C);
    await members.run(30_000);
    expect(members.state(A, B)).toBe(MemberState.Suspect);
    expect(members.state(A, C)).toBe(MemberState.Suspect);
    expect(members.membership(A).hasMajority).toBe(false);
  });

  // The platform starts a process again within a fraction of a second; its clock may lie behind its predecessor's.
  it.each([1, 2, 3, 4, 5, 6])(
    'back within 200 ms it is a new process, alive everywhere (seed %i)',
    async (seed) => {
      const members = await cluster(3, seed);
      const former = members.membership(C).identity;
      members.kill(C);
      await members.run(200);
      members.start(C);
      await members.run(3000);
      const { identity } = members.membership(C);
      expect(identity.process).not.toBe(former.process);
      for (const observer of [A, B]) {
        expect(members.state(observer, C)).toBe(MemberState.Alive);
        expect(kinds(members, observer)).toContain('restarted');
        const view = members
          .membership(observer)
          .members()
          .find(({ member }) => member === C);
        expect(view?.identity?.process).toBe(identity.process);
      }
    },
  );
});

describe('a member that stands still', () => {
  it('is failed, and alive again once it wakes and refutes that', async () => {
    const members = await cluster();
    members.pause(C);
    await members.run(4000);
    expect(members.state(A, C)).toBe(MemberState.Failed);
    members.resume(C);
    await members.run(2000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
    expect(kinds(members, A)).toContain('refuted');
    expect(kinds(members, C)).toContain('self-paused');
  });

  // Without the discount it would wake, find everybody silent for 20 s, and accuse them all.
  it('blames nobody for the time in which it did not run', async () => {
    const members = await cluster();
    members.pause(C);
    await members.run(20_000);
    members.events.length = 0;
    members.resume(C);
    await members.run(5000);
    const accusations = members.events.filter(
      ({ observer, event }) =>
        observer === C && event.kind === 'state-changed' && event.to !== MemberState.Alive,
    );
    expect(accusations).toEqual([]);
  });

  it('all but one stand still: the one declares nobody failed', async () => {
    const members = await cluster(5);
    for (const member of members.members.slice(1)) members.pause(member);
    await members.run(10_000);
    for (const member of members.members.slice(1)) {
      expect(members.state(A, member)).toBe(MemberState.Suspect);
    }
  });
});

describe('links that are cut', () => {
  it('from a single peer: the member stays alive, and the link is told', async () => {
    const members = await cluster();
    cutBothWays(members, A, C);
    await members.run(15_000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
    expect(members.state(C, A)).toBe(MemberState.Alive);
    const view = members
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.connection).toBe(Connection.PartlyCut);
    expect(view?.evidence.find(({ observer }) => observer === A)?.condition).toBe(
      LinkCondition.ReachedThroughOthers,
    );
  });

  it('heard by none: the member is silent to the others, which declare it failed; itself it finds mute', async () => {
    const members = await cluster();
    members.network.cut(C, A);
    members.network.cut(C, B);
    await members.run(6000);
    expect(members.state(A, C)).toBe(MemberState.Failed);
    expect(members.state(B, C)).toBe(MemberState.Failed);
    const own = members
      .membership(C)
      .members()
      .find(({ member }) => member === C);
    expect(own?.connection).toBe(Connection.Mute);
    expect(members.membership(C).hasMajority).toBe(false);
    members.network.healAll();
    await members.run(4000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
  });

  it('hears none but is heard: it stays a suspect, since it is there', async () => {
    const members = await cluster();
    members.network.cut(A, C);
    members.network.cut(B, C);
    await members.run(20_000);
    expect(members.state(A, C)).toBe(MemberState.Suspect);
    const view = members
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.connection).toBe(Connection.Deaf);
    expect(view?.evidence.map(({ condition }) => condition)).toContain(LinkCondition.HeardOnly);
  });

  it('in two halves: the smaller one declares nobody failed, the larger one the smaller', async () => {
    const members = await cluster(5);
    const [a, b, c, d, e] = members.members as [MemberId, MemberId, MemberId, MemberId, MemberId];
    for (const few of [a, b]) for (const many of [c, d, e]) cutBothWays(members, few, many);
    await members.run(8000);
    expect(members.state(c, a)).toBe(MemberState.Failed);
    expect(members.state(e, b)).toBe(MemberState.Failed);
    for (const many of [c, d, e]) expect(members.state(a, many)).toBe(MemberState.Suspect);
    members.network.healAll();
    await members.run(5000);
    for (const few of [a, b]) expect(members.state(d, few)).toBe(MemberState.Alive);
  });
});

describe('a member that leaves', () => {
  it('is left at once, without suspicion, and alive again when it is started', async () => {
    const members = await cluster();
    members.events.length = 0;
    const leaving = members.leave(C);
    await members.run(2000);
    await leaving;
    expect(members.state(A, C)).toBe(MemberState.Left);
    await members.run(10_000);
    expect(members.state(A, C)).toBe(MemberState.Left);
    const states = members.events.flatMap(({ event }) => (event.kind === 'state-changed' ? [event.to] : []));
    expect(states).not.toContain(MemberState.Suspect);
    members.start(C);
    await members.run(3000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
  });
});
