/** Events that a member emits about other members and about itself. */
import type { Evidence } from './evidence.js';
import type { Identity, MemberId } from './identity.js';
import type { MemberState } from './verdict.js';

/** A member's state has changed. */
interface StateChanged {
  readonly kind: 'state-changed';
  readonly member: MemberId;
  readonly identity: Identity | null;
  readonly from: MemberState;
  readonly to: MemberState;
  readonly evidence: readonly Evidence[];
}

/** A suspected or failed member has refuted the suspicion or verdict without a restart of its process, and is alive. */
interface Refuted {
  readonly kind: 'refuted';
  readonly member: MemberId;
  readonly identity: Identity;
  readonly from: MemberState.Suspect | MemberState.Failed;
}

/** A member's process was restarted, so whatever the previous process owned is no longer held. */
interface Restarted {
  readonly kind: 'restarted';
  readonly member: MemberId;
  readonly identity: Identity;
}

/** This process was paused: a clock check was late by `pausedMs`, which is above the pause threshold. */
interface SelfPaused {
  readonly kind: 'self-paused';
  readonly pausedMs: number;
}

/** A peer suspected this process, which has raised its incarnation to refute the suspicion. */
interface SelfSuspected {
  readonly kind: 'self-suspected';
  readonly incarnation: number;
}

/** This process gained or lost contact with a majority of the members, counting itself. */
interface ContactChanged {
  readonly kind: 'contact-changed';
  readonly hasMajority: boolean;
}

/** Any event that a member emits. */
export type MembershipEvent =
  StateChanged | Refuted | Restarted | SelfPaused | SelfSuspected | ContactChanged;

/** Receives events one at a time, in the order in which they occurred. */
export type MembershipListener = (event: MembershipEvent) => void;
