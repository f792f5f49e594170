/** Reads jobs' records for users, and follows their changes. */
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
import { jobStatus, type Progress } from '../wire/users.js';
import type { JobCache } from './job-cache.js';
import { backOff, isRetryable, MAX_ATTEMPTS } from './store-retry.js';
import type { UserAnswer } from './user-answer.js';

const WATCH_TIMEOUT_MS = 20_000;
const WATCH_RETRY_MS = 300;
const READ_RETRY_MS = 40;

const NO_PROGRESS: Progress = { done: 0, running: 0 };

/** A job's record, and the revision at which it was read. */
export interface ReadJob {
  readonly record: JobRecord;
  readonly revision: Revision;
}

/** Reads records straight from the store; what it has seen goes into the cache. */
export class JobReader {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cache: JobCache,
    private readonly progressOf: (id: JobId) => Progress | null,
  ) {}

  /** Follows every change of a job's record, so that most questions need only a confirmation. Runs as long as the process. */
  async watch(): Promise<void> {
    let after: Revision | null = null;
    for (;;) {
      try {
        after ??= (await this.ctx.store.range(keys.epoch)).revision;
        const read = await this.ctx.store.watch(keys.jobs, after, WATCH_TIMEOUT_MS);
        after = read?.revision ?? null;
        if (read) this.observe(read.changes);
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'job cache watch interrupted');
        await sleep(this.ctx.clock, WATCH_RETRY_MS + this.ctx.random() * WATCH_RETRY_MS);
      }
    }
  }

  private observe(events: readonly WatchEvent[]): void {
    const cancelled: ConfirmedCancellation[] = [];
    // The leader's watch logs the same record as an error.
    const onUnreadable = (key: string): void => this.ctx.log.debug({ key }, 'job record unreadable');
    for (const { id, record, revision } of decodeJobChanges(events, onUnreadable)) {
      if (record.state === 'cancelled') cancelled.push({ id, age: ms(0) });
      this.cache.learn(id, record, revision, this.statusBody(id, record));
    }
    this.ctx.cancellations.learn(cancelled);
  }

  /** Reads a job's record; null: it was never accepted. */
  async read(id: JobId): Promise<ReadJob | null> {
    for (let attempts = 1; ; attempts++) {
      try {
        const row = await this.ctx.store.get(keys.job(id));
        return row ? { record: decodeJob(id, row.value), revision: row.revision } : null;
      } catch (error) {
        if (!isRetryable(error) || attempts >= MAX_ATTEMPTS) throw error;
        await backOff(this.ctx, attempts, READ_RETRY_MS);
      }
    }
  }

  /** Reads a job's record and remembers it; null: it was never accepted. */
  async readAndRemember(id: JobId): Promise<JobRecord | null> {
    const job = await this.read(id);
    if (job) this.remember(id, job);
    return job?.record ?? null;
  }

  /** Remembers what was read of a job, and answers with it. */
  remember(id: JobId, { record, revision }: ReadJob): UserAnswer {
    const body = this.statusBody(id, record);
    this.cache.learn(id, record, revision, body);
    if (record.state === 'cancelled') this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    return { status: 200, body };
  }

  /** The task counts that the leader last published; zero where none are new enough. */
  progress(id: JobId): Progress {
    return this.progressOf(id) ?? NO_PROGRESS;
  }

  private statusBody(id: JobId, { state, spec }: JobRecord): object {
    return jobStatus(id, state, spec.taskCount, this.progress(id));
  }
}
