import type { HeartbeatSequence, MemberId } from '../../model/ids.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { MonotonicTime } from '../../model/time.js';

/** The last heartbeat that was answered, and the controller that it came through. */
interface AnsweredHeartbeat {
  readonly via: MemberId;
  readonly sequence: HeartbeatSequence;
}

/** Tracks when a worker was last heard from, and when something of ours last reached it: these can differ. */
export class WorkerContact {
  private heartbeatAt: MonotonicTime | null = null;
  private firstAt: MonotonicTime | null = null;
  private reachedAt: MonotonicTime | null = null;
  /** When the last direct call went unanswered; null: the last one was answered, or none was made. */
  private callFailedAt: MonotonicTime | null = null;
  private answered: AnsweredHeartbeat | null = null;

  /** When the worker was last heard from under this epoch. */
  get lastHeartbeatAt(): MonotonicTime | null {
    return this.heartbeatAt;
  }

  /** When the worker was first heard from under this epoch. */
  get firstHeartbeatAt(): MonotonicTime | null {
    return this.firstAt;
  }

  /** When the worker last showed that something of ours had reached it. */
  get lastContactAt(): MonotonicTime | null {
    return this.reachedAt;
  }

  /** Whether the last direct call brought no answer: commands then wait for heartbeats. */
  get hasFailedCall(): boolean {
    return this.callFailedAt !== null;
  }

  /** Whether direct calls fail, and no heartbeat has shown since that our answers arrive. */
  get isUnreachable(): boolean {
    return this.callFailedAt !== null && (this.reachedAt === null || this.reachedAt < this.callFailedAt);
  }

  recordHeartbeat(now: MonotonicTime): void {
    this.heartbeatAt = now;
    this.firstAt ??= now;
  }

  /** Something of ours has reached the worker. */
  recordContact(now: MonotonicTime): void {
    this.reachedAt = now;
  }

  /** A direct call was answered. */
  recordCallAnswered(now: MonotonicTime): void {
    this.reachedAt = now;
    this.callFailedAt = null;
  }

  /** A direct call brought no answer. */
  recordCallFailed(now: MonotonicTime): void {
    this.callFailedAt = now;
  }

  /** A heartbeat that came through `via` was answered. */
  recordAnswer(heartbeat: Heartbeat, via: MemberId): void {
    this.answered = { via, sequence: heartbeat.sequence };
  }

  /**
   * Recognizes by a new heartbeat that the answer to the one before has arrived.
   *
   * A worker that got our answer stays with its controller, one that did not tries another. So a
   * heartbeat that follows the last one through the same controller, with no message between them,
   * shows that its answer arrived. Heartbeats alone show nothing: a machine may be heard and not reached.
   */
  recognizeDeliveredAnswer(heartbeat: Heartbeat, via: MemberId, now: MonotonicTime): void {
    const before = this.answered;
    if (before && before.via === via && heartbeat.sequence === before.sequence + 1) this.recordContact(now);
  }
}
