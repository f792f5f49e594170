/** Chooses what the next transaction of the group commit carries. */
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

/** Progress without a new start waits this long for more to share its transaction: it only saves repeated work. */
const PROGRESS_DELAY_MS = 400;
/** While starts and closings need the writes, progress waits up to this long. */
const MAX_PROGRESS_DELAY_MS = 5000;
/** The share of the budget's burst that is reserved for starts. */
const RESERVED_FOR_STARTS = 0.5;
const MAX_BATCH_BYTES = 48 * 1024;
/** A takeover reads stale keys as well: beyond this many they are dropped at once. */
const MAX_STALE_KEYS = 1000;
/** About what one write, one placement, one other task and one job's record take in a transaction. */
const WRITE_BYTES = 200;
const PLACEMENT_BYTES = 26;
const TASK_BYTES = 8;
const JOB_RECORD_BYTES = 500;
/** The writes of a closing without its stale keys: the job's record and the head of its progress. */
const CLOSING_WRITES = 2;

/** A chunk in a batch, as it was when the batch was built. */
export interface ChunkWrite {
  readonly chunk: ProgressChunk;
  readonly version: number;
  /** Tasks whose start is decided by this write. */
  readonly starting: readonly Task[];
}

/** A job that a batch closes. */
interface JobClosing {
  readonly job: ActiveJob;
  /** Its keys that this batch doesn't drop. */
  readonly staleKeys: readonly string[];
}

/** One transaction, and what it makes durable. */
export interface CommitBatch {
  readonly compares: Compare[];
  readonly writes: WriteOperation[];
  readonly chunks: ChunkWrite[];
  readonly closings: JobClosing[];
  bytes: number;
}

/** What to do next: write a batch, wait until one may be due, or nothing until there are changes. */
export type NextCommit =
  | { readonly kind: 'batch'; readonly batch: CommitBatch }
  | { readonly kind: 'wait'; readonly delayMs: number }
  | { readonly kind: 'idle' };

const IDLE: NextCommit = { kind: 'idle' };

/** Chunks that may be written now, and the time until the next one may be (Infinity: there is none). */
interface DirtyChunks {
  readonly starts: ProgressChunk[];
  readonly progress: ProgressChunk[];
  readonly nextDueMs: number;
}

/** Builds batches from the changes that are not durable yet, within the rate and the sizes that the store allows. */
export class CommitBatchBuilder {
  /** Keys of jobs that are over, dropped when nothing else is to be written. */
  private readonly staleKeys: string[] = [];

  constructor(
    private readonly ctx: LeaderContext,
    private readonly writeBudget: TokenBucket,
    private readonly writeCounts: WriteCounts,
  ) {}

  /** Adds keys to be dropped when nothing else is to be written. */
  addStaleKeys(staleKeys: readonly string[]): void {
    this.staleKeys.push(...staleKeys);
  }

  /**
   * Chooses the next transaction: jobs that are done, starts by priority, progress, records of cancelled jobs, while the
   * rate that the store allows has room. The rest is chosen later.
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
      bytes: 0,
    };
    const budget = Math.max(1, Math.floor(this.writeBudget.available()));
    const maxWrites = Math.min(this.ctx.storeLimits.txnOps, budget);
    const isFull = (): boolean => batch.writes.length >= maxWrites || batch.bytes > MAX_BATCH_BYTES;
    // Users wait for `done`, and for a job to become `cancelled` with one that it depends on; few jobs end at a
    // time. Nobody waits for the remaining records of a cancelled job.
    for (const job of jobsToClose)
      if (!isFull() && writesFinalState(job)) this.addClosing(batch, job, maxWrites);
    for (const chunk of starts) if (!isFull()) this.addChunk(batch, chunk);
    for (const chunk of progress) if (!isFull()) this.addChunk(batch, chunk);
    for (const job of jobsToClose)
      if (!isFull() && !writesFinalState(job)) this.addClosing(batch, job, maxWrites);
    if (batch.writes.length === 0) this.addStaleDrops(batch, maxWrites);
    return batch;
  }

  /** Returns chunks with starts, by priority, and those whose progress has waited for long enough. */
  private dirtyChunks(): DirtyChunks {
    const now = this.ctx.clock.now();
    const delayMs = this.isUnderPressure() ? MAX_PROGRESS_DELAY_MS : PROGRESS_DELAY_MS;
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
    starts.sort((one, other) => other.job.effectiveSpec.priority - one.job.effectiveSpec.priority);
    return { starts, progress, nextDueMs };
  }

  /** Whether the rest of the budget is reserved for starts. */
  private isUnderPressure(): boolean {
    return Math.floor(this.writeBudget.available()) <= this.writeBudget.burst * RESERVED_FOR_STARTS;
  }

  private addChunk(batch: CommitBatch, chunk: ProgressChunk): void {
    const starting = [...chunk.committing];
    const progress = chunk.progress();
    batch.compares.push({ key: chunk.key, revision: chunk.revision });
    if (starting.length > 0)
      batch.compares.push({ key: keys.job(chunk.job.spec.id), revision: chunk.job.revision });
    batch.writes.push({ set: chunk.key, value: encodeChunk(progress) });
    batch.chunks.push({ chunk, version: chunk.version, starting });
    chunk.wasSent = true;
    if (starting.length > 0) this.writeCounts.starts++;
    else this.writeCounts.progress++;
    batch.bytes += WRITE_BYTES + progress.placed.size * PLACEMENT_BYTES + chunk.tasks.size * TASK_BYTES;
  }

  private addClosing(batch: CommitBatch, job: ActiveJob, maxWrites: number): void {
    const writesBefore = batch.writes.length;
    const drops = closedKeys(job);
    const isPostponed = this.mayPostponeDrops();
    const neededWrites = CLOSING_WRITES + (isPostponed ? 0 : drops.length);
    if (writesBefore > 0 && writesBefore + neededWrites > maxWrites) return;
    if (writesFinalState(job)) this.addFinalState(batch, job);
    batch.writes.push({ drop: keys.openHead(job.spec.id) });
    // What does not fit stays behind without a head, which no takeover reads as a job, and is dropped later.
    const remainingWrites = isPostponed ? 0 : this.ctx.storeLimits.txnOps - batch.writes.length;
    for (const key of drops.slice(0, remainingWrites)) batch.writes.push({ drop: key });
    batch.closings.push({ job, staleKeys: drops.slice(remainingWrites) });
    this.writeCounts.closings += batch.writes.length - writesBefore;
  }

  private addFinalState(batch: CommitBatch, job: ActiveJob): void {
    const { spec, acceptedAt, revision } = job;
    const state = job.isCancelledByDependency ? 'cancelled' : 'done';
    const value = encodeEndedJob({ spec, state, acceptedAt }, this.ctx.storeLimits.valueBytes);
    batch.compares.push({ key: keys.job(spec.id), revision });
    batch.writes.push({ set: keys.job(spec.id), value });
    batch.bytes += JOB_RECORD_BYTES;
  }

  /** Whether the keys of a closed job are better dropped once less is to be written. */
  private mayPostponeDrops(): boolean {
    return this.staleKeys.length < MAX_STALE_KEYS && this.isUnderPressure();
  }

  private addStaleDrops(batch: CommitBatch, maxWrites: number): void {
    for (const key of this.staleKeys.splice(0, maxWrites)) batch.writes.push({ drop: key });
    this.writeCounts.staleKeys += batch.writes.length;
  }
}

/** The keys of a job that go with its head: stored progress, superseded chunks, and parts of its description. */
function closedKeys(job: ActiveJob): string[] {
  const storedChunks = [...job.chunks.values()].filter((chunk) => chunk.mayBeStored);
  return [...storedChunks.map((chunk) => chunk.key), ...job.supersededKeys, ...overflowKeys(job.spec)];
}

/** Whether closing the job writes its final state: it is done, or cancelled with a job that it depends on. */
function writesFinalState(job: ActiveJob): boolean {
  return !job.isCancelled || job.isCancelledByDependency;
}
