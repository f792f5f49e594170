/** A job's progress in chunks, and how it is read back from records of several chunk sizes. */
import type { AttemptNumber, Revision, TaskIndex } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import { keys } from '../store/keys.js';
import { decodeChunk, type TaskPlacement } from '../store/progress-record.js';
import { type ChunkJob, ProgressChunk } from './progress-chunk.js';

/** A record of progress as read from the store, not applied yet. */
interface StoredChunk {
  readonly index: number;
  readonly size: number;
  readonly value: unknown;
  readonly revision: Revision;
}

/** The progress of one task according to the records. */
export type StoredTaskProgress =
  | { readonly kind: 'done' }
  | { readonly kind: 'placed'; readonly placement: TaskPlacement }
  | { readonly kind: 'waiting'; readonly attemptNumber: AttemptNumber };

/** The chunks of one job. */
export class JobProgress {
  /** By index. */
  readonly chunks = new Map<number, ProgressChunk>();
  /** Keys of records that are replaced by records of another chunk size. */
  readonly supersededKeys: string[] = [];
  private storedChunks: StoredChunk[] = [];

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

  /** Adds a record that an earlier leader wrote, of any chunk size; `takeStored` applies it. */
  addStored(chunk: StoredChunk): void {
    this.storedChunks.push(chunk);
  }

  /**
   * Merges all records that were added. Smaller chunks were made of larger ones and list every task that was ever
   * begun: they are merged last and take precedence.
   */
  takeStored(): Map<TaskIndex, StoredTaskProgress> {
    const merged = new Map<TaskIndex, StoredTaskProgress>();
    for (const { index: chunkIndex, size, value, revision } of this.storedChunks.sort(
      (a, b) => b.size - a.size,
    )) {
      const firstTask = (chunkIndex * size) as TaskIndex;
      if (size === this.chunkSize) this.chunkOf(firstTask).revision = revision;
      else this.supersededKeys.push(keys.openChunk(this.job.spec.id, chunkIndex, size));
      const { done, placed, usedAttempts } = decodeChunk(value);
      for (const index of done) merged.set(index, { kind: 'done' });
      for (const [index, placement] of placed) merged.set(index, { kind: 'placed', placement });
      for (const [index, attemptNumber] of usedAttempts) {
        merged.set(index, { kind: 'waiting', attemptNumber });
      }
    }
    this.storedChunks = [];
    return merged;
  }

  /**
   * Goes on in smaller chunks, and returns those that they replace. Durable progress stays where it is until its part
   * changes; what is not durable is written anew, and takes precedence over whatever of the old size still arrives late.
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
    if (chunk.revision > 0) this.supersededKeys.push(chunk.key);
  }
}
