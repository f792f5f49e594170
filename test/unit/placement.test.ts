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
  isHeldBack: false,
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
  it('never exceeds a team’s quota limit, whatever is free', () => {
    const plan = place([job({ taskCount: 9 })], [machine('a'), machine('b')], TEAMS, new Map());
    expect(plan.starts).toHaveLength(4);
  });

  it('keeps jobs that don’t allow spot off spot machines', () => {
    const plan = place([job({ allowsSpot: false })], [machine('a', { spot: true })], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
    expect(plan.unmet).toHaveLength(1);
  });

  it('preempts lower priorities for a replica where its image is, the least loss first', () => {
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

  it('gives a team its guaranteed quota from what others run beyond theirs, and no more', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const within = place([job({ taskCount: 2 })], [full], TEAMS, new Map());
    expect(within.preemptions).toHaveLength(1);
    const fullAgain = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const beyond = place([job({ taskCount: 3 })], [fullAgain], TEAMS, new Map());
    expect(beyond.preemptions).toEqual([]);
  });

  it('lets a guaranteed job wait for a moment before it preempts others', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    expect(place([job({ taskCount: 2 }, { waitedMs: 900 })], [full], TEAMS, new Map()).preemptions).toEqual(
      [],
    );
  });

  it('preempts urgent work last: what depends on it waits as well', () => {
    const machineWith = (id: string, lostMs: number, priority: Priority): MachineWithVictims =>
      machine(id, { free: { ...FULL }, victims: [victim(`j-00000${id}/0`, { lostMs, priority })] });
    const machines = [machineWith('7', 2000, Priority.High), machineWith('8', 20_000, Priority.Normal)];
    const replica = job({ kind: 'service', priority: Priority.Production, allowsSpot: false });
    const plan = place([replica], machines, TEAMS, new Map());
    expect(plan.preemptions.map((preemption) => preemption.machine)).toEqual(['8']);
  });

  it('starts nothing of a job that is held back', () => {
    const plan = place([job({ zoneAffinity: true }, { isHeldBack: true })], [machine('a')], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
  });
});

describe('place at size', () => {
  const generator = xoroshiro128plus(11);
  /** A number from 0 up to but not including the bound. */
  const draw = (bound: number): number => uniformInt(generator, 0, bound - 1);

  /** A drawn cluster: machines part full, jobs of all kinds, teams near their limits. */
  function drawSnapshot(): PlacementSnapshot {
    const machines = Array.from({ length: 30 }, (_machine, index) => {
      const cpus = draw(3) === 0 ? 64 : 8;
      const victims = Array.from({ length: draw(4) }, (_victim, number) =>
        victim(`j-000009/${index * 10 + number}`, {
          lostMs: draw(60_000),
          cpus: 2,
          priority: draw(3) as Priority,
          job: `j-90000${draw(4)}` as JobId,
          team: (draw(2) ? 'red' : 'blue') as TeamId,
        }),
      ).sort((a, b) => a.priority - b.priority || a.lostMs - b.lostMs);
      return machine(`host-${String(draw(900_000)).padStart(6, '0')}-${index}`, {
        cpus,
        zone: (draw(2) ? 'north' : 'south') as ZoneId,
        spot: draw(2) === 0,
        free: { cpus: draw(5) * 2, gpus: 0, memoryGb: draw(30) },
        images: new Set(draw(2) ? [`img-${draw(3)}` as ImageId] : []),
        isReachable: draw(8) > 0,
        victims,
      });
    });
    const jobs = Array.from({ length: 12 }, (_job, index) => {
      const isProduction = draw(4) === 0;
      const taskCount = 1 + draw(9);
      return job(
        {
          id: `j-${String(index).padStart(6, '0')}` as JobId,
          team: (draw(2) ? 'red' : 'blue') as TeamId,
          priority: isProduction ? Priority.Production : draw(2),
          kind: isProduction ? 'service' : 'array',
          allowsSpot: !isProduction,
          taskCount,
          cpus: 1 + draw(4),
          memoryGb: 1 + draw(6),
          image: `img-${draw(3)}` as ImageId,
          zoneAffinity: draw(5) === 0,
          zoneAntiAffinity: draw(5) === 0,
        },
        {
          readyAt: draw(1000) as WallTime,
          waitedMs: draw(3000),
          waitingCount: 1 + draw(taskCount),
          slackMs: draw(3) ? draw(90_000) : null,
        },
      );
    });
    const teams = new Map([team('red', 10, 40), team('blue', 30, 90)]);
    return snapshot(jobs, machines, teams, new Map([['red' as TeamId, { cpus: draw(20), gpus: 0 }]]));
  }

  it('decides the same as the reference without indices', () => {
    let starts = 0;
    let preemptions = 0;
    for (let round = 0; round < 300; round++) {
      const drawn = drawSnapshot();
      const reference = referencePlacement(copySnapshot(drawn));
      const plan = placeSnapshot(drawn);
      expect(plan.starts).toEqual(reference.starts);
      expect(plan.preemptions).toEqual(reference.preemptions);
      starts += plan.starts.length;
      preemptions += plan.preemptions.length;
    }
    // With fewer the draws would prove nothing.
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
    // One read for each of the two orders.
    expect(reads).toBeLessThanOrEqual(2 * machines.length);
  });

  it('lets a starving job go first, with a part of its tasks', () => {
    const starving = job({ id: 'j-000002' as JobId, taskCount: 8 }, { slackMs: null, isStarving: true });
    const urgent = job({ id: 'j-000001' as JobId, taskCount: 8, priority: Priority.High }, { slackMs: 1 });
    const plan = place([urgent, starving], [machine('a')], new Map([team('red', 0, null)]), new Map());
    expect(plan.starts.map((start) => start.job)).toEqual(['j-000002', 'j-000002', 'j-000001', 'j-000001']);
  });
});

describe('isStarving', () => {
  it('holds once a job without placed tasks has waited for two minutes', () => {
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

  it('takes the cheapest pool and counts pending machines', () => {
    const pending = [
      {
        type: 'small' as MachineTypeId,
        zone: 'north' as ZoneId,
        spot: true,
        free: { cpus: 4, gpus: 0, memoryGb: 9 },
      },
    ];
    const requests = planScaleOut([{ spec: spec({}), tasks: 7, zones: new Map() }], pending, pools, 100);
    // two of seven fit the pending machine; five more need two machines of four
    expect(requests.map(({ pool, count }) => [pool.spot, count])).toEqual([[true, 2]]);
  });

  it('counts as overdue only what the fleet would not work off in time', () => {
    const queue = (slackMs: number) => [
      { spec: spec({}), tasks: 10, zones: new Map(), runMs: 30_000, slackMs, slackFactor: 1 },
    ];
    // 600 CPU-seconds on 0.8 · 10 CPUs last 75 s
    expect(overdueDemand(queue(60_000), 10, 0)).toEqual([]);
    // in 20 s + 30 s they take 12 CPUs: 4 are missing, 2 tasks' worth
    expect(overdueDemand(queue(20_000), 10, 0).map(({ tasks }) => tasks)).toEqual([2]);
  });
});
