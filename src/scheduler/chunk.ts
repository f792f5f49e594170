/** The part of a job's progress that shares one record in the state service. */
import { NO_REVISION, type Revision, type TaskIndex, type TryNo } from '../model/ids.js';
import type { Steady } from '../model/time.js';
import { keys } from '../store/keys.js';
import type { ChunkProgress, Placement } from '../store/progress-record.js';
import type { OpenJob } from './active-job.js';
import type { Task } from './task.js';

/** Consecutive tasks of one job, with what of them is not durable yet. */
export class Chunk {
  revision: Revision = NO_REVISION;
  /** Raised by each change; the change is durable once `durable` has caught up. */
  version = 0;
  durable = 0;
  dirtySince: Steady | null = null;
  /** Tasks whose start is being decided. */
  readonly deciding = new Set<Task>();
  readonly tasks = new Map<TaskIndex, Task>();

  /** The chunks of another size that took its place, each with the version that holds all this one held. */
  private successors: { readonly chunk: Chunk; readonly version: number }[] | null = null;

  constructor(
    readonly job: OpenJob,
    readonly index: number,
    readonly size: number,
  ) {}

  get key(): string {
    return keys.openChunk(this.job.spec.id, this.index, this.size);
  }

  get dirty(): boolean {
    return this.version > this.durable;
  }

  /** Whether what it held at this version is in the state service. */
  holds(version: number): boolean {
    if (this.durable >= version) return true;
    return this.successors?.every(({ chunk, version: v }) => chunk.holds(v)) ?? false;
  }

  replacedBy(chunks: readonly Chunk[]): void {
    this.successors = chunks.map((chunk) => ({ chunk, version: chunk.version }));
  }

  touch(now: Steady): void {
    this.version++;
    this.dirtySince ??= now;
    this.job.store?.dirty.add(this);
  }

  /** The progress to be written; decisions being made count as placed. */
  progress(): ChunkProgress {
    const done = new Set<TaskIndex>();
    const placed = new Map<TaskIndex, Placement>();
    const used = new Map<TaskIndex, TryNo>();
    for (const task of this.tasks.values()) {
      if (task.phase === 'done') done.add(task.index);
      else if (task.held && task.host) placed.set(task.index, { tryNo: task.tryNo, host: task.host });
      else if (task.tryNo > 0) used.set(task.index, task.tryNo);
    }
    return { done, placed, used };
  }
}
