/** Reads jobs that are not cached from the store, in the order in which users first asked for them. */
import type { ControllerContext } from '../core/context.js';
import { type JobId, NO_REVISION } from '../model/ids.js';
import type { Cancel } from '../model/time.js';
import { keys } from '../store/keys.js';
import type { JobCache } from './job-cache.js';
import type { JobReader, ReadJob } from './job-reader.js';
import type { UserBudgets } from './user-budgets.js';

/** The time for which a request waits for its job to be read; a user waits 2 s for an answer (PROTOCOL). */
const MAX_WAIT_MS = 1000;
/** The number of jobs that may wait to be read; as many as the cache holds. */
const MAX_QUEUED_COUNT = 20_000;
const MIN_RETRY_S = 1;
const MAX_RETRY_S = 10;

/** The result of a lookup. */
export type FoundJob =
  /** No job with this id has been accepted. */
  | { readonly kind: 'absent' }
  /** The job's record, read after the lookup was requested. */
  | { readonly kind: 'read'; readonly job: ReadJob }
  /** The job has been cached meanwhile; its revision still has to be confirmed. */
  | { readonly kind: 'cached' };

/** Thrown when a job will not be read soon. The job stays queued and is cached when its turn comes. */
export class LookupDelayedError extends Error {
  override readonly name = 'LookupDelayedError';
  readonly code = 'LOOKUP_DELAYED';

  constructor(readonly retryAfterS: number) {
    super('too many requests; retry later');
  }
}

interface Waiter {
  readonly resolve: (found: FoundJob) => void;
  readonly reject: (error: unknown) => void;
  readonly cancelTimeout: Cancel;
}

/** A queued job, and the requests that wait for it. */
interface Lookup {
  readonly id: JobId;
  readonly waiters: Set<Waiter>;
}

/**
 * Looks up uncached jobs. Requests for the same job share one read, unless it has been sent before the request arrived.
 * A job that is not read in time stays queued without its request, so that a later query finds it cached: no job is
 * passed over for jobs that were asked for later.
 *
 * One transaction first checks many ids for existence, so that queries for unknown ids cost the known jobs little.
 */
export class JobLookups {
  /** Jobs of which it is not known whether they exist; like `existing`, in the order of the first request. */
  private readonly unchecked = new Map<JobId, Lookup>();
  private readonly existing = new Map<JobId, Lookup>();
  private isRunning = false;
  private wasLastRequestCheck = false;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'random' | 'store' | 'storeLimits'>,
    private readonly cache: JobCache,
    private readonly reader: Pick<JobReader, 'read' | 'cacheAndAnswer'>,
    private readonly budgets: Pick<UserBudgets, 'acquireJobRead' | 'jobReadsPerS'>,
  ) {}

  /** The number of jobs that wait to be read. */
  get queuedCount(): number {
    return this.unchecked.size + this.existing.size;
  }

  /** Finds an uncached job. Rejects with `LookupDelayedError` or the errors of the store client. */
  find(id: JobId): Promise<FoundJob> {
    return new Promise((resolve, reject) => {
      const lookup = this.existing.get(id) ?? this.unchecked.get(id) ?? this.enqueue(id);
      if (!lookup || this.expectedWaitMs > MAX_WAIT_MS) {
        reject(this.delayedError());
        return;
      }
      const cancelTimeout = this.ctx.clock.after(MAX_WAIT_MS, () => {
        lookup.waiters.delete(waiter);
        reject(this.delayedError());
      });
      const waiter: Waiter = { resolve, reject, cancelTimeout };
      lookup.waiters.add(waiter);
    });
  }

  /** Returns null if the queue is full. */
  private enqueue(id: JobId): Lookup | null {
    if (this.queuedCount >= MAX_QUEUED_COUNT) return null;
    const lookup: Lookup = { id, waiters: new Set() };
    this.unchecked.set(id, lookup);
    if (!this.isRunning) void this.run();
    return lookup;
  }

  /** The time after which a job that is queued now is read. */
  private get expectedWaitMs(): number {
    const requestCount = this.existing.size + this.unchecked.size / this.ctx.storeLimits.maxCompares;
    return (requestCount / this.budgets.jobReadsPerS) * 1000;
  }

  private delayedError(): LookupDelayedError {
    const waitS = this.expectedWaitMs / 1000 + this.ctx.random();
    return new LookupDelayedError(Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, Math.ceil(waitS))));
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.queuedCount > 0) {
      await this.budgets.acquireJobRead();
      this.sendNextRequest();
    }
    this.isRunning = false;
  }

  /** Alternates between the queues. Requests are not awaited: a slow answer must not delay the jobs that follow. */
  private sendNextRequest(): void {
    const isCheckDue = this.existing.size === 0 || !this.wasLastRequestCheck;
    const unchecked = isCheckDue ? this.takeUncached(this.unchecked, this.ctx.storeLimits.maxCompares) : [];
    this.wasLastRequestCheck = unchecked.length > 1;
    if (this.wasLastRequestCheck) {
      void this.checkExistence(unchecked);
      return;
    }
    // A read also tells whether the job exists, so a single job needs no check before.
    const [next] = unchecked.length > 0 ? unchecked : this.takeUncached(this.existing, 1);
    if (next) void this.read(next);
  }

  /** Removes and returns up to `count` jobs from the front of a queue; jobs that are cached by now need no read. */
  private takeUncached(queue: Map<JobId, Lookup>, count: number): Lookup[] {
    const taken: Lookup[] = [];
    for (const lookup of queue.values()) {
      if (taken.length >= count) break;
      queue.delete(lookup.id);
      if (this.cache.has(lookup.id)) this.settle(lookup, { kind: 'cached' });
      else taken.push(lookup);
    }
    return taken;
  }

  private async checkExistence(lookups: readonly Lookup[]): Promise<void> {
    const compares = lookups.map(({ id }) => ({ key: keys.job(id), revision: NO_REVISION }));
    try {
      const result = await this.ctx.store.txn(compares, []);
      const existingKeys = new Set(result.ok ? [] : result.failed);
      for (const lookup of lookups) {
        if (existingKeys.has(keys.job(lookup.id))) this.enqueueExisting(lookup);
        else this.settle(lookup, { kind: 'absent' });
      }
    } catch (error) {
      this.ctx.storeLimits.recordFailure(error);
      for (const lookup of lookups) this.fail(lookup, error);
    }
  }

  private enqueueExisting(lookup: Lookup): void {
    // A request that arrived while the check was under way has queued the job again.
    const other = this.unchecked.get(lookup.id) ?? this.existing.get(lookup.id);
    if (other) for (const waiter of other.waiters) lookup.waiters.add(waiter);
    this.unchecked.delete(lookup.id);
    this.existing.set(lookup.id, lookup);
    if (!this.isRunning) void this.run();
  }

  private async read(lookup: Lookup): Promise<void> {
    try {
      const job = await this.reader.read(lookup.id);
      if (job) this.reader.cacheAndAnswer(lookup.id, job);
      this.settle(lookup, job ? { kind: 'read', job } : { kind: 'absent' });
    } catch (error) {
      this.fail(lookup, error);
    }
  }

  private settle({ waiters }: Lookup, found: FoundJob): void {
    for (const { cancelTimeout, resolve } of waiters) {
      cancelTimeout();
      resolve(found);
    }
  }

  private fail({ waiters }: Lookup, error: unknown): void {
    for (const { cancelTimeout, reject } of waiters) {
      cancelTimeout();
      reject(error);
    }
  }
}
