/** The state of every peer as this process sees it, and the events that changes of it raise. */
import { PeerSupport } from './environment.js';
import type { MembershipEvent, MembershipListener } from './events.js';
import type { Evidence } from './evidence.js';
import { type Identity, type MemberId, isSameIdentity } from './identity.js';
import type { MemberContext } from './member-context.js';
import type { AgedRow } from './observation-table.js';
import { evaluateMember, MemberState, type Verdict } from './verdict.js';

/** A peer's state, since when, and why. */
interface RosterEntry {
  readonly state: MemberState;
  readonly sinceMs: number;
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
}

/** Whether a member in this state can refute it by showing that it is alive. */
function isRefutable(state: MemberState): state is MemberState.Suspect | MemberState.Failed {
  return state === MemberState.Suspect || state === MemberState.Failed;
}

/** Evaluates all peers from the rows that are known, and keeps verdicts until they are refuted. */
export class Roster {
  private readonly entries = new Map<MemberId, RosterEntry>();
  private readonly listeners = new Set<MembershipListener>();

  constructor(private readonly context: MemberContext) {
    const sinceMs = context.now;
    for (const member of context.trackers.keys()) {
      this.entries.set(member, { state: MemberState.Unknown, sinceMs, identity: null, evidence: [] });
    }
  }

  /** Registers a listener for all events; the result unregisters it. */
  listen(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Passes an event to all listeners. */
  emit(event: MembershipEvent): void {
    for (const listener of [...this.listeners]) listener(event);
  }

  /** Returns a peer's entry; null for other names. */
  entry(member: MemberId): RosterEntry | null {
    return this.entries.get(member) ?? null;
  }

  /** Returns a peer's state. */
  state(member: MemberId): MemberState {
    return this.entries.get(member)?.state ?? MemberState.Unknown;
  }

  /** Evaluates every peer again and raises events for what has changed. */
  evaluate(): void {
    const rows = this.context.freshRows();
    for (const [member, entry] of this.entries) this.update(member, entry, rows);
  }

  private update(member: MemberId, before: RosterEntry, rows: readonly AgedRow[]): void {
    const verdict = evaluateMember(member, rows, this.context.verdictRules);
    const hasRestarted = this.hasRestarted(before, verdict);
    const state = this.nextState(member, before, verdict);
    const identity = verdict.identity ?? before.identity;
    const hasChanged = state !== before.state;
    const entry = {
      state,
      sinceMs: hasChanged ? this.context.now : before.sinceMs,
      identity,
      // A verdict that stands keeps the evidence that it rests on.
      evidence: hasChanged || !isRefutable(state) ? verdict.evidence : this.latestEvidence(before, verdict),
    };
    this.entries.set(member, entry);
    if (hasRestarted && identity) this.emit({ kind: 'restarted', member, identity });
    if (!hasChanged) return;
    if (isRefutable(before.state) && state === MemberState.Alive && identity && !hasRestarted) {
      this.emit({ kind: 'refuted', member, identity, from: before.state });
    }
    const { evidence } = entry;
    this.emit({ kind: 'state-changed', member, identity, from: before.state, to: state, evidence });
  }

  private latestEvidence(before: RosterEntry, verdict: Verdict): readonly Evidence[] {
    return verdict.evidence.length > 0 ? verdict.evidence : before.evidence;
  }

  private hasRestarted({ identity }: RosterEntry, verdict: Verdict): boolean {
    if (identity === null || verdict.identity === null) return false;
    return identity.process !== verdict.identity.process;
  }

  /** Returns the new state: a failed or left member stays so until it shows another identity. */
  private nextState(member: MemberId, before: RosterEntry, verdict: Verdict): MemberState {
    const support = this.context.environment.transport.support(member);
    if (support === PeerSupport.Unsupported) return MemberState.Unknown;
    const { identity } = verdict;
    if (identity === null) {
      // No current row mentions the member: the earlier finding still holds.
      return before.state === MemberState.Alive ? MemberState.Suspect : before.state;
    }
    if (before.identity === null) return verdict.state;
    if (before.state === MemberState.Failed && isSameIdentity(before.identity, identity))
      return MemberState.Failed;
    if (before.state === MemberState.Left && before.identity.process === identity.process) {
      return MemberState.Left;
    }
    return verdict.state;
  }
}
