/** The messages between members. A request is answered over the connection that it came by. */
import type { Identity, MemberId } from './identity.js';

/** What one member has observed of one peer, with ages instead of times: clocks are not comparable. */
export interface PeerObservation {
  /** The peer's last known identity. */
  readonly identity: Identity;
  /** Since a message of the peer arrived; null: none ever did. */
  readonly heardAgoMs: number | null;
  /** Since the last probe that the peer answered was sent; null: none ever was. */
  readonly reachedAgoMs: number | null;
  /** Since the last probe that the peer answered through another member was sent. */
  readonly vouchedAgoMs: number | null;
  /** How long this identity has been under suspicion; null: it is not. */
  readonly suspectedForMs: number | null;
}

/** All that one member observes, with its own state. Rows of one process are ordered by their version. */
export interface ObservationRow {
  readonly observer: Identity;
  readonly version: number;
  /** How old the row is at most, counted from when its first reader asked for it. */
  readonly ageMs: number;
  readonly leaving: boolean;
  readonly load: number;
  readonly ready: boolean;
  /** The stretch of the observer's periods: above 0 it is slow itself. */
  readonly localHealth: number;
  readonly peers: readonly PeerObservation[];
}

/** What the sender knows of the receiver, so that it can refute a suspicion or outrun an older process. */
export interface WordOnReceiver {
  readonly identity: Identity;
  readonly suspected: boolean;
}

/** The kinds of messages. */
export enum MessageKind {
  Probe = 'probe',
  Answer = 'answer',
  IndirectProbe = 'indirect-probe',
  IndirectAnswer = 'indirect-answer',
}

interface Envelope {
  readonly from: Identity;
  /** Rises with every message of the process: what arrives again is no sign of life. */
  readonly sequence: number;
  readonly aboutReceiver: WordOnReceiver | null;
}

/** Are you there? */
export interface Probe extends Envelope {
  readonly kind: MessageKind.Probe;
  /** Members whose rows the sender has not had lately: the answer tells them, too. */
  readonly missing: readonly MemberId[];
}

/** I am; this is what I observe, and what members observe that the asker does not hear from. */
export interface Answer extends Envelope {
  readonly kind: MessageKind.Answer;
  readonly rows: readonly ObservationRow[];
}

/** Please probe `target` for me. */
export interface IndirectProbe extends Envelope {
  readonly kind: MessageKind.IndirectProbe;
  readonly target: MemberId;
}

/** `answeredBy`: the target's identity; null: it did not answer me either. */
export interface IndirectAnswer extends Envelope {
  readonly kind: MessageKind.IndirectAnswer;
  readonly target: MemberId;
  readonly answeredBy: Identity | null;
}

/** Any message between members. */
export type Message = Probe | Answer | IndirectProbe | IndirectAnswer;
