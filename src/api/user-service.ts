/**
 * Answers users' submissions, questions and cancellations straight from the key-value store, so that no controller
 * ever gives an older answer than another one gave. Only final states are answered from memory: they do not change.
 */
import type { ControllerContext } from '../core/context.js';
import { isJobId, type JobId } from '../model/ids.js';
import { ms, since } from '../model/time.js';
import { encodeEndedJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { jobStatus, type Progress } from '../wire/users.js';
import { Dependencies } from './dependencies.js';
import { JobCache } from './job-cache.js';
import { JobReader, type ReadJob } from './job-reader.js';
import { RevisionConfirmations } from './revision-confirmations.js';
import { backOff, isRetryable, MAX_ATTEMPTS } from './store-retry.js';
import { Submissions } from './submissions.js';
import { NO_SUCH_JOB, stateAnswer, unavailable, type UserAnswer } from './user-answer.js';
import { UserBudgets } from './user-budgets.js';

/** Questions that come within this share one request. */
const BATCH_WINDOW_MS = 100;
/** Comparisons that a transaction may hold per write that it may hold (PROTOCOL). */
const COMPARES_PER_WRITE = 4;
const CANCEL_WRITES = 1;
const CANCEL_RETRY_MS = 60;
/** A cancellation reads the record again so much more often than a failed request is tried: it may lose races. */
const MAX_CANCEL_ATTEMPTS = MAX_ATTEMPTS + 2;
const BUSY_RETRY_S = 2;
/**
 * An answer that was read longer ago is not given: the process may have been paused since, and the user may have
 * heard something newer from another controller. A user waits 2 s for it anyway (PROTOCOL).
 */
const MAX_ANSWER_AGE_MS = 1500;

/** Handles the requests of users. */
export class UserService {
  private readonly cache = new JobCache();
  private readonly confirmations: RevisionConfirmations;
  private readonly reader: JobReader;
  private readonly budgets: UserBudgets;
  private readonly dependencies: Dependencies;
  private readonly submissions: Submissions;

  constructor(
    private readonly ctx: ControllerContext,
    progressOf: (id: JobId) => Progress | null,
    /** Controllers that draw on the store's limits, this one included. */
    controllerCount: () => number = () => 1,
  ) {
    const { clock, store, storeLimits } = ctx;
    const { cache } = this;
    const maxCompares = storeLimits.txnOps * COMPARES_PER_WRITE;
    this.confirmations = new RevisionConfirmations(clock, store, maxCompares, BATCH_WINDOW_MS);
    this.reader = new JobReader(ctx, cache, progressOf);
    this.budgets = new UserBudgets(ctx, controllerCount);
    this.dependencies = new Dependencies(ctx, cache, this.confirmations, this.reader);
    const { reader, dependencies, budgets } = this;
    this.submissions = new Submissions(ctx, { cache, reader, dependencies, budgets });
  }

  /** Drops what can be read again. */
  dropCaches(): void {
    this.cache.clear();
  }

  /** Follows the jobs' records as long as the process runs. */
  watch(): Promise<void> {
    return this.reader.watch();
  }

  /** May throw StoreRefusedError, StoreOutcomeUnknownError or BusyError: the caller asks another controller or answers 503. */
  submit(body: unknown): Promise<UserAnswer> {
    return this.submissions.submit(body);
  }

  /** Answers a question for a job's state. Throws as `submit` does. */
  async query(id: string): Promise<UserAnswer> {
    const requestedAt = this.ctx.clock.now();
    const answer = await this.lookUp(id);
    const isTooOld = since(this.ctx.clock.now(), requestedAt) > MAX_ANSWER_AGE_MS;
    return isTooOld && answer.status === 200 ? unavailable('answered too late') : answer;
  }

  private async lookUp(id: string): Promise<UserAnswer> {
    if (!isJobId(id)) return NO_SUCH_JOB;
    const finalBody = this.cache.finalBody(id);
    if (finalBody) return { status: 200, body: finalBody };
    let observed = this.cache.observed(id);
    if (!observed) {
      if (!this.budgets.firstReads.tryTake()) return unavailable('asked too often', BUSY_RETRY_S);
      const job = await this.reader.read(id);
      if (!job) return NO_SUCH_JOB;
      const answer = this.reader.remember(id, job);
      observed = this.cache.observed(id);
      if (!observed || (observed.dependencies.length === 0 && observed.dependencyRecordCount === 0))
        return answer;
    }
    if (await this.dependencies.isAnyCancelled(id)) return this.cancelWithDependency(id);
    // The job's own record last: while the others were checked, it may have been cancelled with one of them.
    if (await this.confirmations.hasRevision(keys.job(id), observed.revision)) {
      return { status: 200, body: jobStatus(id, 'accepted', observed.tasks, this.reader.progress(id)) };
    }
    const job = await this.reader.read(id);
    return job ? this.reader.remember(id, job) : NO_SUCH_JOB;
  }

  /**
   * A dependency was cancelled, and so is this job. Its own record says so before the user is told: mostly the leader
   * has written it, but a leader may be away for longer than a cancellation may take.
   */
  private async cancelWithDependency(id: JobId): Promise<UserAnswer> {
    const { status, body } = await this.cancel(id);
    if (status !== 200) return unavailable('being cancelled');
    const state = (body as { status: string }).status;
    return { status, body: { ref: id, status: state, done: 0, running: 0 } };
  }

  /**
   * Cancels a job. The cancellation is durable on the job's record before it is confirmed; the record's revision
   * decides against `done`. Throws as `submit` does.
   */
  async cancel(id: string): Promise<UserAnswer> {
    if (!isJobId(id)) return NO_SUCH_JOB;
    for (let attempts = 1; attempts <= MAX_CANCEL_ATTEMPTS; attempts++) {
      const job = await this.reader.read(id);
      if (!job) return NO_SUCH_JOB;
      const { state } = job.record;
      if (state === 'cancelled') return this.confirmCancelled(id);
      if (state !== 'accepted') return stateAnswer(id, state);
      // Cancellations go before submissions.
      this.budgets.forceTakeWrites(CANCEL_WRITES);
      try {
        if (await this.writeCancelled(id, job)) return this.confirmCancelled(id);
      } catch (error) {
        if (!isRetryable(error) || attempts > MAX_ATTEMPTS) throw error;
        await backOff(this.ctx, attempts, CANCEL_RETRY_MS);
      }
    }
    return unavailable('not decided');
  }

  /** False: the record has changed since it was read. */
  private async writeCancelled(id: JobId, { record, revision }: ReadJob): Promise<boolean> {
    const { store, storeLimits } = this.ctx;
    const key = keys.job(id);
    const value = encodeEndedJob({ ...record, state: 'cancelled' }, storeLimits.valueBytes);
    const result = await store.txn([{ key, revision }], [{ set: key, value }]);
    return result.ok;
  }

  /** Every other controller, the leader among them, is told before the user is. */
  private confirmCancelled(id: JobId): UserAnswer {
    this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    return stateAnswer(id, 'cancelled');
  }
}
