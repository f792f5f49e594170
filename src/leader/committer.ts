/** Implements group commit: writes decisions and task progress to the store in batches. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { AttemptNumber, Revision } from '../model/ids.js';
import { type Cancel, sleep } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Task } from '../scheduler/task.js';
import type { TxnResult } from '../store/client.js';
import { StoreRefusedError, StoreRequestTooLargeError } from '../store/errors.js';
import { type ChunkWrite, type CommitBatch, CommitBatchBuilder } from './commit-batch.js';
import { CommitConflictResolver } from './commit-conflicts.js';
import type { WriteCounts } from './write-counts.js';

/** Delay before the retry of a batch that the store certainly did not apply. */
const REFUSED_COMMIT_RETRY_DELAY_MS = 100;
/** Delay before the retry of a batch whose outcome is unknown. */
const UNKNOWN_OUTCOME_RETRY_DELAY_MS = 30;
const RETRY_JITTER_MS = 100;
const COMMIT_LOOP_RETRY_DELAY_MS = 200;
const STALE_KEY_DELETE_DELAY_MS = 2000;

/** Receives notifications of state that has become durable. */
export interface CommitListener {
  /** Called when the placements of the tasks are durable; a start command must not be sent earlier. */
  onTasksPlaced(tasks: readonly Task[]): void;
  /** Called when the final state of the job is durable. */
  onJobClosed(job: ActiveJob): void;
}

/** The leader components that `Committer` uses. */
interface CommitterParts {
  /** Limits the store writes per second of this leader. */
  readonly writeBudget: TokenBucket;
  readonly writeCounts: WriteCounts;
  readonly listener: CommitListener;
}

/**
 * Writes decisions and progress to the store, batched into one transaction at a time.
 *
 * Every transaction compares the epoch, so that a transaction that the store applies after a takeover fails. It also
 * compares the revisions of the chunks that it replaces, so that a delayed transaction of this leader cannot overwrite
 * a newer one. The write of a task start also compares the revision of the job record, which a cancellation changes.
 */
export class Committer {
  private readonly batches: CommitBatchBuilder;
  private readonly conflicts: CommitConflictResolver;
  private isRunning = false;
  private cancelTimer: Cancel | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: CommitterParts,
  ) {
    this.batches = new CommitBatchBuilder(ctx, parts.writeBudget, parts.writeCounts);
    this.conflicts = new CommitConflictResolver(ctx, (job) => this.closeJob(job));
  }

  /**
   * Starts the write loop for pending changes unless the loop is running or the term has ended. Never throws; the loop
   * handles its errors.
   */
  schedule(): void {
    if (this.isRunning || this.ctx.isEnded()) return;
    this.isRunning = true;
    void this.writeBatches();
  }

  /** Schedules the deletion of keys of ended jobs, which runs when no other writes are pending. */
  deleteStaleKeys(staleKeys: readonly string[]): void {
    this.batches.addStaleKeys(staleKeys);
    if (staleKeys.length > 0) this.scheduleAfter(STALE_KEY_DELETE_DELAY_MS);
  }

  private scheduleAfter(delayMs: number): void {
    if (this.cancelTimer) return;
    this.cancelTimer = this.ctx.clock.after(delayMs, () => {
      this.cancelTimer = null;
      this.schedule();
    });
  }

  private async writeBatches(): Promise<void> {
    try {
      while (!this.ctx.isEnded()) {
        const next = this.batches.next();
        if (next.kind === 'wait') this.scheduleAfter(next.delayMs);
        if (next.kind !== 'batch') break;
        await this.write(next.batch);
      }
    } catch (error) {
      this.ctx.log.error({ error: errorMessage(error) }, 'commit loop failed');
      this.scheduleAfter(COMMIT_LOOP_RETRY_DELAY_MS);
    } finally {
      this.isRunning = false;
    }
  }

  private async write(batch: CommitBatch): Promise<void> {
    this.parts.writeBudget.forceTake(batch.writes.length);
    const attemptNumbers = batch.chunks.map(({ starting }) => starting.map((task) => task.attemptNumber));
    let result: TxnResult;
    try {
      result = await this.ctx.store.txn(batch.compares, batch.writes);
    } catch (error) {
      await this.recordFailure(error, batch);
      return;
    }
    if (this.ctx.isEnded()) return;
    if (result.ok) this.recordCommit(batch, attemptNumbers, result.revision);
    else await this.conflicts.resolve(result.failed, batch);
  }

  /**
   * Logs a failed batch and waits. No command was sent for the batch; the retry builds a batch from the current state.
   */
  private async recordFailure(error: unknown, batch: CommitBatch): Promise<void> {
    const { clock, log, random, storeLimits } = this.ctx;
    storeLimits.recordWriteFailure(error);
    const level = error instanceof StoreRequestTooLargeError ? 'error' : 'debug';
    log[level]({ error: errorMessage(error), writes: batch.writes.length }, 'commit failed');
    const delayMs =
      error instanceof StoreRefusedError ? REFUSED_COMMIT_RETRY_DELAY_MS : UNKNOWN_OUTCOME_RETRY_DELAY_MS;
    await sleep(clock, delayMs + random() * RETRY_JITTER_MS);
  }

  private recordCommit(
    batch: CommitBatch,
    attemptNumbers: readonly (readonly AttemptNumber[])[],
    revision: Revision,
  ): void {
    const placedTasks: Task[] = [];
    batch.chunks.forEach((write, index) => {
      this.recordChunk(write, revision);
      this.confirmStarts(write, attemptNumbers[index] ?? [], placedTasks);
    });
    for (const { job, staleKeys } of batch.closings) {
      this.closeJob(job);
      this.deleteStaleKeys(staleKeys);
    }
    if (placedTasks.length > 0) this.parts.listener.onTasksPlaced(placedTasks);
  }

  private recordChunk({ chunk, version }: ChunkWrite, revision: Revision): void {
    chunk.revision = revision;
    chunk.durableVersion = Math.max(chunk.durableVersion, version);
    chunk.dirtySince = chunk.isDirty ? this.ctx.clock.now() : null;
    if (!chunk.isDirty) this.ctx.jobs.dirtyChunks.delete(chunk);
  }

  /** Confirms the task starts that have not changed since they were written and adds them to `placedTasks`. */
  private confirmStarts(
    { chunk, starting }: ChunkWrite,
    attemptNumbers: readonly AttemptNumber[],
    placedTasks: Task[],
  ): void {
    starting.forEach((task, index) => {
      if (task.phase !== 'committing' || task.attemptNumber !== attemptNumbers[index]) return;
      chunk.job.confirmPlacement(task);
      placedTasks.push(task);
    });
  }

  private closeJob(job: ActiveJob): void {
    for (const chunk of job.chunks.values()) chunk.durableVersion = chunk.version;
    this.ctx.jobs.close(job.spec.id);
    this.parts.listener.onJobClosed(job);
  }
}
