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

async function startCluster(controllers = 3, seed = 1): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ controllers, units: 1, seed });
  cluster.startAll();
  await cluster.run(3000);
  return cluster;
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
    const cluster = await startCluster();
    Object.assign(cluster.network.faults, {
      lossRate: 0.02,
      maxDelayMs: 60,
      duplicateRate: 0.05,
      maxDuplicateDelayMs: 9000,
    });
    await cluster.run(600_000);
    const failed = cluster.events.filter(
      ({ event }) => event.kind === 'state-changed' && event.to === MemberState.Failed,
    );
    expect(failed).toEqual([]);
    for (const observer of cluster.members) {
      for (const subject of cluster.members) {
        expect(cluster.state(observer, subject)).not.toBe(MemberState.Failed);
      }
    }
  });
});

describe('a member whose process ends', () => {
  it('is suspected, then declared failed by all others, with evidence from each observer', async () => {
    const cluster = await startCluster();
    cluster.kill(C);
    await cluster.run(1200);
    expect(cluster.state(A, C)).toBe(MemberState.Suspect);
    await cluster.run(2000);
    expect(cluster.state(A, C)).toBe(MemberState.Failed);
    expect(cluster.state(B, C)).toBe(MemberState.Failed);
    const view = cluster
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.evidence.map(({ observer }) => observer).sort()).toEqual([A, B]);
    expect(view?.evidence.every(({ condition }) => condition === LinkCondition.Silent)).toBe(true);
    // A controller whose process ended must not be reported as a partition, or operators would look for a network
    // fault.
    const survivors = cluster
      .membership(A)
      .members()
      .filter(({ member }) => member !== C);
    expect(survivors.map(({ connection }) => connection)).toEqual([
      Connection.Connected,
      Connection.Connected,
    ]);
  });

  it('is not declared failed by a single survivor of three, which is not a majority', async () => {
    const cluster = await startCluster();
    cluster.kill(B);
    cluster.kill(C);
    await cluster.run(30_000);
    expect(cluster.state(A, B)).toBe(MemberState.Suspect);
    expect(cluster.state(A, C)).toBe(MemberState.Suspect);
    expect(cluster.membership(A).hasMajority).toBe(false);
  });

  // The platform restarts a process within a fraction of a second, and the wall clock of the new process may be behind
  // that of the previous one.
  it.each([1, 2, 3, 4, 5, 6])(
    'is a new process, alive everywhere, when it restarts after 200 ms (seed %i)',
    async (seed) => {
      const cluster = await startCluster(3, seed);
      const previousIdentity = cluster.membership(C).identity;
      cluster.kill(C);
      await cluster.run(200);
      cluster.start(C);
      await cluster.run(3000);
      const { identity } = cluster.membership(C);
      expect(identity.process).not.toBe(previousIdentity.process);
      for (const observer of [A, B]) {
        expect(cluster.state(observer, C)).toBe(MemberState.Alive);
        expect(eventKinds(cluster, observer)).toContain('restarted');
        const view = cluster
          .membership(observer)
          .members()
          .find(({ member }) => member === C);
        expect(view?.identity?.process).toBe(identity.process);
      }
    },
  );
});

describe('a paused member', () => {
  it('is declared failed, and is alive again once it resumes and refutes the verdict', async () => {
    const cluster = await startCluster();
    cluster.pause(C);
    await cluster.run(4000);
    expect(cluster.state(A, C)).toBe(MemberState.Failed);
    cluster.resume(C);
    await cluster.run(2000);
    expect(cluster.state(A, C)).toBe(MemberState.Alive);
    expect(eventKinds(cluster, A)).toContain('refuted');
    expect(eventKinds(cluster, C)).toContain('self-paused');
  });

  // If the pause were not excluded, the resumed member would find all peers silent for 20 s and suspect all of them.
  it('suspects no peer for the time of its own pause', async () => {
    const cluster = await startCluster();
    cluster.pause(C);
    await cluster.run(20_000);
    cluster.events.length = 0;
    cluster.resume(C);
    await cluster.run(5000);
    const suspicions = cluster.events.filter(
      ({ observer, event }) =>
        observer === C && event.kind === 'state-changed' && event.to !== MemberState.Alive,
    );
    expect(suspicions).toEqual([]);
  });

  it('is only suspected when all members but one are paused', async () => {
    const cluster = await startCluster(5);
    for (const member of cluster.members.slice(1)) cluster.pause(member);
    await cluster.run(10_000);
    for (const member of cluster.members.slice(1)) {
      expect(cluster.state(A, member)).toBe(MemberState.Suspect);
    }
  });
});

describe('partitions', () => {
  it('from a single peer: the member stays alive, and the link is reported', async () => {
    const cluster = await startCluster();
    cutBothWays(cluster, A, C);
    await cluster.run(15_000);
    expect(cluster.state(A, C)).toBe(MemberState.Alive);
    expect(cluster.state(C, A)).toBe(MemberState.Alive);
    const view = cluster
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.connection).toBe(Connection.PartialPartition);
    expect(view?.evidence.find(({ observer }) => observer === A)?.condition).toBe(
      LinkCondition.ReachedIndirectly,
    );
  });

  it('outbound: the others declare the member failed, and it detects its own partition', async () => {
    const cluster = await startCluster();
    cluster.network.cut(C, A);
    cluster.network.cut(C, B);
    await cluster.run(6000);
    expect(cluster.state(A, C)).toBe(MemberState.Failed);
    expect(cluster.state(B, C)).toBe(MemberState.Failed);
    const own = cluster
      .membership(C)
      .members()
      .find(({ member }) => member === C);
    expect(own?.connection).toBe(Connection.OutboundPartition);
    expect(cluster.membership(C).hasMajority).toBe(false);
    cluster.network.healAll();
    await cluster.run(4000);
    expect(cluster.state(A, C)).toBe(MemberState.Alive);
  });

  it('inbound: the member stays suspected, since its messages still arrive', async () => {
    const cluster = await startCluster();
    cluster.network.cut(A, C);
    cluster.network.cut(B, C);
    await cluster.run(20_000);
    expect(cluster.state(A, C)).toBe(MemberState.Suspect);
    const view = cluster
      .membership(A)
      .members()
      .find(({ member }) => member === C);
    expect(view?.connection).toBe(Connection.InboundPartition);
    expect(view?.evidence.map(({ condition }) => condition)).toContain(LinkCondition.HeardOnly);
  });

  it('in two sides: the majority declares the minority failed, and not the reverse', async () => {
    const cluster = await startCluster(5);
    const [a, b, c, d, e] = cluster.members as [MemberId, MemberId, MemberId, MemberId, MemberId];
    for (const minority of [a, b]) {
      for (const majority of [c, d, e]) cutBothWays(cluster, minority, majority);
    }
    await cluster.run(8000);
    expect(cluster.state(c, a)).toBe(MemberState.Failed);
    expect(cluster.state(e, b)).toBe(MemberState.Failed);
    for (const majority of [c, d, e]) expect(cluster.state(a, majority)).toBe(MemberState.Suspect);
    cluster.network.healAll();
    await cluster.run(5000);
    for (const minority of [a, b]) expect(cluster.state(d, minority)).toBe(MemberState.Alive);
  });
});

describe('a member that leaves', () => {
  it('has left within 2 s, without suspicion, and is alive again when it is restarted', async () => {
    const cluster = await startCluster();
    cluster.events.length = 0;
    const leaving = cluster.leave(C);
    await cluster.run(2000);
    await leaving;
    expect(cluster.state(A, C)).toBe(MemberState.Left);
    await cluster.run(10_000);
    expect(cluster.state(A, C)).toBe(MemberState.Left);
    const states = cluster.events.flatMap(({ event }) => (event.kind === 'state-changed' ? [event.to] : []));
    expect(states).not.toContain(MemberState.Suspect);
    cluster.start(C);
    await cluster.run(3000);
    expect(cluster.state(A, C)).toBe(MemberState.Alive);
  });
});
