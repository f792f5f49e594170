/** A job's progress in chunks, and how it is read back from records of several chunk sizes. */
import type { Revision, TaskIndex } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import { InvalidRecordError } from '../store/errors.js';
import { keys } from '../store/keys.js';
import {
  type ChunkProgress,
  decodeChunk,
  type TaskPlacement,
  type TaskRange,
} from '../store/progress-record.js';
import { type ChunkJob, ProgressChunk } from './progress-chunk.js';
import { isSameProgress, mergeClaims, type ProgressClaim, type TaskProgress } from './progress-merge.js';

/** A record of progress as read from the store. */
interface StoredChunkKey {
  readonly index: number;
  /** Tasks that share one record. */
  readonly size: number;
  readonly revision: Revision;
}

/** A record of progress, decoded and not applied yet. */
interface StoredChunk extends StoredChunkKey {
  readonly progress: ChunkProgress;
}

/** All stored progress of a job, of which every task that was begun is a part. */
export interface StoredProgress {
  readonly tasks: ReadonlyMap<TaskIndex, TaskProgress>;
  /** Further placements of tasks that earlier versions' records contradict each other on (`MergedProgress`). */
  readonly unproven: ReadonlyMap<TaskIndex, readonly TaskPlacement[]>;
  /** The chunk sizes of the records, ascending. */
  readonly chunkSizes: readonly number[];
  /** Tasks of which two records say different things. */
  readonly contradictedTasks: number;
}

/** Yields what a record says of each task that it lists. */
function* progressOf({ done, placed, usedAttempts }: ChunkProgress): Generator<[TaskIndex, TaskProgress]> {
  for (const index of done) yield [index, { kind: 'done' }];
  for (const [index, placement] of placed) yield [index, { kind: 'placed', placement }];
  for (const [index, attemptNumber] of usedAttempts) yield [index, { kind: 'waiting', attemptNumber }];
}

/** The chunks of one job. */
export class JobProgress {
  /** By index. */
  readonly chunks = new Map<number, ProgressChunk>();
  /** Keys of records that are replaced by records of another chunk size, or that cannot be read. */
  readonly supersededKeys: string[] = [];
  private storedChunks: StoredChunk[] = [];
  /** Chunks whose record says less than others that were read beside it. */
  private readonly outdatedChunks = new Set<ProgressChunk>();

  constructor(
    private readonly job: ChunkJob,
    private chunkSize: number,
  ) {}

  /** The chunk of a task, made if there is none yet. */
  chunkOf(task: TaskIndex): ProgressChunk {
    const index = Math.floor(task / this.chunkSize);
    let chunk = this.chunks.get(index);
    if (!chunk) {
      chunk = new ProgressChunk(this.job, index, this.chunkSize);
      this.chunks.set(index, chunk);
    }
    return chunk;
  }

  /**
   * Adds a record that an earlier leader wrote, of any chunk size; `takeStored` applies it.
   *
   * @throws {InvalidRecordError} On a value that no version writes under this key.
   */
  addStored(chunk: StoredChunkKey, value: unknown): void {
    const { index, size } = chunk;
    if (index * size >= this.job.spec.taskCount) throw new InvalidRecordError('a chunk beyond the job');
    const tasks: TaskRange = {
      first: index * size,
      end: Math.min((index + 1) * size, this.job.spec.taskCount),
    };
    this.storedChunks.push({ ...chunk, progress: decodeChunk(value, tasks) });
  }

  /**
   * Merges all records that were added. The job goes on in the smallest chunk size among them: a larger record beside
   * smaller ones would be newer than they are, and an earlier version lets the smaller ones win whatever their age.
   */
  takeStored(): StoredProgress {
    const stored = this.storedChunks;
    this.storedChunks = [];
    const chunkSizes = [...new Set(stored.map(({ size }) => size))].sort((one, other) => one - other);
    this.chunkSize = Math.min(this.chunkSize, ...chunkSizes);
    for (const chunk of stored) this.adoptKey(chunk);
    // Of one size, each task stands in one record.
    if (chunkSizes.length > 1) return { ...this.mergeSizes(stored), chunkSizes };
    const tasks = new Map<TaskIndex, TaskProgress>();
    for (const chunk of stored)
      for (const [index, progress] of progressOf(chunk.progress)) tasks.set(index, progress);
    return { tasks, unproven: new Map(), chunkSizes, contradictedTasks: 0 };
  }

  /** The next write of a chunk compares with the revision of the record that it replaces. */
  private adoptKey({ index, size, revision }: StoredChunkKey): void {
    if (size === this.chunkSize) this.chunkOf((index * size) as TaskIndex).revision = revision;
    else this.supersededKeys.push(keys.openChunk(this.job.spec.id, index, size));
  }

  private mergeSizes(stored: readonly StoredChunk[]): Omit<StoredProgress, 'chunkSizes'> {
    const tasks = new Map<TaskIndex, TaskProgress>();
    const unproven = new Map<TaskIndex, readonly TaskPlacement[]>();
    let contradictedTasks = 0;
    for (const [index, claims] of claimsByTask(stored)) {
      const merged = mergeClaims(claims);
      tasks.set(index, merged.progress);
      if (merged.unproven.length > 0) unproven.set(index, merged.unproven);
      const [placement] = merged.unproven;
      const effective: TaskProgress = placement ? { kind: 'placed', placement } : merged.progress;
      const outdated = claims.filter(({ progress }) => !isSameProgress(progress, effective));
      if (outdated.length > 0) contradictedTasks++;
      if (outdated.some((claim) => claim.chunkSize === this.chunkSize))
        this.outdatedChunks.add(this.chunkOf(index));
    }
    return { tasks, unproven, contradictedTasks };
  }

  /**
   * Writes the records anew that say less than the larger ones beside them: an earlier version that takes over would
   * believe them.
   */
  rewriteOutdated(now: MonotonicTime): void {
    for (const chunk of this.outdatedChunks) chunk.markDirty(now);
    this.outdatedChunks.clear();
  }

  /**
   * Goes on in smaller chunks, and returns those that they replace. Durable progress stays where it is until its part
   * changes; what is not durable is written anew.
   */
  shrinkChunks(size: number, now: MonotonicTime): ProgressChunk[] {
    if (size >= this.chunkSize || this.job.spec.taskCount <= size) return [];
    const replaced = [...this.chunks.values()];
    this.chunks.clear();
    this.chunkSize = size;
    for (const chunk of replaced) this.split(chunk, now);
    return replaced;
  }

  private split(chunk: ProgressChunk, now: MonotonicTime): void {
    const parts = new Set<ProgressChunk>();
    for (const task of chunk.tasks.values()) {
      const part = this.chunkOf(task.index);
      part.tasks.set(task.index, task);
      if (chunk.committing.has(task)) part.committing.add(task);
      parts.add(part);
    }
    if (chunk.isDirty) for (const part of parts) part.markDirty(now);
    chunk.supersedeBy([...parts]);
    if (chunk.mayBeStored) this.supersededKeys.push(chunk.key);
  }
}

function claimsByTask(stored: readonly StoredChunk[]): Map<TaskIndex, ProgressClaim[]> {
  const claimsOf = new Map<TaskIndex, ProgressClaim[]>();
  for (const { size, revision, progress: chunk } of stored) {
    for (const [index, progress] of progressOf(chunk)) {
      const claim = { progress, chunkSize: size, revision };
      const claims = claimsOf.get(index);
      if (claims) claims.push(claim);
      else claimsOf.set(index, [claim]);
    }
  }
  return claimsOf;
}
