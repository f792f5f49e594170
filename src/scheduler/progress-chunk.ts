/** The part of a job's progress that shares one record in the state service. */
import { NO_REVISION, type Revision, type TaskIndex, type AttemptNumber } from '../model/ids.js';
import type { MonotonicTime } from '../model/time.js';
import { keys } from '../store/keys.js';
import type { ChunkProgress, TaskPlacement } from '../store/progress-record.js';
import type { ActiveJob } from './active-job.js';
import type { Task } from './task.js';

/** Consecutive tasks of one job, with what of them is not durable yet. */
export class ProgressChunk {
  revision: Revision = NO_REVISION;
  /** Raised by each change; the change is durable once `durable` has caught up. */
  version = 0;
  durableVersion = 0;
  dirtySince: MonotonicTime | null = null;
  /** Tasks whose start is being decided. */
  readonly committing = new Set<Task>();
  readonly tasks = new Map<TaskIndex, Task>();

  /** The chunks of another size that took its place, each with the version that holds all this one held. */
  private successors: { readonly chunk: ProgressChunk; readonly version: number }[] | null = null;

  constructor(
    readonly job: ActiveJob,
    readonly index: number,
    readonly size: number,
  ) {}

  get key(): string {
    return keys.openChunk(this.job.spec.id, this.index, this.size);
  }

  get isDirty(): boolean {
    return this.version > this.durableVersion;
  }

  /** Whether what it held at this version is in the state service. */
  isDurable(version: number): boolean {
    if (this.durableVersion >= version) return true;
    return this.successors?.every(({ chunk, version: v }) => chunk.isDurable(v)) ?? false;
  }

  supersededBy(chunks: readonly ProgressChunk[]): void {
    this.successors = chunks.map((chunk) => ({ chunk, version: chunk.version }));
  }

  markDirty(now: MonotonicTime): void {
    this.version++;
    this.dirtySince ??= now;
    this.job.store?.dirtyChunks.add(this);
  }

  /** The progress to be written; decisions being made count as placed. */
  progress(): ChunkProgress {
    const done = new Set<TaskIndex>();
    const placed = new Map<TaskIndex, TaskPlacement>();
    const used = new Map<TaskIndex, AttemptNumber>();
    for (const task of this.tasks.values()) {
      if (task.phase === 'done') done.add(task.index);
      else if (task.isAssigned && task.machine)
        placed.set(task.index, { attemptNumber: task.attemptNumber, machine: task.machine });
      else if (task.attemptNumber > 0) used.set(task.index, task.attemptNumber);
    }
    return { done, placed, usedAttempts: used };
  }
}
