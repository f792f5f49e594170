/** What members are told of each other, as typed events. */
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

/** A suspected or failed member has shown that it lives. */
interface Refuted {
  readonly kind: 'refuted';
  readonly member: MemberId;
  readonly identity: Identity;
  readonly from: MemberState.Suspect | MemberState.Failed;
}

/** A member's process was started again: what its former process was trusted with is void. */
interface Restarted {
  readonly kind: 'restarted';
  readonly member: MemberId;
  readonly identity: Identity;
}

/** This process did not run for a while. */
interface SelfPaused {
  readonly kind: 'self-paused';
  readonly pausedMs: number;
}

/** Others suspected this process; it has raised its incarnation. */
interface SelfSuspected {
  readonly kind: 'self-suspected';
  readonly incarnation: number;
}

/** Whether this process gets answers from enough members to make up a majority with it. */
interface ContactChanged {
  readonly kind: 'contact-changed';
  readonly withMajority: boolean;
}

/** Anything that listeners are told. */
export type MembershipEvent =
  StateChanged | Refuted | Restarted | SelfPaused | SelfSuspected | ContactChanged;

/** Takes events, one at a time, in order. */
export type MembershipListener = (event: MembershipEvent) => void;
