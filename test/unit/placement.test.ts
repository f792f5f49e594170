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
import type { TeamUsage } from '../../src/scheduler/job-store.js';
import { plainPlace, structuredCloneOf } from './reference-placement.js';
import { isStarving, Urgency } from '../../src/scheduler/urgency.js';
import { TYPES } from '../simulation/site-setup.js';

const spec = (over: Partial<JobSpec>): JobSpec => ({
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
  ...over,
});

const job = (over: Partial<JobSpec>, more: Partial<JobView> = {}): JobView => ({
  spec: spec(over),
  readyAt: 0 as WallTime,
  waitedMs: 10_000,
  waitingCount: over.taskCount ?? 1,
  zones: new Map(),
  avoidedMachines: new Set(),
  isHeldBack: false,
  slackMs: 10_000,
  isStarving: false,
  ...more,
});

type MachineWith = MachineView & { victims: Victim[] };

const machine = (id: string, over: Partial<MachineWith> = {}): MachineWith => ({
  id: id as MachineId,
  type: 'small' as MachineTypeId,
  zone: 'north' as ZoneId,
  spot: false,
  cpus: 8,
  free: { cpus: 8, gpus: 0, memoryGb: 32 },
  images: new Set(),
  victims: [],
  isReachable: true,
  ...over,
});

const victim = (task: string, over: Partial<Victim> = {}): Victim => ({
  task: task as TaskId,
  job: 'j-000009' as JobId,
  team: 'blue' as TeamId,
  priority: Priority.Normal,
  cpus: 4,
  gpus: 0,
  memoryGb: 4,
  lostMs: 1000,
  ...over,
});

const team = (id: string, cpus: number, cpusMax: number | null): [TeamId, Team] => [
  id as TeamId,
  { id: id as TeamId, cpus, gpus: 0, cpusMax, gpusMax: null },
];
const TEAMS = new Map([team('red', 4, 8), team('blue', 4, null)]);
function snapshot(
  jobs: JobView[],
  machines: MachineWith[],
  teams: Map<TeamId, Team>,
  use: Map<TeamId, TeamUsage>,
): PlacementSnapshot {
  const victims = new Map(machines.map((m) => [m.id, m.victims]));
  return {
    jobs,
    machines,
    teams,
    teamUsage: use,
    guaranteed: guaranteedJobs(jobs, teams),
    victimsOf: (id) => [...(victims.get(id) ?? [])],
  };
}

const place = (...args: Parameters<typeof snapshot>): PlacementPlan => placeSnapshot(snapshot(...args));

const FULL = { cpus: 0, gpus: 0, memoryGb: 0 };

describe('placement', () => {
  it('never goes over a team’s limit, whatever is free', () => {
    const plan = place([job({ taskCount: 9 })], [machine('a'), machine('b')], TEAMS, new Map());
    expect(plan.starts).toHaveLength(4);
  });

  it('keeps other work off spot machines', () => {
    const plan = place([job({ allowsSpot: false })], [machine('a', { spot: true })], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
    expect(plan.unmet).toHaveLength(1);
  });

  it('stops lower work for a replica where its image is, the least loss first', () => {
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

  it('gives a team its guarantee from what others run beyond theirs, and nobody else’s', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const within = place([job({ taskCount: 2 })], [full], TEAMS, new Map());
    expect(within.preemptions).toHaveLength(1);
    const fullAgain = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const beyond = place([job({ taskCount: 3 })], [fullAgain], TEAMS, new Map());
    expect(beyond.preemptions).toEqual([]);
  });

  it('lets a guaranteed job wait for a moment before it stops anybody', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    expect(place([job({ taskCount: 2 }, { waitedMs: 900 })], [full], TEAMS, new Map()).preemptions).toEqual(
      [],
    );
  });

  it('stops urgent work last: what waits for it waits as well', () => {
    const machineWith = (id: string, lostMs: number, priority: Priority): MachineWith =>
      machine(id, { free: { ...FULL }, victims: [victim(`j-00000${id}/0`, { lostMs, priority })] });
    const machines = [machineWith('7', 2000, Priority.High), machineWith('8', 20_000, Priority.Normal)];
    const replica = job({ kind: 'service', priority: Priority.Production, allowsSpot: false });
    const plan = place([replica], machines, TEAMS, new Map());
    expect(plan.preemptions.map((stop) => stop.machine)).toEqual(['8']);
  });

  it('starts nothing of a job whose tasks are in unknown places', () => {
    const plan = place([job({ zoneAffinity: true }, { isHeldBack: true })], [machine('a')], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
  });
});

describe('placement at size', () => {
  const generator = xoroshiro128plus(11);
  const draw = (n: number): number => uniformInt(generator, 0, n - 1);

  /** A drawn cluster: machines part full, jobs of all kinds, teams near their limits. */
  function drawn(): PlacementSnapshot {
    const machines = Array.from({ length: 30 }, (_, i) => {
      const cpus = draw(3) === 0 ? 64 : 8;
      const victims = Array.from({ length: draw(4) }, (_v, k) =>
        victim(`j-000009/${i * 10 + k}`, {
          lostMs: draw(60_000),
          cpus: 2,
          priority: draw(3) as Priority,
          job: `j-90000${draw(4)}` as JobId,
          team: (draw(2) ? 'red' : 'blue') as TeamId,
        }),
      ).sort((a, b) => a.priority - b.priority || a.lostMs - b.lostMs);
      return machine(`host-${String(draw(900_000)).padStart(6, '0')}-${i}`, {
        cpus,
        zone: (draw(2) ? 'north' : 'south') as ZoneId,
        spot: draw(2) === 0,
        free: { cpus: draw(5) * 2, gpus: 0, memoryGb: draw(30) },
        images: new Set(draw(2) ? [`img-${draw(3)}` as ImageId] : []),
        isReachable: draw(8) > 0,
        victims,
      });
    });
    const jobs = Array.from({ length: 12 }, (_, i) => {
      const production = draw(4) === 0;
      const tasks = 1 + draw(9);
      return job(
        {
          id: `j-${String(i).padStart(6, '0')}` as JobId,
          team: (draw(2) ? 'red' : 'blue') as TeamId,
          priority: production ? Priority.Production : draw(2),
          kind: production ? 'service' : 'array',
          allowsSpot: !production,
          taskCount: tasks,
          cpus: 1 + draw(4),
          memoryGb: 1 + draw(6),
          image: `img-${draw(3)}` as ImageId,
          zoneAffinity: draw(5) === 0,
          zoneAntiAffinity: draw(5) === 0,
        },
        {
          readyAt: draw(1000) as WallTime,
          waitedMs: draw(3000),
          waitingCount: 1 + draw(tasks),
          slackMs: draw(3) ? draw(90_000) : null,
        },
      );
    });
    const teams = new Map([team('red', 10, 40), team('blue', 30, 90)]);
    return snapshot(jobs, machines, teams, new Map([['red' as TeamId, { cpus: draw(20), gpus: 0 }]]));
  }

  it('decides what plain first-fit over the whole list decides', () => {
    let starts = 0;
    let stops = 0;
    for (let i = 0; i < 300; i++) {
      const now = drawn();
      const plain = plainPlace(structuredCloneOf(now));
      const plan = placeSnapshot(now);
      expect(plan.starts).toEqual(plain.starts);
      expect(plan.preemptions).toEqual(plain.preemptions);
      starts += plan.starts.length;
      stops += plan.preemptions.length;
    }
    // Otherwise the draws would show nothing.
    expect(starts).toBeGreaterThan(3000);
    expect(stops).toBeGreaterThan(100);
  });

  it('looks at a full machine once, however many jobs wait', () => {
    let looks = 0;
    const machines = Array.from({ length: 1500 }, (_, i) => {
      const m = machine(`host-${i}`, { free: { ...FULL } });
      return new Proxy(m, {
        get(target, field) {
          if (field === 'free') looks++;
          return Reflect.get(target, field) as unknown;
        },
      });
    });
    const jobs = Array.from({ length: 200 }, (_, i) => job({ id: `j-${i}` as JobId, taskCount: 50 }));
    const plan = place(jobs, machines, new Map([team('red', 0, null)]), new Map());
    expect(plan.unmet).toHaveLength(200);
    // one look for each of the two orders
    expect(looks).toBeLessThanOrEqual(2 * machines.length);
  });

  it('lets a job begin that has waited unserved, with a part of its tasks', () => {
    const late = job({ id: 'j-000002' as JobId, taskCount: 8 }, { slackMs: null, isStarving: true });
    const urgent = job({ id: 'j-000001' as JobId, taskCount: 8, priority: Priority.High }, { slackMs: 1 });
    const plan = place([urgent, late], [machine('a')], new Map([team('red', 0, null)]), new Map());
    expect(plan.starts.map((s) => s.job)).toEqual(['j-000002', 'j-000002', 'j-000001', 'j-000001']);
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

describe('targets', () => {
  const urgency = new Urgency([
    { kind: 'finished', jobClass: 'batch', target: 60_000 as never, share: 0.9 },
    { kind: 'finished', jobClass: 'batch', target: 120_000 as never, share: 0.95 },
    { kind: 'wait', jobClass: 'batch', target: 50_000 as never, share: 0.99 },
  ]);

  it('give way to the next one when they cannot be met any more', () => {
    // 60 s − 30 s · 1.25 − 4 s for the image
    expect(urgency.next(spec({}), 0, 30_000)?.slackMs).toBe(18_500);
    expect(urgency.next(spec({}), 20_000, 30_000)?.slackMs).toBe(58_500);
    expect(urgency.next(spec({}), 100_000, 30_000)).toBeNull();
  });

  it('for the start count as well, until they too are lost', () => {
    expect(urgency.slack(spec({}), 0, 30_000)).toBe(18_500);
    // The end at 120 s alone would let it wait for 58.5 s more, until 78.5 s after its submission.
    expect(urgency.slack(spec({}), 20_000, 30_000)).toBe(26_000);
    expect(urgency.slack(spec({}), 47_000, 30_000)).toBe(31_500);
    expect(urgency.slack(spec({}), 100_000, 30_000)).toBeNull();
  });
});

describe('scaling out', () => {
  const pools = [
    { type: TYPES[0] as (typeof TYPES)[0], zone: 'north' as ZoneId, spot: true },
    { type: TYPES[0] as (typeof TYPES)[0], zone: 'north' as ZoneId, spot: false },
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
    expect(overdueDemand(queue(20_000), 10, 0).map((n) => n.tasks)).toEqual([2]);
  });
});
