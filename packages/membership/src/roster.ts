/** The state of every member as seen from here, and the events that its changes raise. */
import { PeerSupport } from './environment.js';
import type { MembershipEvent, MembershipListener } from './events.js';
import type { Evidence } from './evidence.js';
import { type Identity, type MemberId, sameIdentity } from './identity.js';
import type { MemberContext } from './member-context.js';
import type { AgedRow } from './observation-table.js';
import { judge, MemberState, type Verdict } from './verdict.js';

/** A peer's state, since when, and why. */
interface RosterEntry {
  readonly state: MemberState;
  readonly sinceMs: number;
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
}

/** The states out of which a member comes by showing that it lives. */
function refutable(state: MemberState): state is MemberState.Suspect | MemberState.Failed {
  return state === MemberState.Suspect || state === MemberState.Failed;
}

/** Judges all peers from the rows that are known, and remembers verdicts until they are refuted. */
export class Roster {
  private readonly entries = new Map<MemberId, RosterEntry>();
  private readonly listeners = new Set<MembershipListener>();

  constructor(private readonly context: MemberContext) {
    const sinceMs = context.now;
    for (const member of context.trackers.keys()) {
      this.entries.set(member, { state: MemberState.Unknown, sinceMs, identity: null, evidence: [] });
    }
  }

  listen(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  emit(event: MembershipEvent): void {
    for (const listener of [...this.listeners]) listener(event);
  }

  entry(member: MemberId): RosterEntry | null {
    return this.entries.get(member) ?? null;
  }

  state(member: MemberId): MemberState {
    return this.entries.get(member)?.state ?? MemberState.Unknown;
  }

  /** Judges every peer anew. */
  evaluate(): void {
    const rows = this.context.freshRows();
    for (const [member, entry] of this.entries) this.update(member, entry, rows);
  }

  private update(member: MemberId, before: RosterEntry, rows: readonly AgedRow[]): void {
    const verdict = judge(member, rows, this.context.rules);
    const restarted = this.restarted(before, verdict);
    const state = this.settle(member, before, verdict);
    const identity = verdict.identity ?? before.identity;
    const changed = state !== before.state;
    const entry = {
      state,
      sinceMs: changed ? this.context.now : before.sinceMs,
      identity,
      // A verdict keeps the evidence that it rests on.
      evidence: changed || !refutable(state) ? verdict.evidence : this.kept(before, verdict),
    };
    this.entries.set(member, entry);
    if (restarted && identity) this.emit({ kind: 'restarted', member, identity });
    if (!changed) return;
    if (refutable(before.state) && state === MemberState.Alive && identity && !restarted) {
      this.emit({ kind: 'refuted', member, identity, from: before.state });
    }
    const { evidence } = entry;
    this.emit({ kind: 'state-changed', member, identity, from: before.state, to: state, evidence });
  }

  private kept(before: RosterEntry, verdict: Verdict): readonly Evidence[] {
    return verdict.evidence.length > 0 ? verdict.evidence : before.evidence;
  }

  private restarted({ identity }: RosterEntry, verdict: Verdict): boolean {
    if (identity === null || verdict.identity === null) return false;
    return identity.process !== verdict.identity.process;
  }

  /** The new state: verdicts and goodbyes hold until the member shows another identity. */
  private settle(member: MemberId, before: RosterEntry, verdict: Verdict): MemberState {
    const support = this.context.environment.transport.support(member);
    if (support === PeerSupport.Unsupported) return MemberState.Unknown;
    const { identity } = verdict;
    if (identity === null) {
      // Nothing fresh tells of it: what was found out before still holds.
      return before.state === MemberState.Alive ? MemberState.Suspect : before.state;
    }
    if (before.identity === null) return verdict.state;
    if (before.state === MemberState.Failed && sameIdentity(before.identity, identity))
      return MemberState.Failed;
    if (before.state === MemberState.Left && before.identity.process === identity.process) {
      return MemberState.Left;
    }
    return verdict.state;
  }
}
