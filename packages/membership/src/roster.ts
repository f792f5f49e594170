/** Maintains the state of every peer as determined by this process, and emits events for state changes. */
import { PeerSupport } from './environment.js';
import type { MembershipEvent, MembershipListener } from './events.js';
import type { Evidence } from './evidence.js';
import { type Identity, type MemberId, isSameIdentity } from './identity.js';
import type { MemberContext } from './member-context.js';
import type { AgedRow } from './observation-table.js';
import { evaluateMember, MemberState, type Verdict } from './verdict.js';

/** A peer's state, when the state began, and the evidence for it. */
interface RosterEntry {
  readonly state: MemberState;
  readonly sinceMs: number;
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
}

/** Whether a member can refute this state by proving that it is alive. */
function isRefutable(state: MemberState): state is MemberState.Suspect | MemberState.Failed {
  return state === MemberState.Suspect || state === MemberState.Failed;
}

/**
 * Evaluates all peers from the current observation rows. A failed member remains failed until it refutes the verdict,
 * restarts, or runs a version that does not support membership messages.
 */
export class Roster {
  private readonly entries = new Map<MemberId, RosterEntry>();
  private readonly listeners = new Set<MembershipListener>();

  constructor(private readonly context: MemberContext) {
    const sinceMs = context.now;
    for (const member of context.trackers.keys()) {
      this.entries.set(member, { state: MemberState.Unknown, sinceMs, identity: null, evidence: [] });
    }
  }

  /** Registers a listener for all events. The returned function unregisters the listener. */
  listen(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Passes an event to all listeners. */
  emit(event: MembershipEvent): void {
    for (const listener of [...this.listeners]) listener(event);
  }

  /** Returns a peer's entry; null if the member is not a peer. */
  entry(member: MemberId): RosterEntry | null {
    return this.entries.get(member) ?? null;
  }

  /** Returns a peer's state; `Unknown` if the member is not a peer. */
  state(member: MemberId): MemberState {
    return this.entries.get(member)?.state ?? MemberState.Unknown;
  }

  /** Re-evaluates every peer and emits events for changes. */
  evaluate(): void {
    const rows = this.context.freshRows();
    for (const [member, entry] of this.entries) this.update(member, entry, rows);
  }

  private update(member: MemberId, previous: RosterEntry, rows: readonly AgedRow[]): void {
    const verdict = evaluateMember(member, rows, this.context.verdictRules);
    const hasRestarted = this.hasRestarted(previous, verdict);
    const state = this.nextState(member, previous, verdict);
    const identity = verdict.identity ?? previous.identity;
    const hasChanged = state !== previous.state;
    const entry = {
      state,
      sinceMs: hasChanged ? this.context.now : previous.sinceMs,
      identity,
      // An unchanged suspicion or failure keeps its evidence if there is no newer evidence.
      evidence: hasChanged || !isRefutable(state) ? verdict.evidence : this.latestEvidence(previous, verdict),
    };
    this.entries.set(member, entry);
    if (hasRestarted && identity) this.emit({ kind: 'restarted', member, identity });
    if (!hasChanged) return;
    if (isRefutable(previous.state) && state === MemberState.Alive && identity && !hasRestarted) {
      this.emit({ kind: 'refuted', member, identity, from: previous.state });
    }
    const { evidence } = entry;
    this.emit({ kind: 'state-changed', member, identity, from: previous.state, to: state, evidence });
  }

  private latestEvidence(previous: RosterEntry, verdict: Verdict): readonly Evidence[] {
    return verdict.evidence.length > 0 ? verdict.evidence : previous.evidence;
  }

  private hasRestarted({ identity }: RosterEntry, verdict: Verdict): boolean {
    if (identity === null || verdict.identity === null) return false;
    return identity.process !== verdict.identity.process;
  }

  /**
   * Returns a member's new state: `Unknown` if the member's version does not support membership messages. Otherwise a
   * failed member remains failed until it shows another identity, and a member that has left remains so until it shows
   * another process.
   */
  private nextState(member: MemberId, previous: RosterEntry, verdict: Verdict): MemberState {
    const support = this.context.environment.transport.support(member);
    if (support === PeerSupport.Unsupported) return MemberState.Unknown;
    const { identity } = verdict;
    if (identity === null) {
      // No current row mentions the member, so the previous state is kept, except that an alive member becomes suspect.
      return previous.state === MemberState.Alive ? MemberState.Suspect : previous.state;
    }
    if (previous.identity === null) return verdict.state;
    if (previous.state === MemberState.Failed && isSameIdentity(previous.identity, identity))
      return MemberState.Failed;
    if (previous.state === MemberState.Left && previous.identity.process === identity.process) {
      return MemberState.Left;
    }
    return verdict.state;
  }
}
