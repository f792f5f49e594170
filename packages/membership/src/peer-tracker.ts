/** What this process has observed of one peer, directly or through others. */
import { compareIdentity, type Identity, IdentityOrder, type MemberId, sameIdentity } from './identity.js';
import type { PeerObservation } from './messages.js';

/** The newest sequence number seen of one process. */
interface LastSequence {
  readonly process: string;
  readonly sequence: number;
}

const agoOrNull = (now: number, at: number | null): number | null =>
  at === null ? null : Math.max(0, Math.round(now - at));

const laterOf = (a: number | null, b: number): number => (a === null ? b : Math.max(a, b));

/** One peer as seen from here. All times are of this process's steady clock. */
export class PeerTracker {
  private known: Identity | null = null;
  private lastSequence: LastSequence | null = null;
  private heardAt: number | null = null;
  private reachedAt: number | null = null;
  private vouchedAt: number | null = null;
  private suspectedAt: number | null = null;

  constructor(readonly member: MemberId) {}

  /** The last known identity; null: the peer has never been heard of. */
  get identity(): Identity | null {
    return this.known;
  }

  get suspected(): boolean {
    return this.suspectedAt !== null;
  }

  /** The last sign that the peer was there, whichever way it came. */
  get contactAt(): number | null {
    const times = [this.heardAt, this.reachedAt, this.vouchedAt].filter((at) => at !== null);
    return times.length === 0 ? null : Math.max(...times);
  }

  /**
   * Takes over an identity that was told of, by the peer or by another member. A later incarnation of the same
   * process was alive after whatever the former one is suspected of, so the suspicion ends.
   */
  learn(identity: Identity): IdentityOrder {
    const order = compareIdentity(this.known, identity);
    if (order === IdentityOrder.Stale) return order;
    if (this.known !== null && !sameIdentity(this.known, identity)) this.suspectedAt = null;
    if (order === IdentityOrder.Restarted) this.forgetProcess();
    this.known = identity;
    return order;
  }

  /** Nothing that was observed of the former process tells of the new one. */
  private forgetProcess(): void {
    this.heardAt = null;
    this.reachedAt = null;
    this.vouchedAt = null;
    this.lastSequence = null;
  }

  /** A message of the peer arrived. A repeated one is no sign of life. */
  heard(identity: Identity, sequence: number, now: number): IdentityOrder {
    const order = this.learn(identity);
    if (order === IdentityOrder.Stale) return order;
    const last = this.lastSequence;
    if (last?.process === identity.process && sequence <= last.sequence) return order;
    this.lastSequence = { process: identity.process, sequence };
    this.heardAt = now;
    return order;
  }

  /** The peer answered a probe that was sent then. */
  reached(identity: Identity, sentAt: number): void {
    if (this.learn(identity) === IdentityOrder.Stale) return;
    this.reachedAt = laterOf(this.reachedAt, sentAt);
    this.endSuspicion();
  }

  /** The peer answered another member, which was asked at that time to probe it. */
  vouched(identity: Identity, sentAt: number): void {
    if (this.learn(identity) === IdentityOrder.Stale) return;
    this.vouchedAt = laterOf(this.vouchedAt, sentAt);
    this.endSuspicion();
  }

  /** Neither the peer nor any helper answered a round of probes that began then. True: it is now a suspect. */
  roundFailed(beganAt: number, now: number): boolean {
    if (this.known === null || this.suspectedAt !== null) return false;
    const contact = Math.max(this.reachedAt ?? -Infinity, this.vouchedAt ?? -Infinity);
    if (contact >= beganAt) return false;
    this.suspectedAt = now;
    return true;
  }

  /** An answer ends the suspicion even if it was asked for before: it arrived, so the peer was there. */
  private endSuspicion(): void {
    this.suspectedAt = null;
  }

  /** This process did not run for so long: the peer had no chance to be heard, so that time does not count. */
  discount(pausedMs: number, now: number): void {
    const shift = (at: number | null): number | null => (at === null ? null : Math.min(now, at + pausedMs));
    this.heardAt = shift(this.heardAt);
    this.reachedAt = shift(this.reachedAt);
    this.vouchedAt = shift(this.vouchedAt);
    this.suspectedAt = shift(this.suspectedAt);
  }

  /** The peer runs a program that takes no membership messages: its silence tells nothing. */
  forget(): void {
    this.known = null;
    this.suspectedAt = null;
    this.forgetProcess();
  }

  /** Null: nothing is known of the peer. */
  observation(now: number): PeerObservation | null {
    if (this.known === null) return null;
    return {
      identity: this.known,
      heardAgoMs: agoOrNull(now, this.heardAt),
      reachedAgoMs: agoOrNull(now, this.reachedAt),
      vouchedAgoMs: agoOrNull(now, this.vouchedAt),
      suspectedForMs: agoOrNull(now, this.suspectedAt),
    };
  }
}
