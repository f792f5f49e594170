import type { LeaderContext } from '../core/context.js';
import type { MonotonicTime } from '../model/time.js';
import type { Committer } from './committer.js';

/**
 * Resizes the progress chunks of jobs when every controller can read smaller records or the store's limits require
 * them.
 */
export class ChunkResizer {
  private lastChunkTasks = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly committer: Committer,
  ) {}

  /**
   * Resizes the progress chunks of all jobs if the chunk size that the store limits allow has changed, and at the first
   * call.
   */
  tick(now: MonotonicTime): void {
    const { storeLimits, jobs } = this.ctx;
    const chunkTasks = storeLimits.chunkSize(Infinity);
    if (chunkTasks === this.lastChunkTasks) return;
    this.lastChunkTasks = chunkTasks;
    for (const job of jobs.values()) job.resizeChunks(storeLimits.chunkSize(job.spec.taskCount), now);
    this.committer.schedule();
  }
}
