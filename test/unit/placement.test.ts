import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { describe, expect, it } from 'vitest';
import { overdueDemand } from '../../src/fleet/backlog.js';
import { planScaleOut } from '../../src/fleet/capacity-plan.js';
import type {
  MachineId,
  ImageId,
  JobId,
  TaskId,
  TeamId,
  MachineTypeId,
  ZoneId,
} from '../../src/model/ids.js';
import { type JobSpec, Priority } from '../../src/model/job.js';
import type { Team } from '../../src/model/team.js';
import type { MonotonicTime, WallTime } from '../../src/model/time.js';
import { place as placeSnapshot } from '../../src/scheduler/placement.js';
import { guaranteedJobs } from '../../src/scheduler/queue.js';
import type {
  JobView,
  MachineView,
  PlacementPlan,
  PlacementSnapshot,
  Victim,
} from '../../src/scheduler/snapshot.js';
import type { TeamUsage } from '../../src/scheduler/team-usage.js';
import { copySnapshot, referencePlacement } from './reference-placement.js';
import { isStarving } from '../../src/scheduler/starvation.js';
import { MACHINE_TYPES } from '../simulation/site-setup.js';

const spec = (overrides: Partial<JobSpec>): JobSpec => ({
  id: 'j-000001' as JobId,
  jobClass: 'batch',
  team: 'red' as TeamId,
  kind: 'array',
  priority: Priority.Normal,
  taskCount: 1,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'img' as ImageId,
  imageGb: 1,
  allowedTypes: null,
  zone: null,
  zoneAffinity: false,
  zoneAntiAffinity: false,
  allowsSpot: true,
  estimatedRunS: 30,
  checkpointIntervalS: 0,
  checkpointWriteS: 0,
  deadlineS: null,
  dependencies: [],
  dependencyRecordCount: 0,
  descriptionRecordCount: 0,
  ...overrides,
});

const job = (specOverrides: Partial<JobSpec>, overrides: Partial<JobView> = {}): JobView => ({
  spec: spec(specOverrides),
  readyAt: 0 as WallTime,
  waitedMs: 10_000,
  waitingCount: specOverrides.taskCount ?? 1,
  zones: new Map(),
  avoidedMachines: new Set(),
  failedMachines: new Set(),
  failureCount: 0,
  isDeferred: false,
  slackMs: 10_000,
  isStarving: false,
  ...overrides,
});

type MachineWithVictims = MachineView & { victims: Victim[] };

const machine = (id: string, overrides: Partial<MachineWithVictims> = {}): MachineWithVictims => ({
  id: id as MachineId,
  type: 'small' as MachineTypeId,
  zone: 'north' as ZoneId,
  spot: false,
  cpus: 8,
  free: { cpus: 8, gpus: 0, memoryGb: 32 },
  images: new Set(),
  victims: [],
  isReachable: true,
  ...overrides,
});

const victim = (task: string, overrides: Partial<Victim> = {}): Victim => ({
  task: task as TaskId,
  job: 'j-000009' as JobId,
  team: 'blue' as TeamId,
  priority: Priority.Normal,
  cpus: 4,
  gpus: 0,
  memoryGb: 4,
  lostMs: 1000,
  ...overrides,
});

const team = (id: string, cpus: number, cpusMax: number | null): [TeamId, Team] => [
  id as TeamId,
  { id: id as TeamId, cpus, gpus: 0, cpusMax, gpusMax: null },
];
const TEAMS = new Map([team('red', 4, 8), team('blue', 4, null)]);
function snapshot(
  jobs: JobView[],
  machines: MachineWithVictims[],
  teams: Map<TeamId, Team>,
  teamUsage: Map<TeamId, TeamUsage>,
): PlacementSnapshot {
  const victimsByMachine = new Map(machines.map(({ id, victims }) => [id, victims]));
  return {
    jobs,
    machines,
    trialMachines: [],
    teams,
    teamUsage,
    guaranteed: guaranteedJobs(jobs, teams),
    victimsOf: (id) => [...(victimsByMachine.get(id) ?? [])],
  };
}

const place = (...args: Parameters<typeof snapshot>): PlacementPlan => placeSnapshot(snapshot(...args));

/** The free capacity of a full machine. */
const FULL = { cpus: 0, gpus: 0, memoryGb: 0 };

describe('place', () => {
  it('never exceeds a team’s quota limit, even if machines have free capacity', () => {
    const plan = place([job({ taskCount: 9 })], [machine('a'), machine('b')], TEAMS, new Map());
    expect(plan.starts).toHaveLength(4);
  });

  it('places jobs that don’t allow spot machines on on-demand machines only', () => {
    const plan = place([job({ allowsSpot: false })], [machine('a', { spot: true })], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
    expect(plan.unmet).toHaveLength(1);
  });

  it('preempts lower priorities for a service replica on a machine that has its image, the least loss first', () => {
    const warm = machine('warm', {
      free: { ...FULL },
      images: new Set(['img' as ImageId]),
      victims: [victim('j-000009/0', { lostMs: 500 }), victim('j-000009/1', { lostMs: 9000 })],
    });
    const replica = job({ kind: 'service', priority: Priority.Production, allowsSpot: false });
    const plan = place([replica], [warm, machine('cold')], TEAMS, new Map());
    expect(plan.starts).toEqual([{ job: 'j-000001', machine: 'warm' }]);
    expect(plan.preemptions).toEqual([{ machine: 'warm', task: 'j-000009/0', preemptor: 'j-000001' }]);
  });

  it('preempts tasks beyond other teams’ quotas for a team’s guaranteed quota only', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const planWithinQuota = place([job({ taskCount: 2 })], [full], TEAMS, new Map());
    expect(planWithinQuota.preemptions).toHaveLength(1);
    const fullAgain = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const planBeyondQuota = place([job({ taskCount: 3 })], [fullAgain], TEAMS, new Map());
    expect(planBeyondQuota.preemptions).toEqual([]);
  });

  it('does not preempt for a guaranteed job that has waited for less than 1 s', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    expect(place([job({ taskCount: 2 }, { waitedMs: 900 })], [full], TEAMS, new Map()).preemptions).toEqual(
      [],
    );
  });

  it('weighs the cost of preempting urgent work eightfold, since its dependents wait as well', () => {
    const machineWith = (id: string, lostMs: number, priority: Priority): MachineWithVictims =>
      machine(id, { free: { ...FULL }, victims: [victim(`j-00000${id}/0`, { lostMs, priority })] });
    const machines = [machineWith('7', 2000, Priority.High), machineWith('8', 20_000, Priority.Normal)];
    const replica = job({ kind: 'service', priority: Priority.Production, allowsSpot: false });
    const plan = place([replica], machines, TEAMS, new Map());
    expect(plan.preemptions.map((preemption) => preemption.machine)).toEqual(['8']);
  });

  it('starts no task of a job that is held back', () => {
    const plan = place([job({ zoneAffinity: true }, { isDeferred: true })], [machine('a')], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
  });
});

describe('place with machines that accept a trial task', () => {
  const placeWithTrials = (jobs: JobView[], machines: MachineWithVictims[], trials: MachineView[]) =>
    placeSnapshot({ ...snapshot(jobs, machines, TEAMS, new Map()), trialMachines: trials });

  it('uses them only for tasks that have no room elsewhere, with one task each', () => {
    const other = machine('a', { free: { cpus: 2, gpus: 0, memoryGb: 32 } });
    const plan = placeWithTrials([job({ taskCount: 4 })], [other], [machine('b'), machine('c')]);
    expect(plan.starts.map((start) => start.machine)).toEqual(['a', 'b', 'c']);
    expect(plan.unmet.map(({ tasks }) => tasks)).toEqual([1]);
    expect(placeWithTrials([job({})], [machine('a')], [machine('b')]).starts).toHaveLength(1);
  });

  // Guards against a job that fails on every machine and, ahead in the queue, uses up each trial of a sound machine.
  it('prefers jobs with fewer failures to jobs that come earlier in the queue', () => {
    const failed = job({ id: 'j-000001' as JobId }, { failureCount: 3, slackMs: 0 });
    const sound = job({ id: 'j-000002' as JobId }, { slackMs: null });
    const { starts, unmet } = placeWithTrials([failed, sound], [], [machine('a')]);
    expect(starts).toEqual([{ job: 'j-000002', machine: 'a' }]);
    expect(unmet.map(({ job: { spec: unmetSpec } }) => unmetSpec.id)).toEqual(['j-000001']);
  });

  it('obeys quotas, placement constraints and the machines that a job avoids', () => {
    const avoiding = job({}, { avoidedMachines: new Set(['a' as MachineId]) });
    expect(placeWithTrials([avoiding], [], [machine('a')]).starts).toEqual([]);
    expect(placeWithTrials([job({ allowsSpot: false })], [], [machine('a', { spot: true })]).starts).toEqual(
      [],
    );
    const trials = ['a', 'b', 'c', 'd', 'e'].map((id) => machine(id));
    expect(placeWithTrials([job({ taskCount: 9 })], [], trials).starts).toHaveLength(4);
    const zoneBound = job({ taskCount: 3, zoneAffinity: true });
    const zones = [machine('a'), machine('b', { zone: 'south' as ZoneId }), machine('c')];
    expect(placeWithTrials([zoneBound], [], zones).starts.map((start) => start.machine)).toEqual(['a', 'c']);
  });
});

describe('place on large snapshots', () => {
  const generator = xoroshiro128plus(11);
  /** Returns a random integer from 0 up to but not including the bound. */
  const randomBelow = (bound: number): number => uniformInt(generator, 0, bound - 1);

  /**
   * Returns the snapshot of a random cluster: machines with 0 to 8 free CPUs, arrays and services, and two teams with
   * quota limits, of which `red` already uses up to 19 CPUs.
   */
  function randomSnapshot(): PlacementSnapshot {
    const machines = Array.from({ length: 30 }, (_machine, index) => {
      const cpus = randomBelow(3) === 0 ? 64 : 8;
      const victims = Array.from({ length: randomBelow(4) }, (_victim, number) =>
        victim(`j-000009/${index * 10 + number}`, {
          lostMs: randomBelow(60_000),
          cpus: 2,
          priority: randomBelow(3) as Priority,
          job: `j-90000${randomBelow(4)}` as JobId,
          team: (randomBelow(2) ? 'red' : 'blue') as TeamId,
        }),
      ).sort((left, right) => left.priority - right.priority || left.lostMs - right.lostMs);
      return machine(`host-${String(randomBelow(900_000)).padStart(6, '0')}-${index}`, {
        cpus,
        zone: (randomBelow(2) ? 'north' : 'south') as ZoneId,
        spot: randomBelow(2) === 0,
        free: { cpus: randomBelow(5) * 2, gpus: 0, memoryGb: randomBelow(30) },
        images: new Set(randomBelow(2) ? [`img-${randomBelow(3)}` as ImageId] : []),
        isReachable: randomBelow(8) > 0,
        victims,
      });
    });
    const jobs = Array.from({ length: 12 }, (_job, index) => {
      const isProduction = randomBelow(4) === 0;
      const taskCount = 1 + randomBelow(9);
      return job(
        {
          id: `j-${String(index).padStart(6, '0')}` as JobId,
          team: (randomBelow(2) ? 'red' : 'blue') as TeamId,
          priority: isProduction ? Priority.Production : randomBelow(2),
          kind: isProduction ? 'service' : 'array',
          allowsSpot: !isProduction,
          taskCount,
          cpus: 1 + randomBelow(4),
          memoryGb: 1 + randomBelow(6),
          image: `img-${randomBelow(3)}` as ImageId,
          zoneAffinity: randomBelow(5) === 0,
          zoneAntiAffinity: randomBelow(5) === 0,
        },
        {
          readyAt: randomBelow(1000) as WallTime,
          waitedMs: randomBelow(3000),
          waitingCount: 1 + randomBelow(taskCount),
          slackMs: randomBelow(3) ? randomBelow(90_000) : null,
          failedMachines: new Set(
            (index % 2 ? machines : []).filter(() => randomBelow(6) === 0).map(({ id }) => id),
          ),
        },
      );
    });
    const teams = new Map([team('red', 10, 40), team('blue', 30, 90)]);
    return snapshot(jobs, machines, teams, new Map([['red' as TeamId, { cpus: randomBelow(20), gpus: 0 }]]));
  }

  it('makes the same decisions as the reference implementation without indices', () => {
    let starts = 0;
    let preemptions = 0;
    for (let round = 0; round < 300; round++) {
      const snapshotToPlace = randomSnapshot();
      const reference = referencePlacement(copySnapshot(snapshotToPlace));
      const plan = placeSnapshot(snapshotToPlace);
      expect(plan.starts).toEqual(reference.starts);
      expect(plan.preemptions).toEqual(reference.preemptions);
      starts += plan.starts.length;
      preemptions += plan.preemptions.length;
    }
    // Fewer decisions would mean that the random snapshots hardly exercise placement and preemption.
    expect(starts).toBeGreaterThan(3000);
    expect(preemptions).toBeGreaterThan(100);
  });

  it('reads a full machine’s capacity once per index, however many jobs wait', () => {
    let reads = 0;
    const machines = Array.from({ length: 1500 }, (_, index) => {
      const fullMachine = machine(`host-${index}`, { free: { ...FULL } });
      return new Proxy(fullMachine, {
        get(target, field) {
          if (field === 'free') reads++;
          return Reflect.get(target, field) as unknown;
        },
      });
    });
    const jobs = Array.from({ length: 200 }, (_, index) => job({ id: `j-${index}` as JobId, taskCount: 50 }));
    const plan = place(jobs, machines, new Map([team('red', 0, null)]), new Map());
    expect(plan.unmet).toHaveLength(200);
    // One read of the free capacity for each of the two indices (spot and on-demand).
    expect(reads).toBeLessThanOrEqual(2 * machines.length);
  });

  it('places part of a starving job’s tasks before all other work', () => {
    const starving = job({ id: 'j-000002' as JobId, taskCount: 8 }, { slackMs: null, isStarving: true });
    const urgent = job({ id: 'j-000001' as JobId, taskCount: 8, priority: Priority.High }, { slackMs: 1 });
    const plan = place([urgent, starving], [machine('a')], new Map([team('red', 0, null)]), new Map());
    expect(plan.starts.map((start) => start.job)).toEqual(['j-000002', 'j-000002', 'j-000001', 'j-000001']);
  });
});

describe('isStarving', () => {
  it('is true once a job without placed tasks has waited for two minutes', () => {
    expect(
      isStarving({ spec: spec({}), lastPlacedAt: null, assignedCount: 0 }, 119_000, 0 as MonotonicTime),
    ).toBe(false);
    expect(
      isStarving({ spec: spec({}), lastPlacedAt: null, assignedCount: 0 }, 121_000, 0 as MonotonicTime),
    ).toBe(true);
    expect(
      isStarving({ spec: spec({}), lastPlacedAt: null, assignedCount: 1 }, 121_000, 0 as MonotonicTime),
    ).toBe(false);
  });
});

describe('scaling out', () => {
  const pools = [
    { type: MACHINE_TYPES[0] as (typeof MACHINE_TYPES)[0], zone: 'north' as ZoneId, spot: true },
    { type: MACHINE_TYPES[0] as (typeof MACHINE_TYPES)[0], zone: 'north' as ZoneId, spot: false },
  ];

  it('rents from the cheapest pool and counts pending machines as capacity', () => {
    const pending = [
      {
        type: 'small' as MachineTypeId,
        zone: 'north' as ZoneId,
        spot: true,
        free: { cpus: 4, gpus: 0, memoryGb: 9 },
      },
    ];
    const requests = planScaleOut([{ spec: spec({}), tasks: 7, zones: new Map() }], pending, pools, 100);
    // Two of seven tasks fit on the pending machine; the other five need two machines with room for four tasks each.
    expect(requests.map(({ pool, count }) => [pool.spot, count])).toEqual([[true, 2]]);
  });

  it('counts as overdue only the demand that the fleet cannot complete in time', () => {
    const queue = (slackMs: number) => [
      { spec: spec({}), tasks: 10, zones: new Map(), runMs: 30_000, slackMs, slackFactor: 1 },
    ];
    // 600 CPU-seconds on 0.8 · 10 CPUs take 75 s.
    expect(overdueDemand(queue(60_000), 10, 0)).toEqual([]);
    // 600 CPU-seconds within 20 s + 30 s take 12 CPUs: 4 CPUs, the demand of 2 tasks, are missing.
    expect(overdueDemand(queue(20_000), 10, 0).map(({ tasks }) => tasks)).toEqual([2]);
  });
});
