/**
 * The messages between members. A request is answered on the connection on which it was received. Field names are part
 * of the wire format (see `codec.ts`).
 */
import type { Identity, MemberId } from './identity.js';

/** A member's observation of a peer. Times are sent as ages, since the clocks of members are not comparable. */
export interface PeerObservation {
  /** The peer's last known identity. */
  readonly identity: Identity;
  /** Time since the last message of the peer was received; null: no message was received. */
  readonly heardAgoMs: number | null;
  /** Time since the last directly answered probe was sent; null: no direct probe was answered. */
  readonly reachedAgoMs: number | null;
  /**
   * Time since the start of the last probe round that was answered indirectly; null: no indirect probe was answered.
   */
  readonly vouchedAgoMs: number | null;
  /** How long this identity has been suspected; null: the identity is not suspected. */
  readonly suspectedForMs: number | null;
}

/** All observations of a member, with the member's own status. Rows of the same process are ordered by `version`. */
export interface ObservationRow {
  readonly observer: Identity;
  readonly version: number;
  /** Upper bound on the row's age, counted from when the first receiver of the row sent its request. */
  readonly ageMs: number;
  readonly leaving: boolean;
  readonly load: number;
  readonly ready: boolean;
  /** The observer's local health score; above 0 the observer itself is slow. */
  readonly localHealth: number;
  readonly peers: readonly PeerObservation[];
}

/**
 * What a sender knows of the receiver, which can thus refute a suspicion or exceed an earlier process's incarnation.
 */
export interface ReceiverStatus {
  readonly identity: Identity;
  readonly suspected: boolean;
}

/** The kinds of messages. The values are part of the wire format. */
export enum MessageKind {
  Probe = 'probe',
  Answer = 'answer',
  IndirectProbe = 'indirect-probe',
  IndirectAnswer = 'indirect-answer',
}

/** Fields that all messages have. */
interface Envelope {
  readonly from: Identity;
  /** Increases with every message of the process, so that a duplicate of a message does not count as a contact. */
  readonly sequence: number;
  readonly aboutReceiver: ReceiverStatus | null;
}

/** A request that a live member answers with an `Answer`. */
export interface Probe extends Envelope {
  readonly kind: MessageKind.Probe;
  /** Members whose rows the sender lacks or has to refresh; the answer includes the rows that the receiver has. */
  readonly missing: readonly MemberId[];
}

/**
 * The answer to a probe: the answering member's own row, and the requested rows of other members unless they would make
 * the message larger than `MAX_MESSAGE_BYTES`.
 */
export interface Answer extends Envelope {
  readonly kind: MessageKind.Answer;
  readonly rows: readonly ObservationRow[];
}

/** A request to the receiver to probe `target` on the sender's behalf. */
export interface IndirectProbe extends Envelope {
  readonly kind: MessageKind.IndirectProbe;
  readonly target: MemberId;
}

/** The answer to an indirect probe. `answeredBy`: the target's identity; null: the target did not answer the probe. */
export interface IndirectAnswer extends Envelope {
  readonly kind: MessageKind.IndirectAnswer;
  readonly target: MemberId;
  readonly answeredBy: Identity | null;
}

/** Any message between members. */
export type Message = Probe | Answer | IndirectProbe | IndirectAnswer;
