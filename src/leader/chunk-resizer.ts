import type { LeaderContext } from '../core/context.js';
import type { MonotonicTime } from '../model/time.js';
import type { Committer } from './committer.js';

/** Moves progress to smaller records as soon as every controller reads them, or the store's limits require them. */
export class ChunkResizer {
  private lastChunkTasks = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly committer: Committer,
  ) {}

  /** Resizes the chunks of all jobs if the size that the limits allow has changed. */
  tick(now: MonotonicTime): void {
    const { storeLimits, jobs } = this.ctx;
    const chunkTasks = storeLimits.chunkSize(Infinity);
    if (chunkTasks === this.lastChunkTasks) return;
    this.lastChunkTasks = chunkTasks;
    for (const job of jobs.values()) job.resizeChunks(storeLimits.chunkSize(job.spec.taskCount), now);
    this.committer.schedule();
  }
}
