/** Records of progress: which tasks of one chunk are done, and which may be on which machine. */
import type { MachineId, TaskIndex, AttemptNumber } from '../model/ids.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';

/** What one task takes in a record at most, and what the record takes besides. */
const TASK_BYTES = 32;
const CHUNK_BYTES = 128;

/** How many tasks' progress fits a value of so many bytes. */
export function maxTasksPerChunk(valueBytes: number): number {
  return Math.max(1, Math.min(DEFAULT_CHUNK_SIZE, Math.floor((valueBytes - CHUNK_BYTES) / TASK_BYTES)));
}

/** Where a task may be: its current attempt and host. */
export interface TaskPlacement {
  readonly attemptNumber: AttemptNumber;
  readonly machine: MachineId;
}

/** Progress of one chunk; tasks that were never touched do not appear. */
export interface ChunkProgress {
  readonly done: ReadonlySet<TaskIndex>;
  readonly placed: ReadonlyMap<TaskIndex, TaskPlacement>;
  /** Tries used up by tasks that are neither done nor placed. */
  readonly usedAttempts: ReadonlyMap<TaskIndex, AttemptNumber>;
}

/** `d` done ranges, `p` placements, `u` tries used up. */
interface StoredChunk {
  d?: [number, number][];
  p?: [number, number, string][];
  u?: [number, number][];
}

/** As it is stored: ranges of what is done, then placements, then tries used up. */
export function encodeChunk(progress: ChunkProgress): StoredChunk {
  const stored: StoredChunk = {};
  const done = [...progress.done].sort((a, b) => a - b);
  const ranges: [number, number][] = [];
  for (const i of done) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === i - 1) last[1] = i;
    else ranges.push([i, i]);
  }
  if (ranges.length) stored.d = ranges;
  if (progress.placed.size) stored.p = [...progress.placed].map(([i, a]) => [i, a.attemptNumber, a.machine]);
  if (progress.usedAttempts.size) stored.u = [...progress.usedAttempts];
  return stored;
}

/** What a stored record says; a missing one says nothing. */
export function decodeChunk(value: unknown): ChunkProgress {
  const v = (value ?? {}) as StoredChunk;
  const done = new Set<TaskIndex>();
  for (const [from, to] of v.d ?? []) for (let i = from; i <= to; i++) done.add(i as TaskIndex);
  const placed = new Map<TaskIndex, TaskPlacement>();
  for (const [i, attemptNumber, machine] of v.p ?? []) {
    placed.set(i as TaskIndex, {
      attemptNumber: attemptNumber as AttemptNumber,
      machine: machine as MachineId,
    });
  }
  const used = new Map<TaskIndex, AttemptNumber>();
  for (const [i, attemptNumber] of v.u ?? []) used.set(i as TaskIndex, attemptNumber as AttemptNumber);
  return { done, placed, usedAttempts: used };
}
