/** Reads job records for user requests, and watches the records for changes. */
import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import { ms, sleep } from '../model/time.js';
import { decodeJobChanges } from '../store/job-changes.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { WatchEvent } from '../wire/key-value-store.js';
import { jobStatus, type TaskCounts } from '../wire/users.js';
import type { JobCache } from './job-cache.js';
import { OpenJobPreloader } from './open-job-preloader.js';
import { backOff, isRetryable, MAX_ATTEMPT_COUNT } from './store-retry.js';
import type { UserAnswer } from './user-answer.js';
import type { UserBudgets } from './user-budgets.js';

const WATCH_TIMEOUT_MS = 20_000;
const WATCH_RETRY_DELAY_MS = 300;
const READ_RETRY_DELAY_MS = 40;

const NO_PROGRESS: TaskCounts = { done: 0, running: 0 };

/** A job record and the revision of its latest change. */
export interface ReadJob {
  readonly record: JobRecord;
  readonly revision: Revision;
}

/** Reads and watches job records in the store; all methods but `read` and `progress` add the records to the cache. */
export class JobReader {
  private readonly preloader: OpenJobPreloader;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly cache: JobCache,
    budgets: Pick<UserBudgets, 'acquireJobRead'>,
    private readonly progressOf: (id: JobId) => TaskCounts | null,
  ) {
    this.preloader = new OpenJobPreloader(ctx, budgets, (id, job) => this.cacheAndAnswer(id, job));
  }

  /**
   * Caches all open jobs and watches all job records for changes, so that most queries need only a confirmation of the
   * cached revision. Skips unreadable records. If the store has compacted the watched revision, the open jobs are
   * loaded again. Runs until the process exits.
   */
  async watch(): Promise<void> {
    let after: Revision | null = null;
    for (;;) {
      try {
        after ??= await this.preloader.load();
        const watched = await this.ctx.store.watch(keys.jobs, after, WATCH_TIMEOUT_MS);
        after = watched?.revision ?? null;
        if (watched) this.observe(watched.changes);
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'job cache watch interrupted');
        await sleep(this.ctx.clock, WATCH_RETRY_DELAY_MS + this.ctx.random() * WATCH_RETRY_DELAY_MS);
      }
    }
  }

  private observe(events: readonly WatchEvent[]): void {
    const cancelled: ConfirmedCancellation[] = [];
    // Debug level: the leader's watch logs the same unreadable record as an error.
    const onUnreadable = (key: string): void => this.ctx.log.debug({ key }, 'job record unreadable');
    for (const { id, record, revision } of decodeJobChanges(events, onUnreadable)) {
      if (record.state === 'cancelled') cancelled.push({ id, age: ms(0) });
      this.cache.update(id, record, revision, this.statusBody(id, record));
    }
    this.ctx.cancellations.learn(cancelled);
  }

  /** Reads a job's record from the store; null: the job was never accepted. */
  async read(id: JobId): Promise<ReadJob | null> {
    for (let attempts = 1; ; attempts++) {
      try {
        const row = await this.ctx.store.get(keys.job(id));
        return row ? { record: decodeJob(id, row.value), revision: row.revision } : null;
      } catch (error) {
        if (!isRetryable(error) || attempts >= MAX_ATTEMPT_COUNT) throw error;
        await backOff(this.ctx, attempts, READ_RETRY_DELAY_MS);
      }
    }
  }

  /** Reads a job's record from the store and caches the record; null: the job was never accepted. */
  async readAndCache(id: JobId): Promise<JobRecord | null> {
    const job = await this.read(id);
    if (job) this.cacheAndAnswer(id, job);
    return job?.record ?? null;
  }

  /** Caches a job record that was read from the store, and returns the answer with the job's state. */
  cacheAndAnswer(id: JobId, { record, revision }: ReadJob): UserAnswer {
    const body = this.statusBody(id, record);
    this.cache.update(id, record, revision, body);
    if (record.state === 'cancelled') this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    return { status: 200, body };
  }

  /** Returns the job's task counts as last published by the leader; zeros if no recent counts exist. */
  progress(id: JobId): TaskCounts {
    return this.progressOf(id) ?? NO_PROGRESS;
  }

  private statusBody(id: JobId, { state, spec }: JobRecord): object {
    return jobStatus(id, state, spec.taskCount, this.progress(id));
  }
}
