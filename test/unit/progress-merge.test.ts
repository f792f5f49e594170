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
const waiting = (attempt: number): TaskProgress => ({
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
      'a smaller record with a later attempt',
      [claim(300, 1, placed(1, 'a')), claim(56, 2, placed(2, 'b'))],
      placed(2, 'b'),
    ],
    [
      'the same attempt, gone according to the newer record',
      [claim(300, 1, placed(1, 'a')), claim(56, 2, waiting(1))],
      waiting(1),
    ],
    [
      'a larger record with a later attempt',
      [claim(56, 1, placed(1, 'a')), claim(300, 2, placed(2, 'b'))],
      placed(2, 'b'),
    ],
    [
      'a delayed write of the larger record',
      [claim(56, 1, placed(2, 'b')), claim(300, 2, placed(1, 'a'))],
      placed(2, 'b'),
    ],
    [
      'a delayed write of the placement of an attempt that is gone',
      [claim(56, 1, waiting(2)), claim(300, 2, placed(2, 'b'))],
      waiting(2),
    ],
    ['done in the larger record', [claim(56, 1, placed(3, 'a')), claim(300, 2, done)], done],
    [
      'done, while a later leader placed the task again',
      [claim(300, 1, done), claim(56, 2, placed(2, 'b'))],
      done,
    ],
    ['two equal claims', [claim(56, 1, placed(1, 'a')), claim(300, 2, placed(1, 'a'))], placed(1, 'a')],
  ])('returns the most advanced claim: %s', (_name, claims, progress) => {
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
      'a later leader assigned an attempt number that was already used',
      [claim(300, 1, waiting(2)), claim(56, 2, placed(2, 'b'))],
      { progress: waiting(2), unproven: [placed(2, 'b').placement] },
    ],
    [
      'a later leader assigned an attempt number that is placed on another machine: the later placement is unproven',
      [claim(300, 1, placed(2, 'a')), claim(56, 2, placed(2, 'b'))],
      { progress: placed(2, 'a'), unproven: [placed(2, 'b').placement] },
    ],
    [
      'three sizes, two equal placements',
      [claim(300, 1, waiting(7)), claim(56, 2, placed(2, 'b')), claim(28, 4, placed(2, 'b'))],
      { progress: waiting(7), unproven: [placed(2, 'b').placement] },
    ],
    [
      'three sizes, two different placements',
      [claim(300, 1, waiting(7)), claim(56, 2, placed(3, 'c')), claim(28, 4, placed(2, 'b'))],
      { progress: waiting(7), unproven: [placed(2, 'b').placement, placed(3, 'c').placement] },
    ],
  ])('lists contradicting placements that may be running as unproven: %s', (_name, claims, merged) => {
    expect(mergeClaims(claims)).toEqual(merged);
    expect(mergeClaims([...claims].reverse())).toEqual(merged);
  });
});

describe('decodeChunk', () => {
  it('ignores what a later version adds: fields, and further elements of an entry', () => {
    const later = { d: [[0, 1, 'x']], p: [[2, 1, 'host-a', 7]], u: [[3, 2, null]], x: 1 };
    expect(encodeChunk(decodeChunk(later))).toEqual({ d: [[0, 1]], p: [[2, 1, 'host-a']], u: [[3, 2]] });
  });
});

describe('a task whose records contradict each other', () => {
  const SMALL_CHUNK_SIZE = 56;
  const contradicted = (last: object): { job: ActiveJob; task: Task; held: Task[] } => {
    const held: Task[] = [];
    const job = new ActiveJob(submission({}), 1 as Revision, 0 as WallTime);
    job.addStoredProgress(0, SMALL_CHUNK_SIZE, { p: [[0, 2, 'host-b']] }, 9 as Revision);
    job.addStoredProgress(0, DEFAULT_CHUNK_SIZE, last, 7 as Revision);
    job.applyStoredProgress();
    new JobStore((task) => held.push(task)).add(job);
    return { job, task: job.tasks.get(0 as TaskIndex) as Task, held };
  };

  it('counts as placed on one machine after the other, and then starts with an unused attempt number', () => {
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

  it('is written with its current placement, so that the next leader restores both states', () => {
    const { job, task } = contradicted({ u: [[0, 5]] });
    job.rewriteOutdatedProgress(NOW);
    expect(job.chunkOf(task.index).isDirty).toBe(false);
    expect(encodeChunk(job.chunkOf(task.index).progress())).toEqual({ p: [[0, 2, 'host-b']] });
    job.releaseTask(task, NOW);
    expect(encodeChunk(job.chunkOf(task.index).progress())).toEqual({ u: [[0, 5]] });
    expect(job.waitingCount).toBe(job.spec.taskCount);
  });

  it('keeps its pending stop on the next machine if its job is cancelled', () => {
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

  it('is done once an attempt on either machine has ended with success', () => {
    const { job, task } = contradicted({ p: [[0, 5, 'host-a']] });
    job.finishTask(task, NOW);
    expect([job.doneCount, job.assignedCount]).toEqual([1, 0]);
    job.releaseTask(task, NOW);
    expect(task.phase).toBe('done');
  });
});

// The code below simulates a series of leaders, each with its own chunk size, beside a model of the durable progress.

const TASK_COUNT = 8;
const CHUNK_SIZES = [2, 5, DEFAULT_CHUNK_SIZE];
const MACHINE_COUNT = 5;

type Operation = 'begin' | 'release' | 'finish' | 'write' | 'write late' | 'apply late' | 'shrink';

interface LeaderPlan {
  readonly isEarlierVersion: boolean;
  readonly size: number;
  /** The seed of the order in which the leader reads the records. */
  readonly order: number;
  /** Whether the leader's term lasts until all of its progress is written; ignored if `isEarlierVersion`. */
  readonly writesAll: boolean;
  readonly operations: readonly { readonly operation: Operation; readonly pick: number }[];
}

interface StoredRecord {
  readonly openKey: OpenKey;
  readonly value: unknown;
  readonly revision: Revision;
}

/** The progress of a task after the event with number `at`. A state with a larger number is more advanced. */
interface ModelState {
  readonly at: number;
  readonly progress: TaskProgress;
}

/** A write that was sent and has not been answered. */
interface PendingWrite {
  readonly key: string;
  readonly revision: Revision;
  readonly value: unknown;
  readonly states: ReadonlyMap<TaskIndex, ModelState>;
}

/** Returns the progress of all tasks according to the given records. */
type ProgressReader = (records: readonly StoredRecord[]) => Map<TaskIndex, TaskProgress>;

function progressOf({ done: doneTasks, placed: placements, usedAttempts }: ChunkProgress) {
  return [
    ...[...doneTasks].map((index): [TaskIndex, TaskProgress] => [index, done]),
    ...[...placements].map(([index, placement]): [TaskIndex, TaskProgress] => [
      index,
      { kind: 'placed', placement },
    ]),
    ...[...usedAttempts].map(([index, attempt]): [TaskIndex, TaskProgress] => [index, waiting(attempt)]),
  ];
}

/** Reads by revision: the latest record wins, whatever its size. */
const readByRevision: ProgressReader = (records) => {
  const oldestFirst = [...records].sort((left, right) => left.revision - right.revision);
  return new Map(oldestFirst.flatMap(({ value }) => progressOf(decodeChunk(value))));
};

/** Reads like earlier versions: the records of smaller chunks win, whatever their age. */
const readBySize: ProgressReader = (records) => {
  const largestFirst = [...records].sort((left, right) => right.openKey.size - left.openKey.size);
  return new Map(largestFirst.flatMap(({ value }) => progressOf(decodeChunk(value))));
};

function stateOf(task: Task): TaskProgress {
  if (task.phase === 'done') return done;
  return task.machine === null ? waiting(task.attemptNumber) : placed(task.attemptNumber, task.machine);
}

function statesOf(job: ActiveJob): Map<TaskIndex, TaskProgress> {
  return new Map([...job.tasks].map(([index, task]) => [index, stateOf(task)]));
}

function restoredJob(records: readonly StoredRecord[], size: number): ActiveJob {
  const job = new ActiveJob(submission({ shards: TASK_COUNT }), 1 as Revision, 0 as WallTime, size);
  for (const { openKey, value, revision } of records)
    job.addStoredProgress(openKey.chunk as number, openKey.size, value, revision);
  job.applyStoredProgress();
  return job;
}

const readByMerge: ProgressReader = (records) => statesOf(restoredJob(records, DEFAULT_CHUNK_SIZE));

/** Simulates the store and the current leader, and tracks the durable progress. */
class LeaderSeries {
  readonly records = new Map<string, StoredRecord>();
  /** The most advanced state of each task that any write has made durable. */
  readonly durable = new Map<TaskIndex, ModelState>();
  private revision = 1;
  private events = 0;
  private states = new Map<TaskIndex, ModelState>();
  private pending: PendingWrite[] = [];

  private readonly store = new JobStore();
  private job: ActiveJob | null = null;
  private isEarlierVersion = false;

  /** Starts a leadership term with the given job, and runs the operations of the plan. */
  startTerm(job: ActiveJob, { operations, isEarlierVersion }: LeaderPlan): void {
    this.isEarlierVersion = isEarlierVersion;
    // Writes of earlier leaders are rejected because of their epoch.
    this.pending = [];
    this.states = new Map(this.durable);
    this.job = job;
    job.listener = this.store;
    for (const { operation, pick } of operations) this.applyOperation(job, operation, pick);
  }

  private applyOperation(job: ActiveJob, operation: Operation, pick: number): void {
    const assigned = [...job.assignedTasks()];
    const chunks = [...job.chunks.values()];
    const task = assigned[pick % Math.max(1, assigned.length)];
    const chunk = chunks[pick % Math.max(1, chunks.length)];
    if (operation === 'begin') this.begin(job, pick);
    if (operation === 'apply late') this.apply(this.pending.shift());
    if (operation === 'shrink') job.resizeChunks(CHUNK_SIZES[pick % CHUNK_SIZES.length] as number, NOW);
    if (task) this.applyToTask(task, operation);
    if (chunk?.isDirty) this.applyToChunk(chunk, operation);
  }

  private begin(job: ActiveJob, pick: number): void {
    if (job.waitingCount === 0) return;
    this.recordState(job.beginAttempt(`host-${pick % MACHINE_COUNT}` as MachineId, ZONE, NOW));
  }

  private applyToTask(task: Task, operation: Operation): void {
    if (operation !== 'release' && operation !== 'finish') return;
    if (operation === 'release') task.job.releaseTask(task, NOW);
    else task.job.finishTask(task, NOW);
    this.recordState(task);
  }

  private applyToChunk(chunk: ProgressChunk, operation: Operation): void {
    if (operation === 'write') this.write(chunk);
    if (operation === 'write late') this.pending.push(this.writeOf(chunk));
  }

  private recordState(task: Task): void {
    this.events++;
    this.states.set(task.index, { at: this.events, progress: stateOf(task) });
  }

  private writeOf(chunk: ProgressChunk): PendingWrite {
    const value: unknown = JSON.parse(JSON.stringify(encodeChunk(chunk.progress())));
    const states = new Map([...this.states].filter(([index]) => chunk.tasks.has(index)));
    return { key: chunk.key, revision: chunk.revision, value, states };
  }

  /** Writes all progress that is not durable yet. */
  writeAll(job: ActiveJob): void {
    for (const chunk of job.chunks.values()) if (chunk.isDirty) this.write(chunk);
  }

  private write(chunk: ProgressChunk): void {
    const sizes = [...this.records.values()].map(({ openKey }) => openKey.size);
    if (!this.isEarlierVersion)
      expect(chunk.size).toBeLessThanOrEqual(Math.min(...sizes, DEFAULT_CHUNK_SIZE));
    // A write that conflicts with an unanswered one reads the current revision and is retried.
    chunk.revision = this.records.get(chunk.key)?.revision ?? chunk.revision;
    this.apply(this.writeOf(chunk));
    chunk.revision = this.records.get(chunk.key)?.revision as Revision;
    chunk.durableVersion = chunk.version;
    for (const task of chunk.committing) this.job?.confirmPlacement(task);
  }

  /** Applies a write if the revision that the write compares with is that of the stored record, 0 without a record. */
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

  /** Returns the records in a random order; `order` is the seed. */
  shuffled(order: number): StoredRecord[] {
    const generator = xoroshiro128plus(order);
    const records = [...this.records.values()];
    return records
      .map((record) => ({ record, rank: uniformInt(generator, 0, 1000) }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ record }) => record);
  }
}

const asObject = (states: ReadonlyMap<TaskIndex, TaskProgress>): object =>
  Object.fromEntries([...states].sort(([a], [b]) => a - b));

/**
 * Returns the job of a leader of an earlier version, which reads by size and continues in the size that its limits
 * allow, even if this size is larger.
 */
function earlierVersionJob(
  series: LeaderSeries,
  states: Map<TaskIndex, TaskProgress>,
  size: number,
): ActiveJob {
  const job = new ActiveJob(submission({ shards: TASK_COUNT }), 1 as Revision, 0 as WallTime, size);
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

/**
 * Runs all leaders in order. Every new leader of the current version has to read the durable progress, and if such a
 * leader writes all of its progress, it has to leave records that earlier versions read correctly.
 */
function runSeries(plans: readonly LeaderPlan[], read: ProgressReader): void {
  const series = new LeaderSeries();
  for (const plan of plans) {
    const records = series.shuffled(plan.order);
    if (plan.isEarlierVersion) {
      const states = readBySize(records);
      // An earlier version that misreads the records also writes wrong progress, which cannot be compared with the
      // model. The tests of unproven placements cover this case.
      if (JSON.stringify(asObject(states)) === JSON.stringify(series.durableStates))
        series.startTerm(earlierVersionJob(series, states, plan.size), plan);
      continue;
    }
    expect(asObject(read(records))).toEqual(series.durableStates);
    const job = restoredJob(records, plan.size);
    job.rewriteOutdatedProgress(NOW);
    series.startTerm(job, plan);
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
  size: fc.constantFrom(...CHUNK_SIZES),
  order: fc.integer({ min: 1, max: 1000 }),
  writesAll: fc.boolean(),
  operations: fc.array(fc.record({ operation, pick: fc.nat(100) }), { minLength: 4, maxLength: 60 }),
});
const leaderSeriesReadBy = (read: ProgressReader) =>
  fc.property(fc.array(leaderPlan, { minLength: 2, maxLength: 6 }), (plans) => runSeries(plans, read));
const PROPERTY_PARAMETERS = { seed: 36, numRuns: 400 };

describe('a series of leaders with chunks of several sizes', () => {
  it('reads back the durable progress, in any order of the records', () => {
    fc.assert(leaderSeriesReadBy(readByMerge), PROPERTY_PARAMETERS);
  });

  it.each([
    ['size', readBySize],
    ['age', readByRevision],
  ])('is misread by a reader that decides by the %s of the records', (_name, read) => {
    expect(fc.check(leaderSeriesReadBy(read), PROPERTY_PARAMETERS).failed).toBe(true);
  });
});
