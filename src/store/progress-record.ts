/**
 * Codec of a job's progress records. Each record covers one chunk of the job's tasks and lists the done tasks and the
 * tasks that may be on a machine.
 */
import type { MachineId, TaskIndex, AttemptNumber } from '../model/ids.js';
import { InvalidRecordError } from './errors.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';

/** Estimated size of one task in a progress record, for machine ids of usual length. */
const BYTES_PER_TASK = 32;
/** Estimated size of a progress record besides its tasks. */
const CHUNK_OVERHEAD_BYTES = 128;

/** Returns the number of tasks whose progress fits a value of `valueBytes`, from 1 to the default chunk size. */
export function maxTasksPerChunk(valueBytes: number): number {
  const maxTasks = Math.floor((valueBytes - CHUNK_OVERHEAD_BYTES) / BYTES_PER_TASK);
  return Math.max(1, Math.min(DEFAULT_CHUNK_SIZE, maxTasks));
}

/** Range of task indexes from `first` to `end`, without `end`. */
export interface TaskRange {
  readonly first: number;
  readonly end: number;
}

/** All task indexes that a job may have (PROTOCOL). */
const MAX_TASK_RANGE: TaskRange = { first: 0, end: 100_000 };

/** Placement of a task: the number of its current attempt, and the machine on which the attempt may exist. */
export interface TaskPlacement {
  readonly attemptNumber: AttemptNumber;
  readonly machine: MachineId;
}

/** Progress of one chunk of a job's tasks. Tasks that were never placed do not appear. */
export interface ChunkProgress {
  readonly done: ReadonlySet<TaskIndex>;
  readonly placed: ReadonlyMap<TaskIndex, TaskPlacement>;
  /** Number of the latest attempt of each task that is neither done nor placed; the number is not used again. */
  readonly usedAttempts: ReadonlyMap<TaskIndex, AttemptNumber>;
}

/** Stored range of task indexes, including `last`. */
type StoredRange = [first: number, last: number];
type StoredPlacement = [task: number, attemptNumber: number, machine: string];
type StoredAttempt = [task: number, attemptNumber: number];

/** The stored value under `open/<job>/<chunk>`. */
interface StoredChunk {
  /** Done tasks. */
  d?: StoredRange[];
  /** Placed tasks. */
  p?: StoredPlacement[];
  /** Latest attempts of tasks that are neither done nor placed. */
  u?: StoredAttempt[];
}

/** Merges ascending task indexes into ranges without gaps. */
function toRanges(ascending: readonly number[]): StoredRange[] {
  const ranges: StoredRange[] = [];
  for (const index of ascending) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === index - 1) last[1] = index;
    else ranges.push([index, index]);
  }
  return ranges;
}

/** Encodes a chunk's progress. Fields without a task are left out. */
export function encodeChunk({ done, placed, usedAttempts }: ChunkProgress): StoredChunk {
  const stored: StoredChunk = {};
  if (done.size) stored.d = toRanges([...done].sort((left, right) => left - right));
  if (placed.size) {
    stored.p = [...placed].map(([index, { attemptNumber, machine }]) => [index, attemptNumber, machine]);
  }
  if (usedAttempts.size) stored.u = [...usedAttempts];
  return stored;
}

function requireList(value: unknown): readonly unknown[] {
  if (value === undefined || value === null) return [];
  if (Array.isArray(value)) return value;
  throw new InvalidRecordError('progress record: one of the fields d, p and u is not a list');
}

/** Returns a stored tuple of at least `minLength` fields. Fields that a later version appended are ignored. */
function requireTuple(value: unknown, minLength: number): readonly unknown[] {
  if (Array.isArray(value) && value.length >= minLength) return value;
  throw new InvalidRecordError(`progress record: an entry is not a list of at least ${minLength} fields`);
}

/** Decodes the entries of one progress record, and rejects a record that lists a task twice. */
class ChunkDecoder implements ChunkProgress {
  readonly done = new Set<TaskIndex>();
  readonly placed = new Map<TaskIndex, TaskPlacement>();
  readonly usedAttempts = new Map<TaskIndex, AttemptNumber>();

  constructor(private readonly range: TaskRange) {}

  private requireTaskInRange(value: unknown): TaskIndex {
    const { first, end } = this.range;
    if (!Number.isInteger(value) || (value as number) < first || (value as number) >= end)
      throw new InvalidRecordError(
        `progress record: task ${String(value)} is not an integer from ${first} to ${end - 1}`,
      );
    return value as TaskIndex;
  }

  /** Returns the index of a task that the record has not listed before. */
  private requireUnlistedTask(value: unknown): TaskIndex {
    const index = this.requireTaskInRange(value);
    if (this.done.has(index) || this.placed.has(index) || this.usedAttempts.has(index))
      throw new InvalidRecordError(`progress record: task ${index} is listed twice`);
    return index;
  }

  addDone(entry: unknown): void {
    const [first, last] = requireTuple(entry, 2);
    const end = this.requireTaskInRange(last);
    for (let index = this.requireTaskInRange(first); index <= end; index++)
      this.done.add(this.requireUnlistedTask(index));
  }

  addPlaced(entry: unknown): void {
    const [index, attemptNumber, machine] = requireTuple(entry, 3);
    if (typeof machine !== 'string' || machine === '')
      throw new InvalidRecordError('progress record: the machine id of a placed task is missing or empty');
    this.placed.set(this.requireUnlistedTask(index), {
      attemptNumber: requireAttemptNumber(attemptNumber),
      machine: machine as MachineId,
    });
  }

  addUsedAttempt(entry: unknown): void {
    const [index, attemptNumber] = requireTuple(entry, 2);
    this.usedAttempts.set(this.requireUnlistedTask(index), requireAttemptNumber(attemptNumber));
  }
}

function requireAttemptNumber(value: unknown): AttemptNumber {
  if (Number.isSafeInteger(value) && (value as number) > 0) return value as AttemptNumber;
  throw new InvalidRecordError(`progress record: attempt number ${String(value)} is not a positive integer`);
}

/**
 * Decodes the progress of the tasks in a chunk. Unknown fields are ignored.
 *
 * @throws {InvalidRecordError} If no version writes such a value.
 */
export function decodeChunk(value: unknown, range = MAX_TASK_RANGE): ChunkProgress {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new InvalidRecordError('progress record is not an object');
  const stored = value as Record<keyof StoredChunk, unknown>;
  const decoder = new ChunkDecoder(range);
  for (const entry of requireList(stored.d)) decoder.addDone(entry);
  for (const entry of requireList(stored.p)) decoder.addPlaced(entry);
  for (const entry of requireList(stored.u)) decoder.addUsedAttempt(entry);
  return { done: decoder.done, placed: decoder.placed, usedAttempts: decoder.usedAttempts };
}
