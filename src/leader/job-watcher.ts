/** Brings a leader every job that is accepted or cancelled while it leads. */
import type { Mutex } from 'async-mutex';
import { errorMessage } from '../log/logger.js';
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import { sleep } from '../model/time.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { WatchEvent } from '../wire/key-value-store.js';
import { type WorkerLeasePolicy, watchedUpTo } from '../leader/worker-lease-policy.js';
import type { LeaderContext } from '../core/context.js';
import { type LoadedJobs, loadOpenJobs, openJob, readDescription } from './record-loader.js';
import type { ActiveJob } from '../scheduler/active-job.js';

/** Each answer of the watch tells that nothing is missed up to then: see `Answering`. */
const WATCH_MS = 5000;
const WATCH_AGAIN_MS = 100;
const WATCH_AGAIN_JITTER_MS = 150;
/** A description that could not be read is asked for again after this. */
const READ_AGAIN_MS = 300;

/** What is done with the jobs that the records tell of. */
export interface JobIntake {
  /** A job that is not over, known already or not. */
  open(job: ActiveJob): void;
  /** A job whose cancellation is confirmed, known or not. */
  cancel(id: JobId): void;
  /** What the records still hold of jobs that are over, and jobs that were cancelled since they were accepted. */
  dropOver(loaded: LoadedJobs): void;
}

/** Watches the jobs' records. */
export class JobWatcher {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly intake: JobIntake,
    private readonly workerLeasePolicy: WorkerLeasePolicy,
    private readonly lock: Mutex,
  ) {}

  /** Follows every change after this revision until the leadership ends. */
  async run(from: Revision): Promise<void> {
    let after = from;
    while (!this.ctx.isEnded()) {
      try {
        after = await this.next(after);
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'watch interrupted');
        await sleep(this.ctx.clock, WATCH_AGAIN_MS + this.ctx.random() * WATCH_AGAIN_JITTER_MS);
      }
    }
  }

  private async next(after: Revision): Promise<Revision> {
    const { clock, store } = this.ctx;
    const sentAt = clock.now();
    const read = await store.watch(keys.jobs, after, WATCH_MS);
    if (this.ctx.isEnded()) return after;
    if (read === null) return this.resync();
    await this.lock.runExclusive(() => read.changes.forEach((change) => this.take(change)));
    this.workerLeasePolicy.observedCancellationsUpTo(
      watchedUpTo(sentAt, WATCH_MS, read.changes.length > 0, clock.now()),
    );
    return read.revision;
  }

  /** The watch has missed changes: everything is read again. */
  private async resync(): Promise<Revision> {
    const began = this.ctx.clock.now();
    const loaded = await loadOpenJobs(this.ctx);
    for (const job of loaded.jobs) this.intake.open(job);
    this.intake.dropOver(loaded);
    this.workerLeasePolicy.observedCancellationsUpTo(began);
    this.ctx.requestDecision();
    return loaded.revision;
  }

  private take({ key, value, revision }: WatchEvent): void {
    if (value === undefined) return;
    const id = key.slice(keys.jobs.length) as JobId;
    const record = decodeJob(id, value);
    if (record.state === 'cancelled') this.intake.cancel(id);
    else if (record.state === 'accepted') this.accepted(record, revision);
  }

  private accepted(record: JobRecord, revision: Revision): void {
    if (record.spec.descriptionRecordCount > 0) void this.readAndOpen(record, revision);
    else this.open(record, revision);
  }

  private async readAndOpen(record: JobRecord, revision: Revision): Promise<void> {
    while (!this.ctx.isEnded()) {
      try {
        const whole = await readDescription(this.ctx, record);
        await this.lock.runExclusive(() => this.open(whole, revision));
        return;
      } catch (error) {
        this.ctx.log.debug({ job: record.spec.id, error: errorMessage(error) }, 'description not read yet');
        await sleep(this.ctx.clock, READ_AGAIN_MS);
      }
    }
  }

  private open(record: JobRecord, revision: Revision): void {
    this.intake.open(openJob(this.ctx, record, revision));
    this.ctx.requestDecision();
  }
}
