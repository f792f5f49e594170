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

function cutBothWays({ network }: SimulatedCluster, first: MemberId, second: MemberId): void {
  network.cut(first, second);
  network.cut(second, first);
}

function eventKinds({ events }: SimulatedCluster, observer: MemberId): MembershipEvent['kind'][] {
  return events.filter((entry) => entry.observer === observer).map(({ event }) => event.kind);
}

describe('a healthy cluster', () => {
  it('declares no member failed while messages are lost, delayed and repeated', async () => {
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
  it('is suspected, then declared failed by all others, with evidence from each observer', async () => {
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
    // A dead controller must not be reported as a partition: operators would look for a network fault.
    const survivors = members
      .membership(A)
      .members()
      .filter(({ member }) => member !== C);
    expect(survivors.map(({ connection }) => connection)).toEqual([
      Connection.Connected,
      Connection.Connected,
    ]);
  });

  it('is not declared failed by a single survivor of three, which is no majority', async () => {
    const members = await cluster();
    members.kill(B);
    members.kill(C);
    await members.run(30_000);
    expect(members.state(A, B)).toBe(MemberState.Suspect);
    expect(members.state(A, C)).toBe(MemberState.Suspect);
    expect(members.membership(A).hasMajority).toBe(false);
  });

  // The platform restarts a process within a fraction of a second; its clock may be behind its predecessor's.
  it.each([1, 2, 3, 4, 5, 6])(
    'is a new process, alive everywhere, when it restarts within 200 ms (seed %i)',
    async (seed) => {
      const members = await cluster(3, seed);
      const formerIdentity = members.membership(C).identity;
      members.kill(C);
      await members.run(200);
      members.start(C);
      await members.run(3000);
      const { identity } = members.membership(C);
      expect(identity.process).not.toBe(formerIdentity.process);
      for (const observer of [A, B]) {
        expect(members.state(observer, C)).toBe(MemberState.Alive);
        expect(eventKinds(members, observer)).toContain('restarted');
        const view = members
          .membership(observer)
          .members()
          .find(({ member }) => member === C);
        expect(view?.identity?.process).toBe(identity.process);
      }
    },
  );
});

describe('a paused member', () => {
  it('is declared failed, and alive again once it resumes and refutes that', async () => {
    const members = await cluster();
    members.pause(C);
    await members.run(4000);
    expect(members.state(A, C)).toBe(MemberState.Failed);
    members.resume(C);
    await members.run(2000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
    expect(eventKinds(members, A)).toContain('refuted');
    expect(eventKinds(members, C)).toContain('self-paused');
  });

  // If the pause counted, it would find everybody silent for 20 s and suspect them all.
  it('suspects nobody for the time in which it did not run', async () => {
    const members = await cluster();
    members.pause(C);
    await members.run(20_000);
    members.events.length = 0;
    members.resume(C);
    await members.run(5000);
    const suspicions = members.events.filter(
      ({ observer, event }) =>
        observer === C && event.kind === 'state-changed' && event.to !== MemberState.Alive,
    );
    expect(suspicions).toEqual([]);
  });

  it('is only suspected when all members but one are paused', async () => {
    const members = await cluster(5);
    for (const member of members.members.slice(1)) members.pause(member);
    await members.run(10_000);
    for (const member of members.members.slice(1)) {
      expect(members.state(A, member)).toBe(MemberState.Suspect);
    }
  });
});

describe('partitions', () => {
  it('from a single peer: the member stays alive, and the link is reported', async () => {
    const members = await cluster();
    cutBothWays(members, A, C);
    await members.run(15_000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
    expect(members.state(C, A)).toBe(MemberState.Alive);
    const view = members
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.connection).toBe(Connection.PartialPartition);
    expect(view?.evidence.find(({ observer }) => observer === A)?.condition).toBe(
      LinkCondition.ReachedIndirectly,
    );
  });

  it('outbound: the others declare the member failed, and it detects its own partition', async () => {
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
    expect(own?.connection).toBe(Connection.OutboundPartition);
    expect(members.membership(C).hasMajority).toBe(false);
    members.network.healAll();
    await members.run(4000);
    expect(members.state(A, C)).toBe(MemberState.Alive);
  });

  it('inbound: the member stays suspected, since its messages still arrive', async () => {
    const members = await cluster();
    members.network.cut(A, C);
    members.network.cut(B, C);
    await members.run(20_000);
    expect(members.state(A, C)).toBe(MemberState.Suspect);
    const view = members
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.connection).toBe(Connection.InboundPartition);
    expect(view?.evidence.map(({ condition }) => condition)).toContain(LinkCondition.HeardOnly);
  });

  it('in two parts: the larger one declares the smaller one failed, and not the reverse', async () => {
    const members = await cluster(5);
    const [a, b, c, d, e] = members.members as [MemberId, MemberId, MemberId, MemberId, MemberId];
    for (const minority of [a, b]) {
      for (const majority of [c, d, e]) cutBothWays(members, minority, majority);
    }
    await members.run(8000);
    expect(members.state(c, a)).toBe(MemberState.Failed);
    expect(members.state(e, b)).toBe(MemberState.Failed);
    for (const majority of [c, d, e]) expect(members.state(a, majority)).toBe(MemberState.Suspect);
    members.network.healAll();
    await members.run(5000);
    for (const minority of [a, b]) expect(members.state(d, minority)).toBe(MemberState.Alive);
  });
});

describe('a member that leaves', () => {
  it('has left at once, without suspicion, and is alive again when it is restarted', async () => {
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
