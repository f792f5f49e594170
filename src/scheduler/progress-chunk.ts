/** The part of a job's progress that shares one record in the key-value store. */
import { NO_REVISION, type Revision, type TaskIndex, type AttemptNumber } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import { keys } from '../store/keys.js';
import type { ChunkProgress, TaskPlacement } from '../store/progress-record.js';
import type { DurableProgress, Task, TaskJob } from './task.js';

/** The job of a chunk, as far as those who write the chunk need it (`ActiveJob`). */
export interface ChunkJob extends TaskJob {
  readonly revision: Revision;
  readonly isOver: boolean;
  /** A chunk has changes that are not durable yet. */
  onChunkDirty(chunk: ProgressChunk): void;
}

/** Consecutive tasks of one job, and what of their progress is not durable yet. */
export class ProgressChunk implements DurableProgress {
  /** The revision of its record. */
  revision: Revision = NO_REVISION;
  /** A write of its record was sent, whatever became of it. */
  wasSent = false;
  /** Raised by each change; the change is durable once `durableVersion` has caught up. */
  version = 0;
  durableVersion = 0;
  dirtySince: MonotonicTime | null = null;
  /** Tasks whose placement is being committed. */
  readonly committing = new Set<Task>();
  /** Tasks that were begun at least once. */
  readonly tasks = new Map<TaskIndex, Task>();
  /** The chunks of another size that replaced it, each with the version that holds all this one held. */
  private successors: { readonly chunk: ProgressChunk; readonly version: number }[] | null = null;

  constructor(
    readonly job: ChunkJob,
    readonly index: number,
    readonly size: number,
  ) {}

  get key(): string {
    return keys.openChunk(this.job.spec.id, this.index, this.size);
  }

  /** Whether its record may be in the store, or may still be applied: it has to be dropped in the end. */
  get mayBeStored(): boolean {
    return this.revision > NO_REVISION || this.wasSent;
  }

  get isDirty(): boolean {
    return this.version > this.durableVersion;
  }

  /** Whether the progress at this version is in the store. */
  isDurable(version: number): boolean {
    if (this.durableVersion >= version) return true;
    return this.successors?.every((successor) => successor.chunk.isDurable(successor.version)) ?? false;
  }

  /** The given chunks replace this one and hold all its tasks. */
  supersedeBy(chunks: readonly ProgressChunk[]): void {
    this.successors = chunks.map((chunk) => ({ chunk, version: chunk.version }));
  }

  markDirty(now: MonotonicTime): void {
    this.version++;
    this.dirtySince ??= now;
    this.job.onChunkDirty(this);
  }

  /** The progress to be written; placements that are being committed count as placed. */
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
