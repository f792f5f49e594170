import { type MemberId, MemberState } from '@plumyoke/membership';
import { type Defects, SimulatedCluster } from '@plumyoke/simulation';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

/**
 * Random schedules of faults against whole clusters on a virtual clock. The seed is fixed, so that CI runs the same
 * schedules every time; the environment variables `SCHEDULE_RUNS` and `SCHEDULE_SEED` select more or other schedules.
 * Each cluster size runs `SCHEDULE_RUNS` divided by the number of controllers, but at least 3 schedules.
 */
const RUNS = Number(process.env['SCHEDULE_RUNS'] ?? 60);
const SEED = Number(process.env['SCHEDULE_SEED'] ?? 20261202);

/** The time after the end of all faults within which all views must agree and every unit must have an owner. */
const SETTLE_MS = 12_000;

/** The model state that fast-check passes to every command. */
interface Model {
  steps: number;
}

type ClusterCommand = fc.AsyncCommand<Model, SimulatedCluster>;

/** The start or the end of a fault, followed by a wait of `waitMs` on the virtual clock. */
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
  const memberFault = (name: string, act: (cluster: SimulatedCluster, member: MemberId) => void) =>
    fc
      .tuple(member, wait)
      .map(([target, ms]) => new FaultCommand(`${name} ${target}`, ms, (cluster) => act(cluster, target)));
  const pairFault = (name: string, act: (cluster: SimulatedCluster, a: MemberId, b: MemberId) => void) =>
    fc
      .tuple(member, member, wait)
      .map(([a, b, ms]) => new FaultCommand(`${name} ${a} ${b}`, ms, (cluster) => act(cluster, a, b)));
  const clusterFault = (name: string, act: (cluster: SimulatedCluster, share: number) => void) =>
    fc
      .tuple(fc.integer({ min: 0, max: 4 }), wait)
      .map(
        ([tenths, ms]) => new FaultCommand(`${name} 0.${tenths}`, ms, (cluster) => act(cluster, tenths / 10)),
      );
  return [
    memberFault('kill', (cluster, target) => cluster.kill(target)),
    memberFault('start', (cluster, target) => cluster.start(target)),
    memberFault('restart at once', (cluster, target) => {
      cluster.kill(target);
      cluster.start(target);
    }),
    memberFault('pause', (cluster, target) => cluster.pause(target)),
    memberFault('resume', (cluster, target) => cluster.resume(target)),
    memberFault('leave', (cluster, target) => void cluster.leave(target)),
    memberFault('store refuses', (cluster, target) => cluster.store.refusedClients.add(target)),
    pairFault('cut one way', (cluster, from, to) => cluster.network.cut(from, to)),
    pairFault('heal', (cluster, from, to) => cluster.network.heal(from, to)),
    memberFault('cut off', (cluster, target) => {
      for (const other of cluster.members) {
        cluster.network.cut(target, other);
        cluster.network.cut(other, target);
      }
    }),
    clusterFault('store outage', (cluster, share) => {
      cluster.store.isUnavailable = share < 0.2;
    }),
    clusterFault('late transactions', (cluster, share) => {
      cluster.store.lateCommitRate = share;
    }),
    clusterFault('duplicate requests', (cluster, share) => {
      Object.assign(cluster.network.faults, { duplicateRate: share, maxDuplicateDelayMs: 8000 });
    }),
    clusterFault('slow and lost messages', (cluster, share) => {
      Object.assign(cluster.network.faults, { maxDelayMs: 4 + share * 800, lossRate: share / 2 });
    }),
  ];
}

/** Expects that the invariants hold, every unit has exactly one owner, and all members see each other as alive. */
function expectSettled(cluster: SimulatedCluster): void {
  expect(cluster.history.getViolations()).toEqual([]);
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
    'keep one owner for each unit, refuse effects of replaced owners, and end in agreeing views (%i controllers)',
    async (controllers) => {
      const commands = fc.commands(faultCommands(controllers), { maxCommands: 25 });
      const property = fc.asyncProperty(fc.nat(1_000_000), commands, (seed, schedule) =>
        runSchedule(controllers, seed, schedule),
      );
      await fc.assert(property, { seed: SEED, numRuns: Math.max(3, Math.round(RUNS / controllers)) });
    },
    600_000,
  );
});

/** Runs four rounds in which the owner is paused with effects in flight and resumed after its replacement. */
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

// Each check must fail for the deliberate defect that the check is meant to detect.
describe('deliberate defects are detected', () => {
  it('passes without a defect', async () => {
    const cluster = await pauseAndResumeOwner({});
    cluster.endFaults();
    await cluster.run(SETTLE_MS);
    expectSettled(cluster);
    expect(cluster.history.refusedCount).toBeGreaterThan(0);
  });

  it('no fencing: effects of a replaced owner are accepted', async () => {
    const cluster = await pauseAndResumeOwner({ noFencing: true });
    expect(cluster.history.getViolations().length).toBeGreaterThan(0);
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

  it('no majority: a member that is partitioned from all others declares them failed', async () => {
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
