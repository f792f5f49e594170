import { describe, expect, it } from 'vitest';
import { lateNeeds } from '../../src/fleet/backlog.js';
import { rentFor } from '../../src/fleet/plan.js';
import type { HostId, ImageId, JobId, TaskId, TeamId, TypeId, ZoneId } from '../../src/model/ids.js';
import { type JobSpec, Priority } from '../../src/model/job.js';
import type { Team } from '../../src/model/team.js';
import type { WallTime } from '../../src/model/time.js';
import { type JobView, type MachineView, place, type Victim } from '../../src/scheduler/place.js';
import { Urgency } from '../../src/scheduler/urgency.js';
import { TYPES } from '../standins/site.js';

const spec = (over: Partial<JobSpec>): JobSpec => ({
  id: 'j-000001' as JobId,
  jobClass: 'batch',
  team: 'red' as TeamId,
  kind: 'array',
  priority: Priority.Normal,
  tasks: 1,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'img' as ImageId,
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimateS: 30,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...over,
});

const job = (over: Partial<JobSpec>, more: Partial<JobView> = {}): JobView => ({
  spec: spec(over),
  acceptedAt: 0 as WallTime,
  waiting: over.tasks ?? 1,
  zones: new Map(),
  avoid: new Set(),
  heldBack: false,
  slackMs: 10_000,
  ...more,
});

const machine = (id: string, over: Partial<MachineView> = {}): MachineView => ({
  id: id as HostId,
  type: 'small' as TypeId,
  zone: 'north' as ZoneId,
  spot: false,
  cpus: 8,
  free: { cpus: 8, gpus: 0, memoryGb: 32 },
  images: new Set(),
  victims: [],
  reachable: true,
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
const FULL = { cpus: 0, gpus: 0, memoryGb: 0 };

describe('placement', () => {
  it('never goes over a team’s limit, whatever is free', () => {
    const plan = place([job({ tasks: 9 })], [machine('a'), machine('b')], TEAMS, new Map());
    expect(plan.starts).toHaveLength(4);
  });

  it('keeps other work off spot machines', () => {
    const plan = place([job({ spot: false })], [machine('a', { spot: true })], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
    expect(plan.unmet).toHaveLength(1);
  });

  it('stops lower work for a replica where its image is, the least loss first', () => {
    const warm = machine('warm', {
      free: { ...FULL },
      images: new Set(['img' as ImageId]),
      victims: [victim('j-000009/0', { lostMs: 500 }), victim('j-000009/1', { lostMs: 9000 })],
    });
    const replica = job({ kind: 'service', priority: Priority.Production, spot: false });
    const plan = place([replica], [warm, machine('cold')], TEAMS, new Map());
    expect(plan.starts).toEqual([{ job: 'j-000001', host: 'warm' }]);
    expect(plan.stops).toEqual([{ host: 'warm', task: 'j-000009/0' }]);
  });

  it('gives a team its guarantee from what others run beyond theirs, and nobody else’s', () => {
    const full = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const within = place([job({ tasks: 2 })], [full], TEAMS, new Map());
    expect(within.stops).toHaveLength(1);
    const fullAgain = machine('a', { free: { ...FULL }, victims: [victim('j-000009/0')] });
    const beyond = place([job({ tasks: 3 })], [fullAgain], TEAMS, new Map());
    expect(beyond.stops).toEqual([]);
  });

  it('starts nothing of a job whose tasks are in unknown places', () => {
    const plan = place([job({ oneZone: true }, { heldBack: true })], [machine('a')], TEAMS, new Map());
    expect(plan.starts).toEqual([]);
  });
});

describe('targets', () => {
  const urgency = new Urgency([
    { kind: 'finished', jobClass: 'batch', within: 60_000 as never, share: 0.9 },
    { kind: 'finished', jobClass: 'batch', within: 120_000 as never, share: 0.95 },
  ]);

  it('give way to the next one when they cannot be met any more', () => {
    // 60 s − 30 s · 1.25 − 4 s for the image
    expect(urgency.next(spec({}), 0, 30_000)?.slackMs).toBe(18_500);
    expect(urgency.next(spec({}), 20_000, 30_000)?.slackMs).toBe(58_500);
    expect(urgency.next(spec({}), 100_000, 30_000)).toBeNull();
  });
});

describe('renting', () => {
  const pools = [
    { type: TYPES[0] as (typeof TYPES)[0], zone: 'north' as ZoneId, spot: true },
    { type: TYPES[0] as (typeof TYPES)[0], zone: 'north' as ZoneId, spot: false },
  ];

  it('takes the cheapest pool and counts what is coming', () => {
    const coming = [
      {
        type: 'small' as TypeId,
        zone: 'north' as ZoneId,
        spot: true,
        free: { cpus: 4, gpus: 0, memoryGb: 9 },
      },
    ];
    const wishes = rentFor([{ spec: spec({}), tasks: 7 }], coming, pools, 100);
    // two of seven fit what is coming; five more need two machines of four
    expect(wishes.map((w) => [w.pool.spot, w.count])).toEqual([[true, 2]]);
  });

  it('calls late only what the fleet would not work off in time', () => {
    const queue = (slackMs: number) => [{ spec: spec({}), tasks: 10, runMs: 30_000, slackMs, patience: 1 }];
    // 600 CPU-seconds on 0.8 · 10 CPUs last 75 s
    expect(lateNeeds(queue(60_000), 10, 0)).toEqual([]);
    // in 20 s + 30 s they take 12 CPUs: 4 are missing, 2 tasks' worth
    expect(lateNeeds(queue(20_000), 10, 0).map((n) => n.tasks)).toEqual([2]);
  });
});
