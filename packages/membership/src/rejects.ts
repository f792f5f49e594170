/** Counts what was dropped, and tells of it at a bounded rate. */
import type { Clock, Logger } from './environment.js';

/** Why a message was dropped. */
export enum RejectReason {
  Malformed = 'malformed',
  Oversized = 'oversized',
  UnknownKind = 'unknown kind',
  Stranger = 'not from a configured controller',
  Misdirected = 'names a target that is not configured',
  Stale = 'from an earlier process or incarnation',
  Throttled = 'over the rate that the settings allow',
}

/** A line for one reason comes at most once in this time. */
const LOG_EVERY_MS = 30_000;

/** Counters by reason. */
export class Rejects {
  private readonly counts = new Map<RejectReason, number>();
  private readonly loggedAt = new Map<RejectReason, number>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  add(reason: RejectReason, detail: string): void {
    const count = (this.counts.get(reason) ?? 0) + 1;
    this.counts.set(reason, count);
    const now = this.clock.now();
    const last = this.loggedAt.get(reason);
    if (last !== undefined && now - last < LOG_EVERY_MS) return;
    this.loggedAt.set(reason, now);
    this.log.info({ reason, count, detail }, 'membership message dropped');
  }

  count(reason: RejectReason): number {
    return this.counts.get(reason) ?? 0;
  }

  /** All counters that are not zero. */
  all(): ReadonlyMap<RejectReason, number> {
    return this.counts;
  }
}
