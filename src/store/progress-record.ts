/** Codec of a job's progress: which tasks of one chunk are done, and which may be on which machine. */
import type { MachineId, TaskIndex, AttemptNumber } from '../model/ids.js';
import { InvalidRecordError } from './errors.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';

/** What one task takes in a record, with usual names, and what the record takes besides. */
const TASK_BYTES = 32;
const CHUNK_OVERHEAD_BYTES = 128;

/** How many tasks' progress fits a value of so many bytes: at least one, at most the default size of a chunk. */
export function maxTasksPerChunk(valueBytes: number): number {
  const fitting = Math.floor((valueBytes - CHUNK_OVERHEAD_BYTES) / TASK_BYTES);
  return Math.max(1, Math.min(DEFAULT_CHUNK_SIZE, fitting));
}

/** Tasks from `first` up to, and without, `end`. */
export interface TaskRange {
  readonly first: number;
  readonly end: number;
}

/** The most tasks that a job may have (PROTOCOL). */
const ANY_TASK: TaskRange = { first: 0, end: 100_000 };

/** Where a task may be: its current attempt and the machine. */
export interface TaskPlacement {
  readonly attemptNumber: AttemptNumber;
  readonly machine: MachineId;
}

/** Progress of one chunk; tasks that were never begun do not appear. */
export interface ChunkProgress {
  readonly done: ReadonlySet<TaskIndex>;
  readonly placed: ReadonlyMap<TaskIndex, TaskPlacement>;
  /** The last attempt of tasks that are neither done nor placed: its number is not used again. */
  readonly usedAttempts: ReadonlyMap<TaskIndex, AttemptNumber>;
}

type StoredRange = [first: number, last: number];
type StoredPlacement = [task: number, attemptNumber: number, machine: string];
type StoredAttempt = [task: number, attemptNumber: number];

/** The value under `open/<job>/<chunk>`. */
interface StoredChunk {
  /** Done tasks. */
  d?: StoredRange[];
  /** Placed tasks. */
  p?: StoredPlacement[];
  /** Used attempts. */
  u?: StoredAttempt[];
}

/** Merges ascending numbers into ranges without gaps. */
function toRanges(ascending: readonly number[]): StoredRange[] {
  const ranges: StoredRange[] = [];
  for (const index of ascending) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === index - 1) last[1] = index;
    else ranges.push([index, index]);
  }
  return ranges;
}

/** Encodes a chunk's progress; parts without a task are left out. */
export function encodeChunk({ done, placed, usedAttempts }: ChunkProgress): StoredChunk {
  const stored: StoredChunk = {};
  if (done.size) stored.d = toRanges([...done].sort((a, b) => a - b));
  if (placed.size) {
    stored.p = [...placed].map(([index, { attemptNumber, machine }]) => [index, attemptNumber, machine]);
  }
  if (usedAttempts.size) stored.u = [...usedAttempts];
  return stored;
}

function listOf(value: unknown): readonly unknown[] {
  if (value === undefined || value === null) return [];
  if (Array.isArray(value)) return value;
  throw new InvalidRecordError('a field that is no list');
}

/** Places behind those that are known are left unread: a later version may add some. */
function entryOf(value: unknown, places: number): readonly unknown[] {
  if (Array.isArray(value) && value.length >= places) return value;
  throw new InvalidRecordError(`an entry without its ${places} places`);
}

/** Decodes one record; a task may be listed once. */
class ChunkDecoder implements ChunkProgress {
  readonly done = new Set<TaskIndex>();
  readonly placed = new Map<TaskIndex, TaskPlacement>();
  readonly usedAttempts = new Map<TaskIndex, AttemptNumber>();

  constructor(private readonly range: TaskRange) {}

  private task(value: unknown): TaskIndex {
    const { first, end } = this.range;
    if (!Number.isInteger(value) || (value as number) < first || (value as number) >= end)
      throw new InvalidRecordError(`task ${String(value)} is not from ${first} to ${end - 1}`);
    return value as TaskIndex;
  }

  /** The number of a task that the record has not listed so far. */
  private newTask(value: unknown): TaskIndex {
    const index = this.task(value);
    if (this.done.has(index) || this.placed.has(index) || this.usedAttempts.has(index))
      throw new InvalidRecordError(`task ${index} is listed twice`);
    return index;
  }

  addDone(entry: unknown): void {
    const [first, last] = entryOf(entry, 2);
    const end = this.task(last);
    for (let index = this.task(first); index <= end; index++) this.done.add(this.newTask(index));
  }

  addPlaced(entry: unknown): void {
    const [index, attemptNumber, machine] = entryOf(entry, 3);
    if (typeof machine !== 'string' || machine === '')
      throw new InvalidRecordError('a machine without a name');
    this.placed.set(this.newTask(index), {
      attemptNumber: attemptNumberOf(attemptNumber),
      machine: machine as MachineId,
    });
  }

  addUsedAttempt(entry: unknown): void {
    const [index, attemptNumber] = entryOf(entry, 2);
    this.usedAttempts.set(this.newTask(index), attemptNumberOf(attemptNumber));
  }
}

function attemptNumberOf(value: unknown): AttemptNumber {
  if (Number.isSafeInteger(value) && (value as number) > 0) return value as AttemptNumber;
  throw new InvalidRecordError(`attempt number ${String(value)}`);
}

/**
 * Decodes the progress of the tasks in a chunk. Unknown fields are left unread.
 *
 * @throws {InvalidRecordError} On a value that no version writes.
 */
export function decodeChunk(value: unknown, range = ANY_TASK): ChunkProgress {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new InvalidRecordError('no object');
  const stored = value as Record<keyof StoredChunk, unknown>;
  const decoder = new ChunkDecoder(range);
  for (const entry of listOf(stored.d)) decoder.addDone(entry);
  for (const entry of listOf(stored.p)) decoder.addPlaced(entry);
  for (const entry of listOf(stored.u)) decoder.addUsedAttempt(entry);
  return { done: decoder.done, placed: decoder.placed, usedAttempts: decoder.usedAttempts };
}
