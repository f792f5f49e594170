/**
 * Watches the job records and applies every acceptance and cancellation of a job to the leader's state, except changes
 * with an unreadable record, which are logged.
 */
import type { Mutex } from 'async-mutex';
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import { sleep } from '../model/time.js';
import { decodeJobChanges, type JobChange } from '../store/job-changes.js';
import { keys } from '../store/keys.js';
import type { JobIntake } from './job-intake.js';
import { loadOpenJobs } from './open-job-loader.js';
import { createActiveJob, readDescription } from './record-loader.js';
import { retryUntilTermEnds } from './retry.js';
import { watchedUpTo, type WorkerLeasePolicy } from './worker-lease-policy.js';

/**
 * Time that the store waits for job events before it answers a watch request. Each answer proves that no event was
 * missed up to a known time (see `WorkerLeasePolicy`).
 */
const WATCH_TIMEOUT_MS = 5000;
const WATCH_RETRY_DELAY_MS = 100;
const WATCH_RETRY_JITTER_MS = 150;
const DESCRIPTION_RETRY_DELAY_MS = 300;

/** The leader components that `JobWatcher` uses. */
interface JobWatcherParts {
  readonly intake: JobIntake;
  readonly workerLeasePolicy: WorkerLeasePolicy;
  readonly lock: Mutex;
}

/** Watches the job records in the store. */
export class JobWatcher {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: JobWatcherParts,
  ) {}

  /** Starts a watch loop that applies every change after the given revision until the term ends. */
  start(after: Revision): void {
    // The watch loop handles its own errors.
    void this.watchUntilTermEnds(after);
  }

  private async watchUntilTermEnds(startRevision: Revision): Promise<void> {
    let after = startRevision;
    while (!this.ctx.isEnded()) {
      try {
        after = await this.watchOnce(after);
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'job watch interrupted');
        await sleep(this.ctx.clock, WATCH_RETRY_DELAY_MS + this.ctx.random() * WATCH_RETRY_JITTER_MS);
      }
    }
  }

  /**
   * Waits for the next changes, applies them (or reloads all unfinished jobs if changes were missed), and returns the
   * revision up to which changes have been applied.
   */
  private async watchOnce(after: Revision): Promise<Revision> {
    const { clock, store } = this.ctx;
    const { lock, workerLeasePolicy } = this.parts;
    const sentAt = clock.now();
    const result = await store.watch(keys.jobs, after, WATCH_TIMEOUT_MS);
    if (this.ctx.isEnded()) return after;
    if (result === null) return this.resync();
    const { changes, revision } = result;
    const hasEvents = changes.length > 0;
    const jobChanges = decodeJobChanges(changes, (key, error) => this.logUnreadable(key, error));
    await lock.runExclusive(() => jobChanges.forEach((change) => this.apply(change)));
    workerLeasePolicy.recordCancellationsObservedUpTo(
      watchedUpTo({ sentAt, waitMs: WATCH_TIMEOUT_MS, hasEvents, answeredAt: clock.now() }),
    );
    return revision;
  }

  /** Reloads all unfinished jobs after the watch has missed changes, and returns the loaded revision. */
  private async resync(): Promise<Revision> {
    const { intake, workerLeasePolicy } = this.parts;
    const startedAt = this.ctx.clock.now();
    const loaded = await loadOpenJobs(this.ctx);
    intake.addOpenJobs(loaded.jobs);
    intake.processFinishedJobs(loaded);
    workerLeasePolicy.recordCancellationsObservedUpTo(startedAt);
    this.ctx.requestDecision();
    return loaded.revision;
  }

  private logUnreadable(key: string, error: Error): void {
    this.ctx.log.error({ key, error: errorMessage(error) }, 'job record unreadable; change ignored');
  }

  private apply({ id, record, revision }: JobChange): void {
    if (record.state === 'cancelled') this.parts.intake.cancel([id]);
    else if (record.state === 'accepted') this.addAccepted(record, revision);
  }

  private addAccepted(record: JobRecord, revision: Revision): void {
    if (record.spec.descriptionRecordCount > 0) void this.readDescriptionAndAdd(record, revision);
    else this.add(record, revision);
  }

  private async readDescriptionAndAdd(record: JobRecord, revision: Revision): Promise<void> {
    const onFailure = (error: unknown): void =>
      this.ctx.log.debug({ job: record.spec.id, error: errorMessage(error) }, 'job description read failed');
    await retryUntilTermEnds(this.ctx, { retryDelayMs: DESCRIPTION_RETRY_DELAY_MS, onFailure }, async () => {
      const complete = await readDescription(this.ctx, record);
      await this.parts.lock.runExclusive(() => this.add(complete, revision));
    });
  }

  private add(record: JobRecord, revision: Revision): void {
    this.parts.intake.addOpenJobs([createActiveJob(this.ctx, record, revision)]);
    this.ctx.requestDecision();
  }
}
