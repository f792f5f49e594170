/**
 * Answers users' submissions, queries and cancellations directly from the key-value store, so that no controller ever
 * returns an older state than another controller has returned. Only final states are answered from memory, since final
 * states do not change.
 */
import type { ControllerContext } from '../core/context.js';
import { isJobId, type JobId } from '../model/ids.js';
import { ms, since } from '../model/time.js';
import { encodeEndedJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { UserVerb } from '../peer/user-request.js';
import { jobStatus, type TaskCounts } from '../wire/users.js';
import { DependenciesUnresolvedError, DependencyChecker } from './dependency-checker.js';
import { DependencyIndex } from './dependency-index.js';
import { DependencyLimitError, maxDependencyCount } from './dependency-limit.js';
import { DependencyResolver } from './dependency-resolver.js';
import { JobBatchReader } from './job-batch-reader.js';
import { JobCache, type ObservedJob } from './job-cache.js';
import { JobLookups, LookupDelayedError } from './job-lookups.js';
import { JobReader, type ReadJob } from './job-reader.js';
import { JobWatch } from './job-watch.js';
import { OpenJobPreloader } from './open-job-preloader.js';
import { RevisionConfirmations } from './revision-confirmations.js';
import { Refusals } from './refusals.js';
import { backOff, isRetryable, MAX_ATTEMPT_COUNT } from './store-retry.js';
import { Submissions } from './submissions.js';
import { NO_SUCH_JOB, stateAnswer, unavailable, type UserAnswer } from './user-answer.js';
import { UserBudgets } from './user-budgets.js';

/** The period over which queries are collected into one request to the store. */
const BATCH_WINDOW_MS = 100;
const CANCEL_WRITES = 1;
const CANCEL_RETRY_DELAY_MS = 60;
/**
 * The attempts of a cancellation: two more than for a store request, since concurrent writes may invalidate the read.
 */
const MAX_CANCEL_ATTEMPT_COUNT = MAX_ATTEMPT_COUNT + 2;
/**
 * The maximum time from the arrival of a query to its answer. A later answer of status 200 is replaced by a 503: the
 * process may have been paused meanwhile, and the user may have received a newer state from another controller. A user
 * waits no longer than 2 s for an answer (PROTOCOL).
 */
const MAX_ANSWER_AGE_MS = 1500;

/** Handles user requests: submissions, queries and cancellations. */
export class UserService {
  /** The refused requests, including those that `UserRouter` refuses. */
  readonly refusals: Refusals;
  private readonly cache: JobCache;
  private readonly confirmations: RevisionConfirmations;
  private readonly reader: JobReader;
  private readonly lookups: JobLookups;
  private readonly budgets: UserBudgets;
  private readonly jobWatch: JobWatch;
  private readonly index: DependencyIndex;
  private readonly dependencies: DependencyChecker;
  private readonly submissions: Submissions;

  constructor(
    private readonly ctx: ControllerContext,
    progressOf: (id: JobId) => TaskCounts | null,
    /** Returns the number of controllers that share the store's limits, this controller included. */
    controllerCount: () => number = () => 1,
    /** How many dependencies all open jobs together may have. */
    maxDependencies: number = maxDependencyCount(ctx.settings.memoryMb),
  ) {
    const { clock, store, storeLimits } = ctx;
    const cache = new JobCache(clock, ctx.settings.peers.length + 1);
    this.cache = cache;
    this.refusals = new Refusals(ctx.log);
    this.confirmations = new RevisionConfirmations(clock, store, storeLimits.maxCompares, BATCH_WINDOW_MS);
    this.budgets = new UserBudgets(ctx, controllerCount);
    const { budgets } = this;
    const index = new DependencyIndex((id) => cache.finalState(id));
    this.index = index;
    const reader = new JobReader(ctx, cache, index, progressOf);
    this.reader = reader;
    this.lookups = new JobLookups(ctx, cache, reader, budgets);
    const jobWatch = new JobWatch(ctx, new OpenJobPreloader(ctx, budgets, reader), reader);
    this.jobWatch = jobWatch;
    const batchReader = new JobBatchReader(ctx, reader);
    const resolver = new DependencyResolver(ctx, { index, batchReader, budgets });
    const dependencies = new DependencyChecker(ctx, {
      maxDependencyCount: maxDependencies,
      cache,
      index,
      jobWatch,
      resolver,
      batchReader,
      budgets,
    });
    this.dependencies = dependencies;
    this.submissions = new Submissions(ctx, { cache, reader, dependencies, budgets });
  }

  /** The number of jobs of which a state is cached. */
  get cachedJobCount(): number {
    return this.cache.size;
  }

  /** The number of uncached jobs that wait to be read from the store. */
  get queuedLookupCount(): number {
    return this.lookups.queuedCount;
  }

  /** The number of jobs whose records are needed to answer for their dependents and have not been read. */
  get unresolvedDependencyCount(): number {
    return this.index.unresolvedCount;
  }

  /** Frees memory: evicts the cached jobs that nobody asks about; later requests read their records again. */
  evictIdleJobs(): void {
    const evicted = this.cache.evictIdle();
    if (evicted > 0)
      this.ctx.log.info({ evicted, kept: this.cache.size }, 'memory scarce, idle jobs evicted');
  }

  /** Watches the job records and updates the cache, until the process exits. */
  watch(): Promise<void> {
    return this.jobWatch.run();
  }

  /**
   * Handles a submission. Throws StoreRefusedError, StoreOutcomeUnknownError or BusyError; the caller then forwards the
   * request to another controller or answers 503.
   */
  async submit(body: unknown): Promise<UserAnswer> {
    try {
      return await this.submissions.submit(body);
    } catch (error) {
      return this.refuseDelayed(error, 'submit', null);
    }
  }

  /** Answers a query for a job's state. Throws StoreRefusedError or StoreOutcomeUnknownError, as `submit` does. */
  async query(id: string): Promise<UserAnswer> {
    const requestedAt = this.ctx.clock.now();
    const answer = await this.lookUpOrRefuse(id);
    const isTooOld = since(this.ctx.clock.now(), requestedAt) > MAX_ANSWER_AGE_MS;
    if (!isTooOld || answer.status !== 200) return answer;
    this.refusals.record('answer-too-old', 'query', id);
    return unavailable('the answer took too long and may be outdated; retry later');
  }

  private async lookUpOrRefuse(id: string): Promise<UserAnswer> {
    try {
      return await this.lookUp(id);
    } catch (error) {
      return this.refuseDelayed(error, 'query', id);
    }
  }

  /** Returns the refusal of a request that exceeds a limit or misses records; rethrows any other error. */
  private refuseDelayed(error: unknown, verb: UserVerb, id: string | null): UserAnswer {
    if (error instanceof DependenciesUnresolvedError)
      this.refusals.record('dependencies-unresolved', verb, id);
    else if (error instanceof DependencyLimitError) this.refusals.record('dependency-limit', verb, id);
    else if (error instanceof LookupDelayedError) this.refusals.record('read-budget', verb, id);
    else throw error;
    return unavailable(error.message, error.retryAfterS);
  }

  private async lookUp(id: string): Promise<UserAnswer> {
    if (!isJobId(id)) return NO_SUCH_JOB;
    const finalBody = this.cache.finalBody(id);
    if (finalBody) return { status: 200, body: finalBody };
    const observed = this.cache.observed(id);
    return observed ? this.confirmOpen(id, observed) : this.answerUncached(id);
  }

  private async answerUncached(id: JobId): Promise<UserAnswer> {
    const found = await this.lookups.find(id);
    if (found.kind === 'absent') return NO_SUCH_JOB;
    const observed = this.cache.observed(id);
    if (found.kind === 'read' && observed?.hasDependencies !== true)
      return this.reader.cacheAndAnswer(id, found.job);
    if (observed) return this.confirmOpen(id, observed);
    const finalBody = this.cache.finalBody(id);
    return finalBody ? { status: 200, body: finalBody } : unavailable('the job was evicted; retry later');
  }

  /** Answers for a cached job that had not ended, after the store has confirmed its revision. */
  private async confirmOpen(id: JobId, observed: ObservedJob): Promise<UserAnswer> {
    if (observed.hasDependencies && (await this.dependencies.hasCancelledDependency(id)))
      return this.cancelWithDependency(id);
    // The job's own record is checked last: the job may have been cancelled while its dependencies were checked.
    if (await this.confirmations.hasRevision(keys.job(id), observed.revision)) {
      return { status: 200, body: jobStatus(id, 'accepted', observed.tasks, this.reader.progress(id)) };
    }
    const job = await this.reader.read(id);
    return job ? this.reader.cacheAndAnswer(id, job) : NO_SUCH_JOB;
  }

  /**
   * Cancels a job of which a dependency is cancelled. The cancellation is written to the job's own record before the
   * user is answered. Usually the leader has already written it, but there may be no leader for longer than a
   * cancellation may take.
   */
  private async cancelWithDependency(id: JobId): Promise<UserAnswer> {
    const { status, body } = await this.cancel(id);
    if (status !== 200) {
      this.refusals.record('cancellation-pending', 'query', id);
      return unavailable('the job is being cancelled; retry later');
    }
    const state = (body as { status: string }).status;
    return { status, body: { ref: id, status: state, done: 0, running: 0 } };
  }

  /**
   * Cancels a job. The cancellation is durable in the job's record before it is confirmed to the user; the comparison
   * of the record's revision decides the race against a concurrent `done`. Throws the same errors as `query`.
   */
  async cancel(id: string): Promise<UserAnswer> {
    if (!isJobId(id)) return NO_SUCH_JOB;
    for (let attempts = 1; attempts <= MAX_CANCEL_ATTEMPT_COUNT; attempts++) {
      const job = await this.reader.read(id);
      if (!job) return NO_SUCH_JOB;
      const { state } = job.record;
      if (state === 'cancelled') return this.confirmCancelled(id);
      if (state !== 'accepted') return stateAnswer(id, state);
      // Cancellations have priority over submissions, so they may exceed the write budget.
      this.budgets.forceTakeWrites(CANCEL_WRITES);
      try {
        if (await this.writeCancelled(id, job)) return this.confirmCancelled(id);
      } catch (error) {
        if (!isRetryable(error) || attempts > MAX_ATTEMPT_COUNT) throw error;
        await backOff(this.ctx, attempts, CANCEL_RETRY_DELAY_MS);
      }
    }
    return unavailable('cancellation not confirmed by the key-value store; retry later');
  }

  /** Writes the cancelled state to the job's record; false: the record has changed since the read. */
  private async writeCancelled(id: JobId, { record, revision }: ReadJob): Promise<boolean> {
    const { store, storeLimits } = this.ctx;
    const key = keys.job(id);
    const value = encodeEndedJob({ ...record, state: 'cancelled' }, storeLimits.valueBytes);
    const result = await store.txn([{ key, revision }], [{ set: key, value }]);
    return result.ok;
  }

  /**
   * Announces a cancellation that is new to this controller to all connected controllers that support such messages,
   * the leader included, before the user gets the answer.
   */
  private confirmCancelled(id: JobId): UserAnswer {
    this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    return stateAnswer(id, 'cancelled');
  }
}
