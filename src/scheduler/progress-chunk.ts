/** A chunk of a job's progress, which is stored as one record in the key-value store. */
import { NO_REVISION, type Revision, type TaskIndex, type AttemptNumber } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import { keys } from '../store/keys.js';
import type { ChunkProgress, TaskPlacement } from '../store/progress-record.js';
import type { DurableProgress, Task, TaskJob } from './task.js';

/** The part of a job that the writers of its chunks need; implemented by `ActiveJob`. */
export interface ChunkJob extends TaskJob {
  readonly revision: Revision;
  readonly isOver: boolean;
  /** Called when a chunk has changes that are not durable yet. */
  onChunkDirty(chunk: ProgressChunk): void;
}

/** The progress of consecutive tasks of one job, and the versions that tell which changes are durable. */
export class ProgressChunk implements DurableProgress {
  /** The revision of the chunk's record in the key-value store; `NO_REVISION`: no record is known. */
  revision: Revision = NO_REVISION;
  /** Whether a write of the chunk's record was ever sent, whatever its outcome. */
  wasWriteSent = false;
  /** The number of changes to the chunk. A change is durable once `durableVersion` has reached its version. */
  version = 0;
  durableVersion = 0;
  dirtySince: MonotonicTime | null = null;
  /** The chunk's tasks whose placement is being committed. */
  readonly committing = new Set<Task>();
  /** The chunk's tasks with at least one attempt. */
  readonly tasks = new Map<TaskIndex, Task>();
  /**
   * The smaller chunks that replaced this chunk, each with the version that contains this chunk's progress at the
   * time of the replacement; null: the chunk was not replaced.
   */
  private successors: { readonly chunk: ProgressChunk; readonly version: number }[] | null = null;

  constructor(
    readonly job: ChunkJob,
    readonly index: number,
    readonly size: number,
  ) {}

  get key(): string {
    return keys.openChunk(this.job.spec.id, this.index, this.size);
  }

  /**
   * Whether the chunk's record may be in the store, or a write of the record may still be applied. Such a record has to
   * be deleted when the job is closed.
   */
  get mayBeStored(): boolean {
    return this.revision > NO_REVISION || this.wasWriteSent;
  }

  get isDirty(): boolean {
    return this.version > this.durableVersion;
  }

  /** Whether the progress at the given version is durable, in this chunk's record or in those of its successors. */
  isDurable(version: number): boolean {
    if (this.durableVersion >= version) return true;
    return this.successors?.every((successor) => successor.chunk.isDurable(successor.version)) ?? false;
  }

  /** Marks the chunk as replaced by the given chunks, which contain all its tasks. */
  supersedeBy(chunks: readonly ProgressChunk[]): void {
    this.successors = chunks.map((chunk) => ({ chunk, version: chunk.version }));
  }

  markDirty(now: MonotonicTime): void {
    this.version++;
    this.dirtySince ??= now;
    this.job.onChunkDirty(this);
  }

  /** Returns the progress to be written. Placements that are being committed count as placed. */
  progress(): ChunkProgress {
    const done = new Set<TaskIndex>();
    const placed = new Map<TaskIndex, TaskPlacement>();
    const usedAttempts = new Map<TaskIndex, AttemptNumber>();
    for (const task of this.tasks.values()) {
      if (task.phase === 'done') done.add(task.index);
      else if (task.isAssigned && task.machine)
        placed.set(task.index, { attemptNumber: task.attemptNumber, machine: task.machine });
      else if (task.attemptNumber > 0) usedAttempts.set(task.index, task.attemptNumber);
    }
    return { done, placed, usedAttempts };
  }
}
