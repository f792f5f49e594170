import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { AttemptNumber, MachineId, Revision, TaskIndex, ZoneId } from '../../src/model/ids.js';
import type { MonotonicTime, WallTime } from '../../src/model/time.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import { JobStore } from '../../src/scheduler/job-store.js';
import type { ProgressChunk } from '../../src/scheduler/progress-chunk.js';
import { mergeClaims, type ProgressClaim, type TaskProgress } from '../../src/scheduler/progress-merge.js';
import type { Task } from '../../src/scheduler/task.js';
import { DEFAULT_CHUNK_SIZE, type OpenKey, parseOpenKey } from '../../src/store/keys.js';
import { type ChunkProgress, decodeChunk, encodeChunk } from '../../src/store/progress-record.js';
import { submission } from '../simulation/submission.js';

const ZONE = 'north' as ZoneId;
const NOW = 0 as MonotonicTime;

const done: TaskProgress = { kind: 'done' };
const gone = (attempt: number): TaskProgress => ({
  kind: 'waiting',
  attemptNumber: attempt as AttemptNumber,
});
const placed = (attempt: number, machine: string) => ({
  kind: 'placed' as const,
  placement: { attemptNumber: attempt as AttemptNumber, machine: machine as MachineId },
});
const claim = (chunkSize: number, revision: number, progress: TaskProgress): ProgressClaim => ({
  progress,
  chunkSize,
  revision: revision as Revision,
});

describe('mergeClaims', () => {
  it.each([
    [
      'a smaller record that went on',
      [claim(300, 1, placed(1, 'a')), claim(56, 2, placed(2, 'b'))],
      placed(2, 'b'),
    ],
    ['the same attempt, gone by now', [claim(300, 1, placed(1, 'a')), claim(56, 2, gone(1))], gone(1)],
    [
      'a larger record that went on',
      [claim(56, 1, placed(1, 'a')), claim(300, 2, placed(2, 'b'))],
      placed(2, 'b'),
    ],
    [
      'a late write of the larger record',
      [claim(56, 1, placed(2, 'b')), claim(300, 2, placed(1, 'a'))],
      placed(2, 'b'),
    ],
    [
      'a late write of an attempt that is gone',
      [claim(56, 1, gone(2)), claim(300, 2, placed(2, 'b'))],
      gone(2),
    ],
    ['done in the larger record', [claim(56, 1, placed(3, 'a')), claim(300, 2, done)], done],
    ['done, and not known to a later leader', [claim(300, 1, done), claim(56, 2, placed(2, 'b'))], done],
    ['twice the same', [claim(56, 1, placed(1, 'a')), claim(300, 2, placed(1, 'a'))], placed(1, 'a')],
  ])('takes what is furthest on: %s', (_name, claims, progress) => {
    const merged = { progress, unproven: [] };
    expect(mergeClaims(claims)).toEqual(merged);
    expect(mergeClaims([...claims].reverse())).toEqual(merged);
  });

  it.each([
    [
      'a later leader believed an older, smaller record',
      [claim(300, 1, placed(5, 'a')), claim(56, 2, placed(2, 'b'))],
      { progress: placed(5, 'a'), unproven: [placed(2, 'b').placement] },
    ],
    [
      'it gave out a number that is used',
      [claim(300, 1, gone(2)), claim(56, 2, placed(2, 'b'))],
      { progress: gone(2), unproven: [placed(2, 'b').placement] },
    ],
    [
      'it gave out a number that is placed elsewhere: the later one is first',
      [claim(300, 1, placed(2, 'a')), claim(56, 2, placed(2, 'b'))],
      { progress: placed(2, 'a'), unproven: [placed(2, 'b').placement] },
    ],
    [
      'three sizes, twice the same',
      [claim(300, 1, gone(7)), claim(56, 2, placed(2, 'b')), claim(28, 4, placed(2, 'b'))],
      { progress: gone(7), unproven: [placed(2, 'b').placement] },
    ],
    [
      'three sizes, two placements',
      [claim(300, 1, gone(7)), claim(56, 2, placed(3, 'c')), claim(28, 4, placed(2, 'b'))],
      { progress: gone(7), unproven: [placed(2, 'b').placement, placed(3, 'c').placement] },
    ],
  ])('holds what contradicts it and may be running: %s', (_name, claims, merged) => {
    expect(mergeClaims(claims)).toEqual(merged);
    expect(mergeClaims([...claims].reverse())).toEqual(merged);
  });
});

describe('decodeChunk', () => {
  it('leaves unread what a later version adds: fields, and places behind the known ones', () => {
    const later = { d: [[0, 1, 'x']], p: [[2, 1, 'host-a', 7]], u: [[3, 2, null]], x: 1 };
    expect(encodeChunk(decodeChunk(later))).toEqual({ d: [[0, 1]], p: [[2, 1, 'host-a']], u: [[3, 2]] });
  });
});

describe('a task whose records contradict each other', () => {
  const SMALL = 56;
  const contradicted = (last: object): { job: ActiveJob; task: Task; held: Task[] } => {
    const held: Task[] = [];
    const job = new ActiveJob(submission({}), 1 as Revision, 0 as WallTime);
    job.addStoredProgress(0, SMALL, { p: [[0, 2, 'host-b']] }, 9 as Revision);
    job.addStoredProgress(0, DEFAULT_CHUNK_SIZE, last, 7 as Revision);
    job.applyStoredProgress();
    new JobStore((task) => held.push(task)).add(job);
    return { job, task: job.tasks.get(0 as TaskIndex) as Task, held };
  };

  it('is held on one machine after the other, and then waits with a number that was never used', () => {
    const { job, task, held } = contradicted({ p: [[0, 5, 'host-a']] });
    expect([task.machine, task.attemptNumber, task.isInherited]).toEqual(['host-b', 2, true]);
    expect(job.assignedCount).toBe(1);
    job.releaseTask(task, NOW);
    expect([task.machine, task.attemptNumber, task.isInherited]).toEqual(['host-a', 5, true]);
    expect(held).toEqual([task]);
    expect(job.assignedCount).toBe(1);
    job.releaseTask(task, NOW);
    expect(job.assignedCount).toBe(0);
    const next = job.beginAttempt('host-c' as MachineId, ZONE, NOW);
    expect([next.index, next.attemptNumber]).toEqual([0, 6]);
  });

  it('is written as held, so that the next leader finds both again', () => {
    const { job, task } = contradicted({ u: [[0, 5]] });
    job.rewriteOutdatedProgress(NOW);
    expect(job.chunkOf(task.index).isDirty).toBe(false);
    expect(encodeChunk(job.chunkOf(task.index).progress())).toEqual({ p: [[0, 2, 'host-b']] });
    job.releaseTask(task, NOW);
    expect(encodeChunk(job.chunkOf(task.index).progress())).toEqual({ u: [[0, 5]] });
    expect(job.waitingCount).toBe(job.spec.taskCount);
  });

  it('keeps its stop when its job is cancelled', () => {
    const { job, task } = contradicted({ p: [[0, 5, 'host-a']] });
    job.isCancelled = true;
    task.pendingStop = { graceS: 0, reason: 'cancelled', since: NOW };
    job.releaseTask(task, NOW);
    expect(task.machine).toBe('host-a');
    expect(task.pendingStop?.reason).toBe('cancelled');
    expect(job.isOver).toBe(false);
    job.releaseTask(task, NOW);
    expect(job.isOver).toBe(true);
  });

  it('is over once one of them has ended with success', () => {
    const { job, task } = contradicted({ p: [[0, 5, 'host-a']] });
    job.finishTask(task, NOW);
    expect([job.doneCount, job.assignedCount]).toEqual([1, 0]);
    job.releaseTask(task, NOW);
    expect(task.phase).toBe('done');
  });
});

// A series of leaders, each with chunks of its own size, beside a model that knows what is durable.

const TASKS = 8;
const SIZES = [2, 5, DEFAULT_CHUNK_SIZE];
const MACHINES = 5;

type Operation = 'begin' | 'release' | 'finish' | 'write' | 'write late' | 'apply late' | 'shrink';

interface LeaderPlan {
  readonly isEarlierVersion: boolean;
  readonly size: number;
  /** Of the records, as the leader reads them. */
  readonly order: number;
  /** Whether it lives until all that it knows is written. */
  readonly writesAll: boolean;
  readonly operations: readonly { readonly operation: Operation; readonly pick: number }[];
}

interface StoredRecord {
  readonly openKey: OpenKey;
  readonly value: unknown;
  readonly revision: Revision;
}

/** Where a task was in the course of all events; the later one is further on. */
interface ModelState {
  readonly at: number;
  readonly progress: TaskProgress;
}

/** A write that was sent and not answered. */
interface PendingWrite {
  readonly key: string;
  readonly revision: Revision;
  readonly value: unknown;
  readonly states: ReadonlyMap<TaskIndex, ModelState>;
}

/** Returns the progress of all tasks according to some records. */
type Reader = (records: readonly StoredRecord[]) => Map<TaskIndex, TaskProgress>;

function progressOf({ done: doneTasks, placed: placements, usedAttempts }: ChunkProgress) {
  return [
    ...[...doneTasks].map((index): [TaskIndex, TaskProgress] => [index, done]),
    ...[...placements].map(([index, placement]): [TaskIndex, TaskProgress] => [
      index,
      { kind: 'placed', placement },
    ]),
    ...[...usedAttempts].map(([index, attempt]): [TaskIndex, TaskProgress] => [index, gone(attempt)]),
  ];
}

/** The latest record wins, whatever its size. */
const readByRevision: Reader = (records) => {
  const oldestFirst = [...records].sort((one, other) => one.revision - other.revision);
  return new Map(oldestFirst.flatMap(({ value }) => progressOf(decodeChunk(value))));
};

/** As earlier versions read: the records of smaller chunks win, whatever their age. */
const readBySize: Reader = (records) => {
  const largestFirst = [...records].sort((one, other) => other.openKey.size - one.openKey.size);
  return new Map(largestFirst.flatMap(({ value }) => progressOf(decodeChunk(value))));
};

function stateOf(task: Task): TaskProgress {
  if (task.phase === 'done') return done;
  return task.machine === null ? gone(task.attemptNumber) : placed(task.attemptNumber, task.machine);
}

function statesOf(job: ActiveJob): Map<TaskIndex, TaskProgress> {
  return new Map([...job.tasks].map(([index, task]) => [index, stateOf(task)]));
}

function restoredJob(records: readonly StoredRecord[], size: number): ActiveJob {
  const job = new ActiveJob(submission({ shards: TASKS }), 1 as Revision, 0 as WallTime, size);
  for (const { openKey, value, revision } of records)
    job.addStoredProgress(openKey.chunk as number, openKey.size, value, revision);
  job.applyStoredProgress();
  return job;
}

const readByMerge: Reader = (records) => statesOf(restoredJob(records, DEFAULT_CHUNK_SIZE));

/** The store, the leader of the time, and what is durable. */
class Series {
  readonly records = new Map<string, StoredRecord>();
  /** The furthest state of each task that any write has made durable. */
  readonly durable = new Map<TaskIndex, ModelState>();
  private revision = 1;
  private events = 0;
  private states = new Map<TaskIndex, ModelState>();
  private pending: PendingWrite[] = [];

  private readonly store = new JobStore();
  private job: ActiveJob | null = null;
  private isEarlierVersion = false;

  /** Begins a leadership with this job, and plays its operations. */
  lead(job: ActiveJob, { operations, isEarlierVersion }: LeaderPlan): void {
    this.isEarlierVersion = isEarlierVersion;
    // Writes of earlier leaders fail on the epoch.
    this.pending = [];
    this.states = new Map(this.durable);
    this.job = job;
    job.listener = this.store;
    for (const { operation, pick } of operations) this.play(job, operation, pick);
  }

  private play(job: ActiveJob, operation: Operation, pick: number): void {
    const assigned = [...job.assignedTasks()];
    const chunks = [...job.chunks.values()];
    const task = assigned[pick % Math.max(1, assigned.length)];
    const chunk = chunks[pick % Math.max(1, chunks.length)];
    if (operation === 'begin') this.begin(job, pick);
    if (operation === 'apply late') this.apply(this.pending.shift());
    if (operation === 'shrink') job.resizeChunks(SIZES[pick % SIZES.length] as number, NOW);
    if (task) this.playTask(task, operation);
    if (chunk?.isDirty) this.playChunk(chunk, operation);
  }

  private begin(job: ActiveJob, pick: number): void {
    if (job.waitingCount === 0) return;
    this.changed(job.beginAttempt(`host-${pick % MACHINES}` as MachineId, ZONE, NOW));
  }

  private playTask(task: Task, operation: Operation): void {
    if (operation !== 'release' && operation !== 'finish') return;
    if (operation === 'release') task.job.releaseTask(task, NOW);
    else task.job.finishTask(task, NOW);
    this.changed(task);
  }

  private playChunk(chunk: ProgressChunk, operation: Operation): void {
    if (operation === 'write') this.write(chunk);
    if (operation === 'write late') this.pending.push(this.writeOf(chunk));
  }

  private changed(task: Task): void {
    this.events++;
    this.states.set(task.index, { at: this.events, progress: stateOf(task) });
  }

  private writeOf(chunk: ProgressChunk): PendingWrite {
    const value: unknown = JSON.parse(JSON.stringify(encodeChunk(chunk.progress())));
    const states = new Map([...this.states].filter(([index]) => chunk.tasks.has(index)));
    return { key: chunk.key, revision: chunk.revision, value, states };
  }

  /** Writes all that is not durable yet. */
  writeAll(job: ActiveJob): void {
    for (const chunk of job.chunks.values()) if (chunk.isDirty) this.write(chunk);
  }

  private write(chunk: ProgressChunk): void {
    const sizes = [...this.records.values()].map(({ openKey }) => openKey.size);
    if (!this.isEarlierVersion)
      expect(chunk.size).toBeLessThanOrEqual(Math.min(...sizes, DEFAULT_CHUNK_SIZE));
    // A write that conflicts with one without an answer reads the revision and is made again.
    chunk.revision = this.records.get(chunk.key)?.revision ?? chunk.revision;
    this.apply(this.writeOf(chunk));
    chunk.revision = this.records.get(chunk.key)?.revision as Revision;
    chunk.durableVersion = chunk.version;
    for (const task of chunk.committing) this.job?.confirmPlacement(task);
  }

  /** Carries out a write if its compare on the record holds. */
  private apply(write: PendingWrite | undefined): void {
    if (!write || (this.records.get(write.key)?.revision ?? 0) !== write.revision) return;
    const { key, value, states } = write;
    this.revision++;
    this.records.set(key, {
      openKey: parseOpenKey(key) as OpenKey,
      value,
      revision: this.revision as Revision,
    });
    for (const [index, state] of states)
      if (state.at > (this.durable.get(index)?.at ?? 0)) this.durable.set(index, state);
  }

  get durableStates(): object {
    return asObject(new Map([...this.durable].map(([index, { progress }]) => [index, progress])));
  }

  /** The records in some order. */
  shuffled(order: number): StoredRecord[] {
    const generator = xoroshiro128plus(order);
    const records = [...this.records.values()];
    return records
      .map((record) => ({ record, rank: uniformInt(generator, 0, 1000) }))
      .sort((one, other) => one.rank - other.rank)
      .map(({ record }) => record);
  }
}

const asObject = (states: ReadonlyMap<TaskIndex, TaskProgress>): object =>
  Object.fromEntries([...states].sort(([one], [other]) => one - other));

/** A leader of an earlier version: reads by size, and goes on in the size that its limits allow, also in a larger one. */
function earlierVersionJob(series: Series, states: Map<TaskIndex, TaskProgress>, size: number): ActiveJob {
  const job = new ActiveJob(submission({ shards: TASKS }), 1 as Revision, 0 as WallTime, size);
  const chunks = new Map<number, ChunkProgress>();
  for (const [index, progress] of states) {
    const chunk = chunks.get(Math.floor(index / size)) ?? {
      done: new Set<TaskIndex>(),
      placed: new Map(),
      usedAttempts: new Map(),
    };
    chunks.set(Math.floor(index / size), chunk);
    if (progress.kind === 'done') (chunk.done as Set<TaskIndex>).add(index);
    else if (progress.kind === 'placed')
      (chunk.placed as Map<TaskIndex, object>).set(index, progress.placement);
    else (chunk.usedAttempts as Map<TaskIndex, number>).set(index, progress.attemptNumber);
  }
  for (const [index, chunk] of chunks) {
    const own = [...series.records.values()].find(
      ({ openKey }) => openKey.size === size && openKey.chunk === index,
    );
    job.addStoredProgress(index, size, encodeChunk(chunk), own?.revision ?? (0 as Revision));
  }
  job.applyStoredProgress();
  return job;
}

/** Plays all leaders; every new one has to read what is durable, and leaves what earlier versions read right. */
function playSeries(plans: readonly LeaderPlan[], read: Reader): void {
  const series = new Series();
  for (const plan of plans) {
    const records = series.shuffled(plan.order);
    if (plan.isEarlierVersion) {
      const states = readBySize(records);
      // What an earlier version does with what it misreads is its own fault: see "may be running" above.
      if (JSON.stringify(asObject(states)) === JSON.stringify(series.durableStates))
        series.lead(earlierVersionJob(series, states, plan.size), plan);
      continue;
    }
    expect(asObject(read(records))).toEqual(series.durableStates);
    const job = restoredJob(records, plan.size);
    job.rewriteOutdatedProgress(NOW);
    series.lead(job, plan);
    if (!plan.writesAll) continue;
    series.writeAll(job);
    expect(asObject(readBySize(series.shuffled(plan.order)))).toEqual(series.durableStates);
  }
  expect(asObject(read(series.shuffled(1)))).toEqual(series.durableStates);
}

const operation = fc.constantFrom<Operation>(
  'begin',
  'begin',
  'release',
  'finish',
  'write',
  'write',
  'write late',
  'apply late',
  'shrink',
);
const leaderPlan: fc.Arbitrary<LeaderPlan> = fc.record({
  isEarlierVersion: fc.boolean(),
  size: fc.constantFrom(...SIZES),
  order: fc.integer({ min: 1, max: 1000 }),
  writesAll: fc.boolean(),
  operations: fc.array(fc.record({ operation, pick: fc.nat(100) }), { minLength: 4, maxLength: 60 }),
});
const historyReadBy = (read: Reader) =>
  fc.property(fc.array(leaderPlan, { minLength: 2, maxLength: 6 }), (plans) => playSeries(plans, read));
const PARAMETERS = { seed: 36, numRuns: 400 };

describe('a series of leaders with chunks of several sizes', () => {
  it('reads back what is durable, in whatever order the records come', () => {
    fc.assert(historyReadBy(readByMerge), PARAMETERS);
  });

  it.each([
    ['size', readBySize],
    ['age', readByRevision],
  ])('is misread by a reader that lets the %s of the records decide', (_name, read) => {
    expect(fc.check(historyReadBy(read), PARAMETERS).failed).toBe(true);
  });
});
