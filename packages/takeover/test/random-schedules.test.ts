import { type MemberId, MemberState } from '@plumyoke/membership';
import { type Defects, SimulatedCluster } from '@plumyoke/simulation';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

/**
 * Random schedules of faults against whole clusters on a virtual clock. The seed is fixed, so that CI runs the same
 * schedules every time; `SCHEDULE_RUNS` and `SCHEDULE_SEED` search for more.
 */
const RUNS = Number(process.env['SCHEDULE_RUNS'] ?? 60);
const SEED = Number(process.env['SCHEDULE_SEED'] ?? 20261202);

/** After all faults have ended, views agree and every unit is owned within this time. */
const SETTLE_MS = 12_000;

/** The model that fast-check's commands work on. */
interface Model {
  steps: number;
}

type ClusterCommand = fc.AsyncCommand<Model, SimulatedCluster>;

/** One fault, and some time in which it takes effect. */
class FaultCommand implements ClusterCommand {
  constructor(
    private readonly name: string,
    private readonly waitMs: number,
    private readonly inject: (cluster: SimulatedCluster) => void,
  ) {}

  check(): boolean {
    return true;
  }

  async run(model: Model, cluster: SimulatedCluster): Promise<void> {
    model.steps++;
    this.inject(cluster);
    await cluster.run(this.waitMs);
  }

  toString(): string {
    return `${this.name}, ${this.waitMs} ms`;
  }
}

function faultCommands(controllers: number): fc.Arbitrary<ClusterCommand>[] {
  const member = fc.nat(controllers - 1).map((index) => `c${index}` as MemberId);
  const wait = fc.integer({ min: 0, max: 4000 });
  const onOne = (name: string, act: (cluster: SimulatedCluster, member: MemberId) => void) =>
    fc
      .tuple(member, wait)
      .map(([on, ms]) => new FaultCommand(`${name} ${on}`, ms, (cluster) => act(cluster, on)));
  const onPair = (name: string, act: (cluster: SimulatedCluster, a: MemberId, b: MemberId) => void) =>
    fc
      .tuple(member, member, wait)
      .map(([a, b, ms]) => new FaultCommand(`${name} ${a} ${b}`, ms, (cluster) => act(cluster, a, b)));
  const onAll = (name: string, act: (cluster: SimulatedCluster, share: number) => void) =>
    fc
      .tuple(fc.integer({ min: 0, max: 4 }), wait)
      .map(
        ([tenths, ms]) => new FaultCommand(`${name} 0.${tenths}`, ms, (cluster) => act(cluster, tenths / 10)),
      );
  return [
    onOne('kill', (cluster, on) => cluster.kill(on)),
    onOne('start', (cluster, on) => cluster.start(on)),
    onOne('back at once', (cluster, on) => {
      cluster.kill(on);
      cluster.start(on);
    }),
    onOne('pause', (cluster, on) => cluster.pause(on)),
    onOne('resume', (cluster, on) => cluster.resume(on)),
    onOne('leave', (cluster, on) => void cluster.leave(on)),
    onOne('store refuses', (cluster, on) => cluster.store.refused.add(on)),
    onPair('cut one way', (cluster, a, b) => cluster.network.cut(a, b)),
    onPair('heal', (cluster, a, b) => cluster.network.heal(a, b)),
    onOne('cut off', (cluster, on) => {
      for (const other of cluster.members) {
        cluster.network.cut(on, other);
        cluster.network.cut(other, on);
      }
    }),
    onAll('store out', (cluster, share) => {
      cluster.store.outage = share < 0.2;
    }),
    onAll('transactions come late', (cluster, share) => {
      cluster.store.lateShare = share;
    }),
    onAll('requests come again', (cluster, share) => {
      Object.assign(cluster.network.faults, { repeatShare: share, repeatWithinMs: 8000 });
    }),
    onAll('messages are slow and get lost', (cluster, share) => {
      Object.assign(cluster.network.faults, { maxDelayMs: 4 + share * 800, lossShare: share / 2 });
    }),
  ];
}

/** Expects the invariants to hold, and the cluster to have recovered. */
function expectSettled(cluster: SimulatedCluster): void {
  expect(cluster.history.check()).toEqual([]);
  expect(cluster.unfoundedVerdicts).toEqual([]);
  for (const unit of cluster.units) expect(cluster.ownersOf(unit), unit).toHaveLength(1);
  for (const observer of cluster.members) {
    for (const subject of cluster.members) {
      expect(cluster.state(observer, subject), `${subject} as seen by ${observer}`).toBe(MemberState.Alive);
    }
  }
}

async function runSchedule(
  controllers: number,
  seed: number,
  commands: Iterable<ClusterCommand>,
): Promise<void> {
  const cluster = new SimulatedCluster({ controllers, units: 3, seed });
  cluster.startAll();
  await cluster.run(3000);
  await fc.asyncModelRun(() => ({ model: { steps: 0 }, real: cluster }), commands);
  cluster.endFaults();
  await cluster.run(SETTLE_MS);
  expectSettled(cluster);
}

describe('random schedules of faults', () => {
  it.each([3, 5, 9])(
    'keep one owner a unit, refuse effects of replaced owners, and end in agreeing views (%i controllers)',
    async (controllers) => {
      const commands = fc.commands(faultCommands(controllers), { maxCommands: 25 });
      const property = fc.asyncProperty(fc.nat(1_000_000), commands, (seed, chosen) =>
        runSchedule(controllers, seed, chosen),
      );
      await fc.assert(property, { seed: SEED, numRuns: Math.max(3, Math.round(RUNS / controllers)) });
    },
    600_000,
  );
});

/** Pauses the owner with effects in flight, and resumes it after it was replaced. */
async function pauseAndResumeOwner(defects: Defects): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ controllers: 5, units: 2, seed: 3, defects });
  cluster.startAll();
  await cluster.run(5000);
  for (let round = 0; round < 4; round++) {
    const [owner] = cluster.ownersOf(cluster.units[0] as never);
    if (owner) cluster.pause(owner);
    await cluster.run(4000);
    if (owner) cluster.resume(owner);
    await cluster.run(4000);
  }
  return cluster;
}

// Each check must fail for the defect that it is there for.
describe('deliberate defects are detected', () => {
  it('passes without a defect', async () => {
    const cluster = await pauseAndResumeOwner({});
    cluster.endFaults();
    await cluster.run(SETTLE_MS);
    expectSettled(cluster);
    expect(cluster.history.refused).toBeGreaterThan(0);
  });

  it('no fencing: effects of a replaced owner are accepted', async () => {
    const cluster = await pauseAndResumeOwner({ noFencing: true });
    expect(cluster.history.check().length).toBeGreaterThan(0);
  });

  it('no refutation: a healthy member stays failed', async () => {
    const cluster = await pauseAndResumeOwner({ noRefutation: true });
    cluster.endFaults();
    await cluster.run(SETTLE_MS);
    const states = cluster.members.flatMap((observer) =>
      cluster.members.map((subject) => cluster.state(observer, subject)),
    );
    expect(states).toContain(MemberState.Failed);
  });

  it('no majority: one that is cut off declares the others failed', async () => {
    const verdicts = async (defects: Defects): Promise<readonly string[]> => {
      const cluster = new SimulatedCluster({ controllers: 5, units: 2, seed: 5, defects });
      cluster.startAll();
      await cluster.run(5000);
      for (const other of cluster.members.slice(1)) {
        cluster.network.cut('c0', other);
        cluster.network.cut(other, 'c0');
      }
      await cluster.run(8000);
      return cluster.unfoundedVerdicts;
    };
    expect(await verdicts({})).toEqual([]);
    expect((await verdicts({ noMajority: true })).length).toBeGreaterThan(0);
  });
});
