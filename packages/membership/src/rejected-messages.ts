/** Counts rejected messages by reason, and logs them at a bounded rate. */
import type { Clock, Logger } from './environment.js';

/** Why a message was rejected. The values appear in the log and in the API for operators. */
export enum RejectReason {
  Malformed = 'malformed',
  Oversized = 'oversized',
  UnknownKind = 'unknown kind',
  UnknownMember = 'not from a configured controller',
  Misdirected = 'names a target that is not configured',
  Stale = 'from an earlier process or incarnation',
  RateLimited = 'over the rate that the settings allow',
}

/** At most one log line per reason in this time. */
const LOG_INTERVAL_MS = 30_000;

/** Counters by reason. */
export class RejectedMessages {
  private readonly counts = new Map<RejectReason, number>();
  private readonly lastLoggedAt = new Map<RejectReason, number>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Counts a rejected message and logs it, unless the reason was logged recently. */
  record(reason: RejectReason, detail: string): void {
    const count = (this.counts.get(reason) ?? 0) + 1;
    this.counts.set(reason, count);
    const now = this.clock.now();
    const lastLoggedAt = this.lastLoggedAt.get(reason);
    if (lastLoggedAt !== undefined && now - lastLoggedAt < LOG_INTERVAL_MS) return;
    this.lastLoggedAt.set(reason, now);
    this.log.info({ reason, count, detail }, 'membership message dropped');
  }

  /** Returns all counters that are not zero. */
  all(): ReadonlyMap<RejectReason, number> {
    return this.counts;
  }
}
