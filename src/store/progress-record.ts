/** Codec of a job's progress: which tasks of one chunk are done, and which may be on which machine. */
import type { MachineId, TaskIndex, AttemptNumber } from '../model/ids.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';

/** What one task takes in a record, with usual names, and what the record takes besides. */
const TASK_BYTES = 32;
const CHUNK_OVERHEAD_BYTES = 128;

/** How many tasks' progress fits a value of so many bytes: at least one, at most the default size of a chunk. */
export function maxTasksPerChunk(valueBytes: number): number {
  const fitting = Math.floor((valueBytes - CHUNK_OVERHEAD_BYTES) / TASK_BYTES);
  return Math.max(1, Math.min(DEFAULT_CHUNK_SIZE, fitting));
}

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

/** Decodes a chunk's progress; a missing record holds none. */
export function decodeChunk(value: unknown): ChunkProgress {
  const stored = (value ?? {}) as StoredChunk;
  const done = new Set<TaskIndex>();
  for (const [first, last] of stored.d ?? []) {
    for (let index = first; index <= last; index++) done.add(index as TaskIndex);
  }
  const placed = new Map<TaskIndex, TaskPlacement>();
  for (const [index, attemptNumber, machine] of stored.p ?? []) {
    placed.set(index as TaskIndex, {
      attemptNumber: attemptNumber as AttemptNumber,
      machine: machine as MachineId,
    });
  }
  const usedAttempts = new Map<TaskIndex, AttemptNumber>();
  for (const [index, attemptNumber] of stored.u ?? []) {
    usedAttempts.set(index as TaskIndex, attemptNumber as AttemptNumber);
  }
  return { done, placed, usedAttempts };
}
