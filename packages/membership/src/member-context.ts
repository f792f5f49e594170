/** What is shared by the parts of one member: peers, rows, health, settings. */
import type { MembershipEnvironment } from './environment.js';
import type { MemberId } from './identity.js';
import type { LocalHealth } from './local-health.js';
import type { LocalMember } from './local-member.js';
import type { WordOnReceiver } from './messages.js';
import { type AgedRow, ObservationTable } from './observation-table.js';
import { PeerTracker } from './peer-tracker.js';
import type { Rejects } from './rejects.js';
import type { MembershipSettings } from './settings.js';
import type { VerdictRules } from './verdict.js';

/** Rows that were asked for longer ago than so many probe intervals are no evidence any more. */
const FRESH_INTERVALS = 4;
/** Rows that are no older than so many probe intervals need not be told again. */
const LATEST_INTERVALS = 1.5;
/** A contact counts as present for so many probe intervals. */
const CONTACT_INTERVALS = 2;

/** The state that probing, answering and judging work on. */
export class MemberContext {
  readonly trackers: ReadonlyMap<MemberId, PeerTracker>;
  readonly table = new ObservationTable();
  /** Raised by every pause: what was begun before it is not judged. */
  pauses = 0;

  constructor(
    readonly settings: MembershipSettings,
    readonly environment: MembershipEnvironment,
    readonly local: LocalMember,
    readonly health: LocalHealth,
    readonly rejects: Rejects,
  ) {
    const peers = settings.members.filter((member) => member !== settings.self);
    this.trackers = new Map(peers.map((member) => [member, new PeerTracker(member)]));
  }

  get now(): number {
    return this.environment.clock.now();
  }

  /** How long a row counts, from when it was asked for. */
  get freshMs(): number {
    const { probeIntervalMs, probeTimeoutMs } = this.settings;
    return FRESH_INTERVALS * probeIntervalMs + probeTimeoutMs;
  }

  get rules(): VerdictRules {
    const { majority, suspicionMs, probeIntervalMs, probeTimeoutMs } = this.settings;
    return { majority, suspicionMs, contactWindowMs: CONTACT_INTERVALS * probeIntervalMs + probeTimeoutMs };
  }

  /** The rows that count now, our own first. */
  freshRows(): AgedRow[] {
    const own = this.local.row(this.trackers.values(), this.health.score);
    return [{ row: own, ageMs: 0 }, ...this.table.fresh(this.freshMs, this.now)];
  }

  /** Members, but for the one that is asked, whose rows were not brought by the last probes of ours. */
  missingRows(asked: MemberId): MemberId[] {
    const { probeIntervalMs } = this.settings;
    const latestMs = LATEST_INTERVALS * probeIntervalMs;
    return [...this.trackers.keys()].filter((member) => {
      if (member === asked) return false;
      const row = this.table.get(member, this.now);
      return row === null || row.ageMs > latestMs;
    });
  }

  /** What we know of the peer that a message goes to. */
  wordOn(peer: MemberId): WordOnReceiver | null {
    const tracker = this.trackers.get(peer);
    if (!tracker?.identity) return null;
    return { identity: tracker.identity, suspected: tracker.suspected };
  }
}
