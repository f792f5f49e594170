/** Reads job records for user requests, and takes over the changes of records. */
import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import type { ControllerContext } from '../core/context.js';
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import { ms } from '../model/time.js';
import type { JobChange } from '../store/job-changes.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { jobStatus, type TaskCounts } from '../wire/users.js';
import type { DependencyIndex } from './dependency-index.js';
import type { JobCache } from './job-cache.js';
import type { JobChangeListener } from './job-watch.js';
import type { OpenJobListener } from './open-job-preloader.js';
import { backOff, isRetryable, MAX_ATTEMPT_COUNT } from './store-retry.js';
import type { UserAnswer } from './user-answer.js';

const READ_RETRY_DELAY_MS = 40;

const NO_PROGRESS: TaskCounts = { done: 0, running: 0 };

/** A job record and the revision of its latest change. */
export interface ReadJob {
  readonly record: JobRecord;
  readonly revision: Revision;
}

/** Reads job records in the store; all methods but `read` and `progress` add the records to the cache. */
export class JobReader implements JobChangeListener, OpenJobListener {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'cancellations' | 'clock' | 'random' | 'steps' | 'store'>,
    private readonly cache: JobCache,
    private readonly index: DependencyIndex,
    private readonly progressOf: (id: JobId) => TaskCounts | null,
  ) {}

  /** Updates the cache and the dependency index with changes of job records. */
  onJobChanges(changes: readonly JobChange[]): void {
    this.ctx.steps.run('job changes applied to cache', changes[0]?.id, () => this.applyChanges(changes));
  }

  private applyChanges(changes: readonly JobChange[]): void {
    const cancelled: ConfirmedCancellation[] = [];
    for (const { id, record, revision } of changes) {
      if (record.state === 'cancelled') cancelled.push({ id, age: ms(0) });
      this.cache.update(id, record, revision, this.statusBody(id, record));
      if (record.state === 'accepted') this.index.addAccepted(record, revision, true);
      else this.index.applyEnded(id, record.state);
    }
    this.ctx.cancellations.learn(cancelled);
  }

  /** Clears the dependency index; the cached revisions are compared with the store's before each answer anyway. */
  onChangesMissed(): void {
    this.index.clear();
  }

  /** Caches a job whose head record was read; the job may have ended since the record was written. */
  onHeadLoaded(id: JobId, job: ReadJob): void {
    this.cacheAndAnswer(id, job);
    this.index.addAccepted(job.record, job.revision, false);
  }

  /** Records that a job has progress, so that its dependencies are done. */
  onProgressFound(id: JobId): void {
    this.index.recordStarted(id);
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
    // A final state that was read is as valid as one that was watched; an accepted state may be outdated.
    if (record.state !== 'accepted') this.index.applyEnded(id, record.state);
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
