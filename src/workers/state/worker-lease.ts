import { type MonotonicTime, plus } from '../../model/time.js';

/** Tracks from when a worker's lease may run: until its expiry the worker may keep what it runs. */
export class WorkerLease {
  private answeredAt: MonotonicTime | null = null;
  /** When we first heard of its present incarnation, which began before: its lease may run from then, too. */
  private incarnationSeenAt: MonotonicTime | null = null;

  /** When we last answered a heartbeat of this worker: its lease may run from then. */
  get lastAnsweredAt(): MonotonicTime | null {
    return this.answeredAt;
  }

  recordAnswer(now: MonotonicTime): void {
    this.answeredAt = now;
  }

  /** An incarnation of the agent is heard of for the first time. */
  recordIncarnation(now: MonotonicTime): void {
    this.incarnationSeenAt = now;
  }

  /**
   * Returns the latest time at which a lease of `lease` ms ends that did not begin before `start`.
   *
   * The incarnation counts as well as the answers: a machine that reaches no controller goes through its incarnations
   * unanswered, and runs what direct commands bring it in each.
   */
  expiry(start: MonotonicTime, lease: number): MonotonicTime {
    const from = Math.max(start, this.answeredAt ?? start, this.incarnationSeenAt ?? start) as MonotonicTime;
    return plus(from, lease);
  }
}
