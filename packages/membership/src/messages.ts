/**
 * The messages between members. A request is answered over the connection that it came by. Field names are those of the
 * wire (see `codec.ts`).
 */
import type { Identity, MemberId } from './identity.js';

/** What one member has observed of one peer, as ages rather than times, since clocks are not comparable. */
export interface PeerObservation {
  /** The peer's last known identity. */
  readonly identity: Identity;
  /** Time since a message of the peer arrived; null: none ever did. */
  readonly heardAgoMs: number | null;
  /** Time since the last directly answered probe was sent; null: none was answered. */
  readonly reachedAgoMs: number | null;
  /** Time since the last indirectly answered probe was begun; null: none was answered. */
  readonly vouchedAgoMs: number | null;
  /** How long this identity has been under suspicion; null: it is not. */
  readonly suspectedForMs: number | null;
}

/** All observations of one member, with its own state. Rows of one process are ordered by their version. */
export interface ObservationRow {
  readonly observer: Identity;
  readonly version: number;
  /** Upper bound of the row's age, counted from when its first reader requested it. */
  readonly ageMs: number;
  readonly leaving: boolean;
  readonly load: number;
  readonly ready: boolean;
  /** The observer's local health score: above 0 it is slow itself. */
  readonly localHealth: number;
  readonly peers: readonly PeerObservation[];
}

/** What the sender knows of the receiver, so that it can refute a suspicion or exceed an earlier process's incarnation. */
export interface ReceiverStatus {
  readonly identity: Identity;
  readonly suspected: boolean;
}

/** The kinds of messages. The values are those of the wire. */
export enum MessageKind {
  Probe = 'probe',
  Answer = 'answer',
  IndirectProbe = 'indirect-probe',
  IndirectAnswer = 'indirect-answer',
}

interface Envelope {
  readonly from: Identity;
  /** Increases with every message of the process, so that a repeated message is not taken for a sign of life. */
  readonly sequence: number;
  readonly aboutReceiver: ReceiverStatus | null;
}

/** Asks a member whether it is alive. */
export interface Probe extends Envelope {
  readonly kind: MessageKind.Probe;
  /** Members whose rows the sender lacks: the answer includes them. */
  readonly missing: readonly MemberId[];
}

/** Answers a probe with the observations of its sender and the rows that the probe's sender lacks. */
export interface Answer extends Envelope {
  readonly kind: MessageKind.Answer;
  readonly rows: readonly ObservationRow[];
}

/** Asks the receiver to probe `target` on the sender's behalf. */
export interface IndirectProbe extends Envelope {
  readonly kind: MessageKind.IndirectProbe;
  readonly target: MemberId;
}

/** Answers an indirect probe. `answeredBy`: the target's identity; null: it did not answer this probe either. */
export interface IndirectAnswer extends Envelope {
  readonly kind: MessageKind.IndirectAnswer;
  readonly target: MemberId;
  readonly answeredBy: Identity | null;
}

/** Any message between members. */
export type Message = Probe | Answer | IndirectProbe | IndirectAnswer;
