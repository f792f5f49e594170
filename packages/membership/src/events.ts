/** Events that a member raises about other members and about itself. */
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

/** A suspected or failed member has refuted that: it is alive. */
interface Refuted {
  readonly kind: 'refuted';
  readonly member: MemberId;
  readonly identity: Identity;
  readonly from: MemberState.Suspect | MemberState.Failed;
}

/** A member's process was restarted: whatever the former process owned is no longer held. */
interface Restarted {
  readonly kind: 'restarted';
  readonly member: MemberId;
  readonly identity: Identity;
}

/** This process did not run for some time. */
interface SelfPaused {
  readonly kind: 'self-paused';
  readonly pausedMs: number;
}

/** Others suspected this process; it has raised its incarnation to refute that. */
interface SelfSuspected {
  readonly kind: 'self-suspected';
  readonly incarnation: number;
}

/** This process gained or lost contact with a majority of the members, itself counted. */
interface ContactChanged {
  readonly kind: 'contact-changed';
  readonly hasMajority: boolean;
}

/** Any event of a member. */
export type MembershipEvent =
  StateChanged | Refuted | Restarted | SelfPaused | SelfSuspected | ContactChanged;

/** Receives events, one at a time, in order. */
export type MembershipListener = (event: MembershipEvent) => void;
