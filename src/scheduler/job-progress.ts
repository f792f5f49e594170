/** A job's progress in chunks, and its restoration from records of several chunk sizes. */
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

/** The position, size and revision of a progress record in the store. */
interface StoredChunkKey {
  readonly index: number;
  /** The number of tasks per record. */
  readonly size: number;
  readonly revision: Revision;
}

/** A decoded progress record that has not been merged yet. */
interface StoredChunk extends StoredChunkKey {
  readonly progress: ChunkProgress;
}

/** The merged stored progress of a job. The progress contains every task with at least one attempt. */
export interface StoredProgress {
  readonly tasks: ReadonlyMap<TaskIndex, TaskProgress>;
  /**
   * Further placements that may be running, of tasks on which records written by earlier versions contradict each other
   * (`MergedProgress`).
   */
  readonly unproven: ReadonlyMap<TaskIndex, readonly TaskPlacement[]>;
  /** The chunk sizes of the records in ascending order. */
  readonly chunkSizes: readonly number[];
  /** The number of tasks on which records contradict each other. */
  readonly contradictedTasks: number;
}

/** Yields the progress of each task that a record lists. */
function* progressOf({ done, placed, usedAttempts }: ChunkProgress): Generator<[TaskIndex, TaskProgress]> {
  for (const index of done) yield [index, { kind: 'done' }];
  for (const [index, placement] of placed) yield [index, { kind: 'placed', placement }];
  for (const [index, attemptNumber] of usedAttempts) yield [index, { kind: 'waiting', attemptNumber }];
}

/** Holds the progress chunks of one job, and restores them from the stored records. */
export class JobProgress {
  /** The chunks by their index among the chunks of the current size. */
  readonly chunks = new Map<number, ProgressChunk>();
  /** Keys of records that are replaced by records of another chunk size, or that cannot be read. */
  readonly supersededKeys: string[] = [];
  private storedChunks: StoredChunk[] = [];
  /** Chunks of the current size whose record differs from the progress merged from all records. */
  private readonly outdatedChunks = new Set<ProgressChunk>();

  constructor(
    private readonly job: ChunkJob,
    private chunkSize: number,
  ) {}

  /** Returns the chunk of a task, and creates the chunk if it does not exist. */
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
   * Adds a record that an earlier leader wrote, of any chunk size. The record takes effect in `mergeStored`.
   *
   * @throws {InvalidRecordError} On a value that no version writes under this key.
   */
  addStored(chunk: StoredChunkKey, value: unknown): void {
    const { index, size } = chunk;
    if (index * size >= this.job.spec.taskCount)
      throw new InvalidRecordError('the first task of the chunk is beyond the last task of the job');
    const tasks: TaskRange = {
      first: index * size,
      end: Math.min((index + 1) * size, this.job.spec.taskCount),
    };
    this.storedChunks.push({ ...chunk, progress: decodeChunk(value, tasks) });
  }

  /**
   * Merges all added records. The job continues in the smallest of their chunk sizes and its own: a larger record
   * written beside smaller ones would be newer, but a leader of an earlier version lets the smaller records win
   * regardless of age.
   */
  mergeStored(): StoredProgress {
    const stored = this.storedChunks;
    this.storedChunks = [];
    const chunkSizes = [...new Set(stored.map(({ size }) => size))].sort((left, right) => left - right);
    this.chunkSize = Math.min(this.chunkSize, ...chunkSizes);
    for (const chunk of stored) this.adoptRevision(chunk);
    // With a single chunk size, each task is in one record only.
    if (chunkSizes.length > 1) return { ...this.mergeChunkSizes(stored), chunkSizes };
    const tasks = new Map<TaskIndex, TaskProgress>();
    for (const chunk of stored)
      for (const [index, progress] of progressOf(chunk.progress)) tasks.set(index, progress);
    return { tasks, unproven: new Map(), chunkSizes, contradictedTasks: 0 };
  }

  /**
   * Sets the revision with which the next write of the chunk compares, or lists the record's key as superseded if the
   * record is of another chunk size.
   */
  private adoptRevision({ index, size, revision }: StoredChunkKey): void {
    if (size === this.chunkSize) this.chunkOf((index * size) as TaskIndex).revision = revision;
    else this.supersededKeys.push(keys.openChunk(this.job.spec.id, index, size));
  }

  private mergeChunkSizes(stored: readonly StoredChunk[]): Omit<StoredProgress, 'chunkSizes'> {
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
   * Schedules the rewrite of the records of the current chunk size that differ from the merged progress: a leader of an
   * earlier version would believe such a record.
   */
  rewriteOutdated(now: MonotonicTime): void {
    for (const chunk of this.outdatedChunks) chunk.markDirty(now);
    this.outdatedChunks.clear();
  }

  /**
   * Splits all chunks into smaller ones, and returns the chunks that these replace; does nothing unless `size` is below
   * both the current chunk size and the job's number of tasks. Durable progress stays in the old record until a task of
   * the smaller chunk changes; progress that is not durable yet is written in the smaller chunks.
   */
  shrinkChunks(size: number, now: MonotonicTime): ProgressChunk[] {
    if (size >= this.chunkSize || this.job.spec.taskCount <= size) return [];
    const replaced = [...this.chunks.values()];
    this.chunks.clear();
    this.chunkSize = size;
    for (const chunk of replaced) this.splitChunk(chunk, now);
    return replaced;
  }

  private splitChunk(chunk: ProgressChunk, now: MonotonicTime): void {
    const smallerChunks = new Set<ProgressChunk>();
    for (const task of chunk.tasks.values()) {
      const smallerChunk = this.chunkOf(task.index);
      smallerChunk.tasks.set(task.index, task);
      if (chunk.committing.has(task)) smallerChunk.committing.add(task);
      smallerChunks.add(smallerChunk);
    }
    if (chunk.isDirty) for (const smallerChunk of smallerChunks) smallerChunk.markDirty(now);
    chunk.supersedeBy([...smallerChunks]);
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
