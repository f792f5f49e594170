/** Detects jobs about which this controller has answered no query for too long although it reaches the store. */
import type { Logger } from '../log/logger.js';
import { type Clock, type MonotonicTime, since } from '../model/time.js';

/** A job is forgotten if no query for it is answered for this time (the users' bound). */
const MAX_UNANSWERED_MS = 75_000;
/** A job of which the last refused query is older than this is no longer polled here. */
const MAX_POLL_GAP_MS = 30_000;
/** The number of jobs that are tracked at the same time; more would cost memory when it is scarce. */
const MAX_TRACKED_COUNT = 5000;
/** The minimum time between two log lines. */
const MIN_LOG_INTERVAL_MS = 60_000;

/** Message logged when the invariant is broken that no job stays unanswered while the store is reachable. */
export const UNANSWERED_MESSAGE = 'queries for a job unanswered for too long while the store is reachable';

interface RefusedPeriod {
  readonly since: MonotonicTime;
  readonly lastAt: MonotonicTime;
}

/** Tracks the jobs whose latest queries this controller refused; an answered query costs one look-up in a map. */
export class UnansweredQueries {
  private readonly refused = new Map<string, RefusedPeriod>();
  private lastLoggedAt: MonotonicTime | null = null;
  private overdue = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Records that a query was answered with the job's state or with 404. */
  recordAnswer(id: string): void {
    if (this.refused.size > 0) this.refused.delete(id);
  }

  /** Records a refused query. Times at which the store is not reachable do not count. */
  recordRefusal(id: string, isStoreReachable: boolean): void {
    if (!isStoreReachable) {
      this.refused.clear();
      return;
    }
    const now = this.clock.now();
    const period = this.refused.get(id);
    const startsNow = !period || since(now, period.lastAt) > MAX_POLL_GAP_MS;
    if (!period && this.refused.size >= MAX_TRACKED_COUNT) this.evictOldest();
    this.refused.delete(id);
    this.refused.set(id, { since: startsNow ? now : period.since, lastAt: now });
    if (!startsNow && since(now, period.since) > MAX_UNANSWERED_MS) this.report(id, since(now, period.since));
  }

  /** Returns the number of refusals since the last call that broke the bound, and resets it. */
  takeOverdueCount(): number {
    const count = this.overdue;
    this.overdue = 0;
    return count;
  }

  private evictOldest(): void {
    for (const id of this.refused.keys()) {
      this.refused.delete(id);
      return;
    }
  }

  private report(id: string, unansweredMs: number): void {
    this.overdue++;
    const now = this.clock.now();
    if (this.lastLoggedAt !== null && since(now, this.lastLoggedAt) < MIN_LOG_INTERVAL_MS) return;
    this.lastLoggedAt = now;
    const fields = { job: id, unansweredMs: Math.round(unansweredMs), refusedJobs: this.refused.size };
    this.log.error(fields, UNANSWERED_MESSAGE);
  }
}
