import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId } from '../model/ids.js';
import { decodeJob, encodeEndedJob, overflowKeys } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { encodeChunk } from '../store/progress-record.js';
import type { WriteCounts } from './write-counts.js';
import type { TxnResult } from '../store/client.js';
import { StoreRefusedError, StoreRequestTooLargeError } from '../store/errors.js';
import type { TokenBucket } from '../net/token-bucket.js';
import type { ProgressChunk } from '../scheduler/progress-chunk.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Task } from '../scheduler/task.js';
import type { Compare, WriteOperation } from '../wire/key-value-store.js';
import { since, sleep } from '../model/time.js';

/** Progress without a new start may wait this long for company: it only saves repeated work. */
const LAZY_MS = 400;
/** While starts and closings need the writes, progress waits up to this long. */
const LAZIEST_MS = 5000;
/** The share of the budget's burst that is kept for starts. */
const KEPT_FOR_STARTS = 0.5;
const MAX_BYTES = 48 * 1024;
const LEFT_OVER_MS = 2000;
/** A takeover reads what is left over as well: beyond this many they go at once. */
const MOST_LEFT_OVER = 1000;
/** About what one write, one placement and one other task take in a transaction. */
const WRITE_BYTES = 200;
const PLACEMENT_BYTES = 26;
const TASK_BYTES = 8;

interface Batch {
  readonly conditions: Compare[];
  readonly writes: WriteOperation[];
  readonly chunks: { chunk: ProgressChunk; version: number; decided: Task[] }[];
  readonly closing: { readonly job: ActiveJob; readonly leftOver: readonly string[] }[];
  bytes: number;
}

/**
 * Writes decisions and progress, many in one transaction, one transaction at a time.
 *
 * Every transaction is conditioned on the epoch, so one that is applied late by the state service
 * after a takeover fails; and on the revisions of the chunks it replaces, so a late one of our own
 * cannot undo a newer one. A start is also conditioned on its job's record: cancelling changes it.
 */
export class Committer {
  private readonly leftOver: string[] = [];
  private running = false;
  private timer: (() => void) | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly budget: TokenBucket,
    private readonly counts: WriteCounts,
    private readonly onPlaced: (tasks: Task[]) => void,
    private readonly onEnded: (job: ActiveJob) => void,
  ) {}

  /** Something is to be written. */
  schedule(): void {
    if (this.running || this.ctx.isEnded()) return;
    this.running = true;
    void this.run();
  }

  private later(ms: number): void {
    if (this.timer) return;
    this.timer = this.ctx.clock.after(ms, () => {
      this.timer = null;
      this.schedule();
    });
  }

  private async run(): Promise<void> {
    try {
      while (!this.ctx.isEnded()) {
        const batch = this.pick();
        if (batch === null) break;
        await this.write(batch);
      }
    } catch (error) {
      this.ctx.log.error({ error: errorMessage(error) }, 'commit loop failed');
      this.later(200);
    } finally {
      this.running = false;
    }
  }

  /**
   * The next transaction: jobs that are done, starts by rank, progress, records of cancelled jobs,
   * while the rate that the state service allows has room. What is left over is picked later.
   */
  private pick(): Batch | null {
    const { jobs } = this.ctx;
    const wait = this.budget.waitMs();
    if (wait > 0) {
      if (jobs.dirtyChunks.size > 0 || jobs.jobsToClose.size > 0 || this.leftOver.length > 0)
        this.later(wait + 1);
      return null;
    }
    const batch: Batch = { conditions: [], writes: [], chunks: [], closing: [], bytes: 0 };
    batch.conditions.push({ key: keys.epoch, revision: this.ctx.epochRevision });
    const { starts, progress, nextDue } = this.dirtyChunks();
    const max = Math.min(this.ctx.storeLimits.txnOps, Math.max(1, Math.floor(this.budget.available())));
    this.fill(batch, max, starts, progress);
    if (batch.writes.length > 0) return batch;
    if (nextDue < Infinity) this.later(Math.max(nextDue, 1) + 1);
    return null;
  }

  private fill(
    batch: Batch,
    max: number,
    starts: readonly ProgressChunk[],
    progress: readonly ProgressChunk[],
  ): void {
    const { jobsToClose } = this.ctx.jobs;
    const full = (): boolean => batch.writes.length >= max || batch.bytes > MAX_BYTES;
    // Users wait for `done`, and for a job to be called cancelled with one that it needs; few jobs end at a
    // time. Nobody waits for what is left of a cancelled job's records.
    for (const job of jobsToClose) if (!full() && tells(job)) this.addClosing(batch, job, max);
    for (const chunk of starts) if (!full()) this.addChunk(batch, chunk);
    for (const chunk of progress) if (!full()) this.addChunk(batch, chunk);
    for (const job of jobsToClose) if (!full() && !tells(job)) this.addClosing(batch, job, max);
    if (batch.writes.length === 0) this.addLeftOver(batch, max);
  }

  /** Chunks with starts, by rank; those with progress that has waited for long enough; and when the next one has. */
  private dirtyChunks(): { starts: ProgressChunk[]; progress: ProgressChunk[]; nextDue: number } {
    const now = this.ctx.clock.now();
    const due = this.underPressure() ? LAZIEST_MS : LAZY_MS;
    const starts: ProgressChunk[] = [];
    const progress: ProgressChunk[] = [];
    let nextDue = Infinity;
    for (const chunk of this.ctx.jobs.dirtyChunks) {
      const { job } = chunk;
      if (job.isOver) continue;
      if (!job.isCancelled && chunk.committing.size > 0) {
        starts.push(chunk);
        continue;
      }
      const age = since(now, chunk.dirtySince ?? now);
      if (age >= due) progress.push(chunk);
      else nextDue = Math.min(nextDue, due - age, LAZY_MS);
    }
    starts.sort((a, b) => b.job.effectiveSpec.priority - a.job.effectiveSpec.priority);
    return { starts, progress, nextDue };
  }

  /** Whether what is left of the budget is kept for starts. */
  private underPressure(): boolean {
    return Math.floor(this.budget.available()) <= this.budget.burst * KEPT_FOR_STARTS;
  }

  private addClosing(batch: Batch, job: ActiveJob, max: number): void {
    const { id } = job.spec;
    const before = batch.writes.length;
    const stored = [...job.chunks.values()].filter((c) => c.revision > 0).map((c) => c.key);
    const drops = [...stored, ...job.supersededKeys, ...overflowKeys(job.spec)];
    const postpones = this.mayPostpone();
    const need = 2 + (postpones ? 0 : drops.length);
    if (batch.writes.length > 0 && batch.writes.length + need > max) return;
    if (tells(job)) {
      batch.conditions.push({ key: keys.job(id), revision: job.revision });
      batch.writes.push({
        set: keys.job(id),
        value: encodeEndedJob(
          {
            spec: job.spec,
            state: job.isCancelledByDependency ? 'cancelled' : 'done',
            acceptedAt: job.acceptedAt,
          },
          this.ctx.storeLimits.valueBytes,
        ),
      });
      batch.bytes += 500;
    }
    batch.writes.push({ drop: keys.openHead(id) });
    // What does not fit stays behind without a head, which no takeover reads as a job, and goes later.
    const room = postpones ? 0 : this.ctx.storeLimits.txnOps - batch.writes.length;
    for (const key of drops.slice(0, room)) batch.writes.push({ drop: key });
    batch.closing.push({ job, leftOver: drops.slice(room) });
    this.counts.closings += batch.writes.length - before;
  }

  /** Whether records of jobs that are over had better go once less is to be written. */
  private mayPostpone(): boolean {
    return this.leftOver.length < MOST_LEFT_OVER && this.underPressure();
  }

  /** Records of jobs that are over, for whenever nothing else is to be written. */
  leave(records: readonly string[]): void {
    this.leftOver.push(...records);
    if (records.length > 0) this.later(LEFT_OVER_MS);
  }

  private addLeftOver(batch: Batch, max: number): void {
    for (const key of this.leftOver.splice(0, max)) batch.writes.push({ drop: key });
    this.counts.leftOvers += batch.writes.length;
  }

  private addChunk(batch: Batch, chunk: ProgressChunk): void {
    const decided = [...chunk.committing];
    const progress = chunk.progress();
    batch.conditions.push({ key: chunk.key, revision: chunk.revision });
    if (decided.length > 0) {
      batch.conditions.push({ key: keys.job(chunk.job.spec.id), revision: chunk.job.revision });
    }
    batch.writes.push({ set: chunk.key, value: encodeChunk(progress) });
    batch.chunks.push({ chunk, version: chunk.version, decided });
    if (decided.length > 0) this.counts.starts++;
    else this.counts.progress++;
    batch.bytes += WRITE_BYTES + progress.placed.size * PLACEMENT_BYTES + chunk.tasks.size * TASK_BYTES;
  }

  private async write(batch: Batch): Promise<void> {
    this.budget.forceTake(batch.writes.length);
    const tries = batch.chunks.map((c) => c.decided.map((t) => t.attemptNumber));
    let result: TxnResult;
    try {
      result = await this.ctx.store.txn(batch.conditions, batch.writes);
    } catch (error) {
      this.ctx.storeLimits.recordWriteFailure(error);
      const level = error instanceof StoreRequestTooLargeError ? 'error' : 'debug';
      this.ctx.log[level]({ error: errorMessage(error), writes: batch.writes.length }, 'commit not answered');
      // Nothing has left on the strength of this batch; it is tried again as things then stand.
      await sleep(this.ctx.clock, (error instanceof StoreRefusedError ? 100 : 30) + this.ctx.random() * 100);
      return;
    }
    if (this.ctx.isEnded()) return;
    if (!result.ok) {
      await this.resolve(result.failed, batch);
      return;
    }
    const placed: Task[] = [];
    batch.chunks.forEach(({ chunk, version, decided }, c) => {
      chunk.revision = result.revision;
      chunk.durableVersion = Math.max(chunk.durableVersion, version);
      chunk.dirtySince = chunk.isDirty ? this.ctx.clock.now() : null;
      if (!chunk.isDirty) this.ctx.jobs.dirtyChunks.delete(chunk);
      decided.forEach((task, t) => {
        if (task.phase !== 'committing' || task.attemptNumber !== tries[c]?.[t]) return;
        chunk.job.confirmPlacement(task);
        placed.push(task);
      });
    });
    for (const { job, leftOver } of batch.closing) {
      this.end(job);
      this.leave(leftOver);
    }
    if (placed.length > 0) this.onPlaced(placed);
  }

  private end(job: ActiveJob): void {
    for (const chunk of job.chunks.values()) chunk.durableVersion = chunk.version;
    this.ctx.jobs.close(job.spec.id);
    this.onEnded(job);
  }

  private async resolve(failed: readonly string[], batch: Batch): Promise<void> {
    if (failed.includes(keys.epoch)) {
      this.ctx.stepDown('a commit found a newer epoch');
      return;
    }
    for (const key of failed) {
      const chunk = batch.chunks.find((c) => c.chunk.key === key)?.chunk;
      try {
        // An earlier commit without an answer was carried out after all.
        if (chunk)
          chunk.revision = ((await this.ctx.store.get(key))?.revision ?? 0) as ProgressChunk['revision'];
        else await this.refresh(key.slice(keys.jobs.length) as JobId);
      } catch (error) {
        this.ctx.log.debug({ key, error: errorMessage(error) }, 'conflict not resolved yet');
        await sleep(this.ctx.clock, 100);
      }
    }
  }

  private async refresh(id: JobId): Promise<void> {
    const row = await this.ctx.store.get(keys.job(id));
    const job = this.ctx.jobs.get(id);
    if (!job || !row) return;
    const state = decodeJob(id, row.value).state;
    if (state === 'cancelled') {
      job.isCancelledByDependency = false;
      this.ctx.cancelJob(id);
    } else if (state === 'done') this.end(job);
  }
}

/** Whether closing it tells its state: it is done, or cancelled with a job that it needs. */
function tells(job: ActiveJob): boolean {
  return !job.isCancelled || job.isCancelledByDependency;
}
