import { type MonotonicTime, plus } from '../../model/time.js';

/** Tracks when a worker's lease may have started; the worker may keep its tasks running until the lease expires. */
export class WorkerLease {
  private answeredAt: MonotonicTime | null = null;
  /**
   * The time at which the current incarnation, which started earlier, was first reported; its lease may start then.
   * Null: no incarnation was reported to this leader.
   */
  private incarnationSeenAt: MonotonicTime | null = null;

  /** The time of this leader's last answer to the worker's heartbeat, when the lease may have started; null: none. */
  get lastAnsweredAt(): MonotonicTime | null {
    return this.answeredAt;
  }

  recordAnswer(now: MonotonicTime): void {
    this.answeredAt = now;
  }

  /** Records the first report of an incarnation of the agent. */
  recordIncarnation(now: MonotonicTime): void {
    this.incarnationSeenAt = now;
  }

  /**
   * Returns the latest time at which a lease of `leaseDurationMs` may end that starts at `earliestStart` or later.
   *
   * Besides the answers, the start of an incarnation counts as a start of the lease: a machine that reaches no
   * controller gets no answers in any of its incarnations, but runs tasks that direct commands start in each of them.
   */
  latestExpiry(earliestStart: MonotonicTime, leaseDurationMs: number): MonotonicTime {
    const latestStart = Math.max(
      earliestStart,
      this.answeredAt ?? earliestStart,
      this.incarnationSeenAt ?? earliestStart,
    ) as MonotonicTime;
    return plus(latestStart, leaseDurationMs);
  }
}
