/** Tracks what this process has observed of a peer, directly or through other members. */
import { compareIdentity, type Identity, IdentityOrder, type MemberId, isSameIdentity } from './identity.js';
import type { PeerObservation } from './messages.js';

/** The highest sequence number received from a process. */
interface LastSequence {
  readonly process: string;
  readonly sequence: number;
}

const ageOrNull = (now: number, at: number | null): number | null =>
  at === null ? null : Math.max(0, Math.round(now - at));

const laterTime = (left: number | null, right: number): number =>
  left === null ? right : Math.max(left, right);

/** The contact times and the suspicion of a peer. All times are on this process's monotonic clock. */
export class PeerTracker {
  private currentIdentity: Identity | null = null;
  private lastSequence: LastSequence | null = null;
  private lastMessageAt: number | null = null;
  private reachedAt: number | null = null;
  private reachedIndirectlyAt: number | null = null;
  private suspectedAt: number | null = null;

  constructor(readonly member: MemberId) {}

  /** The last known identity of the peer; null: nothing is known of the peer. */
  get identity(): Identity | null {
    return this.currentIdentity;
  }

  /** Whether this process suspects the peer. */
  get isSuspected(): boolean {
    return this.suspectedAt !== null;
  }

  /**
   * Adopts an identity that the peer or another member has reported, unless the identity is stale. A later incarnation
   * ends the suspicion: the process raised its incarnation after the suspicion began, so it was alive then.
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

  /** Clears the observations of the previous process, which are no evidence about the new one. */
  private resetProcess(): void {
    this.lastMessageAt = null;
    this.reachedAt = null;
    this.reachedIndirectlyAt = null;
    this.lastSequence = null;
  }

  /** Records a message of the peer. A duplicate or reordered message does not count as a contact. */
  recordMessage(identity: Identity, sequence: number, now: number): IdentityOrder {
    const order = this.updateIdentity(identity);
    if (order === IdentityOrder.Stale) return order;
    const previous = this.lastSequence;
    if (previous?.process === identity.process && sequence <= previous.sequence) return order;
    this.lastSequence = { process: identity.process, sequence };
    this.lastMessageAt = now;
    return order;
  }

  /** Records that the peer answered a probe that was sent at `sentAt`. */
  recordAnswer(identity: Identity, sentAt: number): void {
    if (this.updateIdentity(identity) === IdentityOrder.Stale) return;
    this.reachedAt = laterTime(this.reachedAt, sentAt);
    this.endSuspicion();
  }

  /** Records that the peer answered the probe of another member in a round that started at `sentAt`. */
  recordIndirectAnswer(identity: Identity, sentAt: number): void {
    if (this.updateIdentity(identity) === IdentityOrder.Stale) return;
    this.reachedIndirectlyAt = laterTime(this.reachedIndirectlyAt, sentAt);
    this.endSuspicion();
  }

  /**
   * Records that no direct or indirect probe of a round was answered. Returns whether this started a suspicion of the
   * peer.
   */
  recordFailedRound(startedAt: number, now: number): boolean {
    if (this.currentIdentity === null || this.suspectedAt !== null) return false;
    const lastAnswerAt = Math.max(this.reachedAt ?? -Infinity, this.reachedIndirectlyAt ?? -Infinity);
    if (lastAnswerAt >= startedAt) return false;
    this.suspectedAt = now;
    return true;
  }

  /**
   * Ends the suspicion, even if the answered probe was sent before the suspicion began: the peer was alive to answer.
   */
  private endSuspicion(): void {
    this.suspectedAt = null;
  }

  /** Excludes a pause of this process from all ages: during the pause no message of the peer could be handled. */
  excludePause(pausedMs: number, now: number): void {
    const shift = (at: number | null): number | null => (at === null ? null : Math.min(now, at + pausedMs));
    this.lastMessageAt = shift(this.lastMessageAt);
    this.reachedAt = shift(this.reachedAt);
    this.reachedIndirectlyAt = shift(this.reachedIndirectlyAt);
    this.suspectedAt = shift(this.suspectedAt);
  }

  /**
   * Clears all state. Used for a peer whose version does not support membership messages: its silence is no evidence.
   */
  reset(): void {
    this.currentIdentity = null;
    this.suspectedAt = null;
    this.resetProcess();
  }

  /** Returns the observation of the peer for this process's row; null if nothing is known of the peer. */
  observation(now: number): PeerObservation | null {
    if (this.currentIdentity === null) return null;
    return {
      identity: this.currentIdentity,
      heardAgoMs: ageOrNull(now, this.lastMessageAt),
      reachedAgoMs: ageOrNull(now, this.reachedAt),
      vouchedAgoMs: ageOrNull(now, this.reachedIndirectlyAt),
      suspectedForMs: ageOrNull(now, this.suspectedAt),
    };
  }
}
