/** Group commit: makes decisions and progress durable. */
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

/** After a batch that was surely not carried out, and after one whose outcome is unknown. */
const REFUSED_RETRY_MS = 100;
const UNKNOWN_RETRY_MS = 30;
const RETRY_JITTER_MS = 100;
const FAILED_LOOP_RETRY_MS = 200;
const STALE_KEYS_DELAY_MS = 2000;

/** Is told of what has become durable. */
export interface CommitListener {
  /** The starts of these tasks are durable: only now may their start commands leave. */
  tasksPlaced(tasks: readonly Task[]): void;
  /** The job's end is durable. */
  jobClosed(job: ActiveJob): void;
}

/** The parts of the leader that `Committer` works with. */
interface CommitterParts {
  /** The writes per second that this leader may make. */
  readonly writeBudget: TokenBucket;
  readonly writeCounts: WriteCounts;
  readonly listener: CommitListener;
}

/**
 * Writes decisions and progress, many in one transaction, one transaction at a time.
 *
 * Every transaction compares the epoch, so one that the store applies late, after a takeover, fails; and the revisions
 * of the chunks it replaces, so a late one of our own cannot undo a newer one. A start also compares its job's record:
 * cancelling changes it.
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

  /** There are changes to write. Never throws: the loop handles its own failures. */
  schedule(): void {
    if (this.isRunning || this.ctx.isEnded()) return;
    this.isRunning = true;
    void this.writeBatches();
  }

  /** Drops keys of jobs that are over, when nothing else is to be written. */
  dropStaleKeys(staleKeys: readonly string[]): void {
    this.batches.addStaleKeys(staleKeys);
    if (staleKeys.length > 0) this.scheduleAfter(STALE_KEYS_DELAY_MS);
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
      this.scheduleAfter(FAILED_LOOP_RETRY_MS);
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

  /** Nothing has left on the strength of this batch; it is tried again as things then stand. */
  private async recordFailure(error: unknown, batch: CommitBatch): Promise<void> {
    const { clock, log, random, storeLimits } = this.ctx;
    storeLimits.recordWriteFailure(error);
    const level = error instanceof StoreRequestTooLargeError ? 'error' : 'debug';
    log[level]({ error: errorMessage(error), writes: batch.writes.length }, 'commit failed');
    const delayMs = error instanceof StoreRefusedError ? REFUSED_RETRY_MS : UNKNOWN_RETRY_MS;
    await sleep(clock, delayMs + random() * RETRY_JITTER_MS);
  }

  private recordCommit(
    batch: CommitBatch,
    attemptNumbers: readonly (readonly AttemptNumber[])[],
    revision: Revision,
  ): void {
    const placed: Task[] = [];
    batch.chunks.forEach((write, index) => {
      this.recordChunk(write, revision);
      this.confirmStarts(write, attemptNumbers[index] ?? [], placed);
    });
    for (const { job, staleKeys } of batch.closings) {
      this.closeJob(job);
      this.dropStaleKeys(staleKeys);
    }
    if (placed.length > 0) this.parts.listener.tasksPlaced(placed);
  }

  private recordChunk({ chunk, version }: ChunkWrite, revision: Revision): void {
    chunk.revision = revision;
    chunk.durableVersion = Math.max(chunk.durableVersion, version);
    chunk.dirtySince = chunk.isDirty ? this.ctx.clock.now() : null;
    if (!chunk.isDirty) this.ctx.jobs.dirtyChunks.delete(chunk);
  }

  /** Confirms the starts that still stand as they were written, and adds them to `placed`. */
  private confirmStarts(
    { chunk, starting }: ChunkWrite,
    attemptNumbers: readonly AttemptNumber[],
    placed: Task[],
  ): void {
    starting.forEach((task, index) => {
      if (task.phase !== 'committing' || task.attemptNumber !== attemptNumbers[index]) return;
      chunk.job.confirmPlacement(task);
      placed.push(task);
    });
  }

  private closeJob(job: ActiveJob): void {
    for (const chunk of job.chunks.values()) chunk.durableVersion = chunk.version;
    this.ctx.jobs.close(job.spec.id);
    this.parts.listener.jobClosed(job);
  }
}
