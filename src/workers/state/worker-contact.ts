import type { HeartbeatSequence, MemberId } from '../../model/ids.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { MonotonicTime } from '../../model/time.js';

/** The last answered heartbeat and the controller that received it. */
interface AnsweredHeartbeat {
  readonly receivedBy: MemberId;
  readonly sequence: HeartbeatSequence;
}

/**
 * Tracks when a worker's last heartbeat was received, and when an answer or a direct call was last known to reach the
 * worker. The two directions are tracked separately, since a network fault may affect only one of them.
 */
export class WorkerContact {
  private latestHeartbeatAt: MonotonicTime | null = null;
  private earliestHeartbeatAt: MonotonicTime | null = null;
  private deliveredAt: MonotonicTime | null = null;
  /**
   * The time of the last direct call recorded as unanswered; null if a later call was answered or none was recorded.
   */
  private callFailedAt: MonotonicTime | null = null;
  private lastAnswered: AnsweredHeartbeat | null = null;

  /** The time of the worker's last heartbeat in this epoch; null without one. */
  get lastHeartbeatAt(): MonotonicTime | null {
    return this.latestHeartbeatAt;
  }

  /** The time of the worker's first heartbeat in this epoch; null without one. */
  get firstHeartbeatAt(): MonotonicTime | null {
    return this.earliestHeartbeatAt;
  }

  /** The last time at which the worker showed that it had received an answer or a direct call; null: it has not yet. */
  get lastDeliveryAt(): MonotonicTime | null {
    return this.deliveredAt;
  }

  /** Whether the last recorded direct call was unanswered; the worker is then not probed early. */
  get hasFailedCall(): boolean {
    return this.callFailedAt !== null;
  }

  /** Whether the last direct call failed, and nothing has shown since then that answers reach the worker. */
  get isUnreachable(): boolean {
    return this.callFailedAt !== null && (this.deliveredAt === null || this.deliveredAt < this.callFailedAt);
  }

  recordHeartbeat(now: MonotonicTime): void {
    this.latestHeartbeatAt = now;
    this.earliestHeartbeatAt ??= now;
  }

  /** Records that an answer or a direct call has reached the worker. */
  recordDelivery(now: MonotonicTime): void {
    this.deliveredAt = now;
  }

  /** Records an answered direct call. */
  recordCallAnswered(now: MonotonicTime): void {
    this.deliveredAt = now;
    this.callFailedAt = null;
  }

  /** Records an unanswered direct call. */
  recordCallFailed(now: MonotonicTime): void {
    this.callFailedAt = now;
  }

  /** Records an answer to a heartbeat that the controller `receivedBy` received from the worker. */
  recordAnswer(heartbeat: Heartbeat, receivedBy: MemberId): void {
    this.lastAnswered = { receivedBy: receivedBy, sequence: heartbeat.sequence };
  }

  /**
   * Detects from a new heartbeat that the answer to the previous heartbeat was delivered.
   *
   * A worker that receives an answer stays with its controller; a worker that receives none switches to another one.
   * Therefore, the next heartbeat in sequence through the same controller shows that the answer was delivered. Other
   * heartbeats show nothing, since a machine whose heartbeats arrive may still receive no answers.
   */
  detectAnswerDelivery(heartbeat: Heartbeat, receivedBy: MemberId, now: MonotonicTime): void {
    const previous = this.lastAnswered;
    if (previous && previous.receivedBy === receivedBy && heartbeat.sequence === previous.sequence + 1)
      this.recordDelivery(now);
  }
}
