/** Selects the changes that the next group commit transaction writes. */
import type { LeaderContext } from '../core/context.js';
import { since } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { ProgressChunk } from '../scheduler/progress-chunk.js';
import type { Task } from '../scheduler/task.js';
import { encodeEndedJob, overflowKeys } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { encodeChunk } from '../store/progress-record.js';
import type { Compare, WriteOperation } from '../wire/key-value-store.js';
import type { WriteCounts } from './write-counts.js';

/**
 * Delay of progress writes without a new task start, so that more progress shares the transaction. Progress that is
 * lost in this time only causes repeated work.
 */
const PROGRESS_DELAY_MS = 400;
/** Maximum delay of progress writes while task starts and closed jobs use the write budget. */
const MAX_PROGRESS_DELAY_MS = 5000;
/** Share of the write budget's burst that is reserved for task starts. */
const START_RESERVE_RATIO = 0.5;
/** Estimated size above which nothing more is added to a batch. */
const MAX_BATCH_BYTES = 48 * 1024;
/**
 * Number of stale keys from which the keys of a closed job are deleted immediately. A takeover reads stale keys too, so
 * their number is bounded.
 */
const MAX_STALE_KEY_COUNT = 1000;
/** Estimated size of one write operation in a transaction, without the tasks and records that it carries. */
const ESTIMATED_WRITE_BYTES = 200;
/** Estimated size of one task placement in a transaction. */
const ESTIMATED_PLACEMENT_BYTES = 26;
/** Estimated size of one task of a chunk in a transaction, without its placement. */
const ESTIMATED_TASK_BYTES = 8;
/** Estimated size of one job record in a transaction. */
const ESTIMATED_JOB_RECORD_BYTES = 500;
/**
 * Maximum number of writes that close a job, without its stale keys: the job record, unless it already shows the
 * cancellation, and the head record of its progress.
 */
const CLOSING_WRITE_COUNT = 2;

/** The write of a progress chunk, with the chunk's version when the batch was built. */
export interface ChunkWrite {
  readonly chunk: ProgressChunk;
  readonly version: number;
  /** Tasks whose start becomes durable with this write. */
  readonly starting: readonly Task[];
}

/** A job that a batch closes. */
interface JobClosing {
  readonly job: ActiveJob;
  /** Keys of the job that this batch does not delete. */
  readonly staleKeys: readonly string[];
}

/** One transaction and the changes that it makes durable. */
export interface CommitBatch {
  readonly compares: Compare[];
  readonly writes: WriteOperation[];
  readonly chunks: ChunkWrite[];
  readonly closings: JobClosing[];
  estimatedBytes: number;
}

/** The next action of the commit loop: write a batch, wait until a batch may be due, or stay idle until a change. */
export type NextCommit =
  | { readonly kind: 'batch'; readonly batch: CommitBatch }
  | { readonly kind: 'wait'; readonly delayMs: number }
  | { readonly kind: 'idle' };

const IDLE: NextCommit = { kind: 'idle' };

/**
 * Chunks that may be written now, and the time until the other chunks must be checked again (Infinity if there are
 * none).
 */
interface DirtyChunks {
  readonly starts: ProgressChunk[];
  readonly progress: ProgressChunk[];
  readonly nextDueMs: number;
}

/** Builds batches from changes that are not durable yet, within the store's rate and size limits. */
export class CommitBatchBuilder {
  /** Keys of ended jobs, which are deleted when no other writes are pending. */
  private readonly staleKeys: string[] = [];

  constructor(
    private readonly ctx: LeaderContext,
    private readonly writeBudget: TokenBucket,
    private readonly writeCounts: WriteCounts,
  ) {}

  /** Queues keys for deletion when no other writes are pending. */
  addStaleKeys(staleKeys: readonly string[]): void {
    this.staleKeys.push(...staleKeys);
  }

  /**
   * Selects the changes for the next transaction within the write budget, in this order: final states of jobs, task
   * starts by priority, progress, records of cancelled jobs and, only if there is nothing else, stale keys. Changes
   * that do not fit are left for later transactions.
   */
  next(): NextCommit {
    const budgetWaitMs = this.writeBudget.waitMs();
    if (budgetWaitMs > 0) return this.hasChanges() ? { kind: 'wait', delayMs: budgetWaitMs + 1 } : IDLE;
    const dirty = this.dirtyChunks();
    const batch = this.build(dirty);
    if (batch.writes.length > 0) return { kind: 'batch', batch };
    return dirty.nextDueMs < Infinity ? { kind: 'wait', delayMs: Math.max(dirty.nextDueMs, 1) + 1 } : IDLE;
  }

  private hasChanges(): boolean {
    const { dirtyChunks, jobsToClose } = this.ctx.jobs;
    return dirtyChunks.size > 0 || jobsToClose.size > 0 || this.staleKeys.length > 0;
  }

  private build({ starts, progress }: DirtyChunks): CommitBatch {
    const { jobsToClose } = this.ctx.jobs;
    const batch: CommitBatch = {
      compares: [{ key: keys.epoch, revision: this.ctx.epochRevision }],
      writes: [],
      chunks: [],
      closings: [],
      estimatedBytes: 0,
    };
    const availableWrites = Math.max(1, Math.floor(this.writeBudget.available()));
    const maxWrites = Math.min(this.ctx.storeLimits.txnOps, availableWrites);
    const isFull = (): boolean => batch.writes.length >= maxWrites || batch.estimatedBytes > MAX_BATCH_BYTES;
    // Final states are written first, because users wait for `done` and for the cancellation of dependent jobs, and few
    // jobs end at a time. No user waits for the deletion of a cancelled job's remaining records.
    for (const job of jobsToClose)
      if (!isFull() && writesFinalState(job)) this.addClosing(batch, job, maxWrites);
    for (const chunk of starts) if (!isFull()) this.addChunk(batch, chunk);
    for (const chunk of progress) if (!isFull()) this.addChunk(batch, chunk);
    for (const job of jobsToClose)
      if (!isFull() && !writesFinalState(job)) this.addClosing(batch, job, maxWrites);
    if (batch.writes.length === 0) this.addStaleKeyDeletes(batch, maxWrites);
    return batch;
  }

  /** Returns the chunks with task starts, sorted by priority, and the chunks whose progress is due. */
  private dirtyChunks(): DirtyChunks {
    const now = this.ctx.clock.now();
    const delayMs = this.isStartReserveReached() ? MAX_PROGRESS_DELAY_MS : PROGRESS_DELAY_MS;
    const starts: ProgressChunk[] = [];
    const progress: ProgressChunk[] = [];
    let nextDueMs = Infinity;
    for (const chunk of this.ctx.jobs.dirtyChunks) {
      const { job } = chunk;
      if (job.isOver) continue;
      if (!job.isCancelled && chunk.committing.size > 0) {
        starts.push(chunk);
        continue;
      }
      const age = since(now, chunk.dirtySince ?? now);
      if (age >= delayMs) progress.push(chunk);
      else nextDueMs = Math.min(nextDueMs, delayMs - age, PROGRESS_DELAY_MS);
    }
    starts.sort((left, right) => right.job.effectiveSpec.priority - left.job.effectiveSpec.priority);
    return { starts, progress, nextDueMs };
  }

  /** Returns whether the remaining write budget is reserved for task starts. */
  private isStartReserveReached(): boolean {
    return Math.floor(this.writeBudget.available()) <= this.writeBudget.burst * START_RESERVE_RATIO;
  }

  private addChunk(batch: CommitBatch, chunk: ProgressChunk): void {
    const starting = [...chunk.committing];
    const progress = chunk.progress();
    batch.compares.push({ key: chunk.key, revision: chunk.revision });
    if (starting.length > 0)
      batch.compares.push({ key: keys.job(chunk.job.spec.id), revision: chunk.job.revision });
    batch.writes.push({ set: chunk.key, value: encodeChunk(progress) });
    batch.chunks.push({ chunk, version: chunk.version, starting });
    chunk.wasWriteSent = true;
    if (starting.length > 0) this.writeCounts.starts++;
    else this.writeCounts.progress++;
    batch.estimatedBytes +=
      ESTIMATED_WRITE_BYTES +
      progress.placed.size * ESTIMATED_PLACEMENT_BYTES +
      chunk.tasks.size * ESTIMATED_TASK_BYTES;
  }

  private addClosing(batch: CommitBatch, job: ActiveJob, maxWrites: number): void {
    const writesBefore = batch.writes.length;
    const keysToDelete = keysOfClosedJob(job);
    const areDeletesPostponed = this.mayPostponeDeletes();
    const neededWrites = CLOSING_WRITE_COUNT + (areDeletesPostponed ? 0 : keysToDelete.length);
    if (writesBefore > 0 && writesBefore + neededWrites > maxWrites) return;
    if (writesFinalState(job)) this.addFinalState(batch, job);
    batch.writes.push({ drop: keys.openHead(job.spec.id) });
    // Keys that do not fit are deleted later; without a head record, a takeover does not load them as a job.
    const remainingWrites = areDeletesPostponed ? 0 : this.ctx.storeLimits.txnOps - batch.writes.length;
    for (const key of keysToDelete.slice(0, remainingWrites)) batch.writes.push({ drop: key });
    batch.closings.push({ job, staleKeys: keysToDelete.slice(remainingWrites) });
    this.writeCounts.closings += batch.writes.length - writesBefore;
  }

  private addFinalState(batch: CommitBatch, job: ActiveJob): void {
    const { spec, acceptedAt, revision } = job;
    const state = job.isCancelledByDependency ? 'cancelled' : 'done';
    const value = encodeEndedJob({ spec, state, acceptedAt }, this.ctx.storeLimits.valueBytes);
    batch.compares.push({ key: keys.job(spec.id), revision });
    batch.writes.push({ set: keys.job(spec.id), value });
    batch.estimatedBytes += ESTIMATED_JOB_RECORD_BYTES;
  }

  /** Returns whether the deletion of a closed job's keys may wait until the write load is lower. */
  private mayPostponeDeletes(): boolean {
    return this.staleKeys.length < MAX_STALE_KEY_COUNT && this.isStartReserveReached();
  }

  private addStaleKeyDeletes(batch: CommitBatch, maxWrites: number): void {
    for (const key of this.staleKeys.splice(0, maxWrites)) batch.writes.push({ drop: key });
    this.writeCounts.staleKeys += batch.writes.length;
  }
}

/**
 * Returns the keys that are deleted with a job's head record: stored progress, superseded chunks, and overflow records.
 */
function keysOfClosedJob(job: ActiveJob): string[] {
  const storedChunks = [...job.chunks.values()].filter((chunk) => chunk.mayBeStored);
  return [...storedChunks.map((chunk) => chunk.key), ...job.supersededKeys, ...overflowKeys(job.spec)];
}

/** Returns whether closing the job writes its final state: the job is done or was cancelled because of a dependency. */
function writesFinalState(job: ActiveJob): boolean {
  return !job.isCancelled || job.isCancelledByDependency;
}
