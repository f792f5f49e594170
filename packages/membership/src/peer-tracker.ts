/** What this process has observed of one peer, directly or through other members. */
import { compareIdentity, type Identity, IdentityOrder, type MemberId, isSameIdentity } from './identity.js';
import type { PeerObservation } from './messages.js';

/** The highest sequence number received from one process. */
interface LastSequence {
  readonly process: string;
  readonly sequence: number;
}

const ageOrNull = (now: number, at: number | null): number | null =>
  at === null ? null : Math.max(0, Math.round(now - at));

const laterTime = (a: number | null, b: number): number => (a === null ? b : Math.max(a, b));

/** The contact times and the suspicion of one peer. All times are of this process's monotonic clock. */
export class PeerTracker {
  private currentIdentity: Identity | null = null;
  private lastSequence: LastSequence | null = null;
  private heardAt: number | null = null;
  private reachedAt: number | null = null;
  private reachedIndirectlyAt: number | null = null;
  private suspectedAt: number | null = null;

  constructor(readonly member: MemberId) {}

  /** The last known identity; null: nothing is known of the peer. */
  get identity(): Identity | null {
    return this.currentIdentity;
  }

  /** Whether this process suspects the peer. */
  get isSuspected(): boolean {
    return this.suspectedAt !== null;
  }

  /**
   * Adopts an identity that the peer or another member has stated. A later incarnation of the same process was alive
   * after the suspicion of the former one began, so the suspicion ends.
   */
  updateIdentity(identity: Identity): IdentityOrder {
    const order = compareIdentity(this.currentIdentity, identity);
    if (order === IdentityOrder.Stale) return order;
    if (this.currentIdentity !== null && !isSameIdentity(this.currentIdentity, identity))
      this.suspectedAt = null;
    if (order === IdentityOrder.Restarted) this.resetProcess();
    this.currentIdentity = identity;
    return order;
  }

  /** Clears what was observed of the former process: it says nothing about the new one. */
  private resetProcess(): void {
    this.heardAt = null;
    this.reachedAt = null;
    this.reachedIndirectlyAt = null;
    this.lastSequence = null;
  }

  /** Records a message of the peer. A repeated one is not a sign of life. */
  recordMessage(identity: Identity, sequence: number, now: number): IdentityOrder {
    const order = this.updateIdentity(identity);
    if (order === IdentityOrder.Stale) return order;
    const last = this.lastSequence;
    if (last?.process === identity.process && sequence <= last.sequence) return order;
    this.lastSequence = { process: identity.process, sequence };
    this.heardAt = now;
    return order;
  }

  /** Records that the peer answered a probe that was sent at `sentAt`. */
  recordAnswer(identity: Identity, sentAt: number): void {
    if (this.updateIdentity(identity) === IdentityOrder.Stale) return;
    this.reachedAt = laterTime(this.reachedAt, sentAt);
    this.endSuspicion();
  }

  /** Records that the peer answered the probe of another member in a round that began at `sentAt`. */
  recordIndirectAnswer(identity: Identity, sentAt: number): void {
    if (this.updateIdentity(identity) === IdentityOrder.Stale) return;
    this.reachedIndirectlyAt = laterTime(this.reachedIndirectlyAt, sentAt);
    this.endSuspicion();
  }

  /** Records that neither a direct nor an indirect probe of a round was answered. Returns whether the peer is now suspected. */
  recordFailedRound(startedAt: number, now: number): boolean {
    if (this.currentIdentity === null || this.suspectedAt !== null) return false;
    const lastAnswerAt = Math.max(this.reachedAt ?? -Infinity, this.reachedIndirectlyAt ?? -Infinity);
    if (lastAnswerAt >= startedAt) return false;
    this.suspectedAt = now;
    return true;
  }

  /** Ends the suspicion, even for an answer to a probe that was sent before it began: the peer was alive to answer. */
  private endSuspicion(): void {
    this.suspectedAt = null;
  }

  /** Excludes a pause of this process from all ages: no message of the peer could be handled meanwhile. */
  excludePause(pausedMs: number, now: number): void {
    const shift = (at: number | null): number | null => (at === null ? null : Math.min(now, at + pausedMs));
    this.heardAt = shift(this.heardAt);
    this.reachedAt = shift(this.reachedAt);
    this.reachedIndirectlyAt = shift(this.reachedIndirectlyAt);
    this.suspectedAt = shift(this.suspectedAt);
  }

  /** Clears everything: the peer's program does not support membership messages, so its silence is no evidence. */
  reset(): void {
    this.currentIdentity = null;
    this.suspectedAt = null;
    this.resetProcess();
  }

  /** Returns the observation for this process's row; null if nothing is known of the peer. */
  observation(now: number): PeerObservation | null {
    if (this.currentIdentity === null) return null;
    return {
      identity: this.currentIdentity,
      heardAgoMs: ageOrNull(now, this.heardAt),
      reachedAgoMs: ageOrNull(now, this.reachedAt),
      vouchedAgoMs: ageOrNull(now, this.reachedIndirectlyAt),
      suspectedForMs: ageOrNull(now, this.suspectedAt),
    };
  }
}
