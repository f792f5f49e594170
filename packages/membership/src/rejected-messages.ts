/** Counts rejected messages by reason, and logs them at a limited rate. */
import type { Clock, Logger } from './environment.js';

/**
 * Why a message was counted as rejected. A `Stale` request is answered nevertheless, and `RateLimited` includes this
 * process's own requests that were not sent. The values are part of the log format and of the API for operators.
 */
export enum RejectReason {
  Malformed = 'malformed',
  Oversized = 'oversized',
  UnknownKind = 'unknown kind',
  UnknownMember = 'not from a configured controller',
  Misdirected = 'names a target that is not configured',
  Stale = 'from an earlier process or incarnation',
  RateLimited = 'over the rate that the settings allow',
}

/** The minimum time between two log lines with the same reason. */
const LOG_INTERVAL_MS = 30_000;

/** Counters of rejected messages by reason. */
export class RejectedMessages {
  private readonly counts = new Map<RejectReason, number>();
  private readonly lastLoggedAt = new Map<RejectReason, number>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Counts a rejected message, and logs it unless the same reason was logged within `LOG_INTERVAL_MS`. */
  record(reason: RejectReason, detail: string): void {
    const count = (this.counts.get(reason) ?? 0) + 1;
    this.counts.set(reason, count);
    const now = this.clock.now();
    const lastLoggedAt = this.lastLoggedAt.get(reason);
    if (lastLoggedAt !== undefined && now - lastLoggedAt < LOG_INTERVAL_MS) return;
    this.lastLoggedAt.set(reason, now);
    this.log.info({ reason, count, detail }, 'membership message dropped');
  }

  /** Returns all counters greater than 0. */
  countsByReason(): ReadonlyMap<RejectReason, number> {
    return this.counts;
  }
}
