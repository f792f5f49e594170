/** State that the parts of one member share: trackers, observation rows, local health, settings. */
import type { MembershipEnvironment } from './environment.js';
import type { MemberId } from './identity.js';
import type { LocalHealth } from './local-health.js';
import type { LocalMember } from './local-member.js';
import type { ReceiverStatus } from './messages.js';
import { type AgedRow, ObservationTable } from './observation-table.js';
import { PeerTracker } from './peer-tracker.js';
import type { RejectedMessages } from './rejected-messages.js';
import type { MembershipSettings } from './settings.js';
import type { VerdictRules } from './verdict.js';

/** After this many probe intervals since its request, a row no longer counts as evidence. */
const ROW_VALIDITY_INTERVALS = 4;
/** A row that is no older than this many probe intervals is not requested again. */
const ROW_REFRESH_INTERVALS = 1.5;
/** A contact counts as current for this many probe intervals. */
const CONTACT_WINDOW_INTERVALS = 2;

/** The state that the prober, the responder and the roster work on. */
export class MemberContext {
  readonly trackers: ReadonlyMap<MemberId, PeerTracker>;
  readonly observations = new ObservationTable();
  /** Incremented by every pause of this process: a probe round that began before it gives no verdict. */
  pauseCount = 0;

  constructor(
    readonly settings: MembershipSettings,
    readonly environment: MembershipEnvironment,
    readonly local: LocalMember,
    readonly health: LocalHealth,
    readonly rejectedMessages: RejectedMessages,
  ) {
    const peers = settings.members.filter((member) => member !== settings.self);
    this.trackers = new Map(peers.map((member) => [member, new PeerTracker(member)]));
  }

  /** Monotonic time in milliseconds. */
  get now(): number {
    return this.environment.clock.now();
  }

  /** How long a row counts as evidence, from the time of its request. */
  get maxRowAgeMs(): number {
    const { probeIntervalMs, probeTimeoutMs } = this.settings;
    return ROW_VALIDITY_INTERVALS * probeIntervalMs + probeTimeoutMs;
  }

  /** The thresholds for verdicts. */
  get verdictRules(): VerdictRules {
    const { majority, suspicionMs, probeIntervalMs, probeTimeoutMs } = this.settings;
    return {
      majority,
      suspicionMs,
      contactWindowMs: CONTACT_WINDOW_INTERVALS * probeIntervalMs + probeTimeoutMs,
    };
  }

  /** Returns the rows that count as evidence now, this process's own first. */
  freshRows(): AgedRow[] {
    const own = this.local.observationRow(this.trackers.values(), this.health.score);
    return [{ row: own, ageMs: 0 }, ...this.observations.fresh(this.maxRowAgeMs, this.now)];
  }

  /** Returns the members, except the receiver of the request, whose rows the last probes did not bring. */
  missingRows(receiver: MemberId): MemberId[] {
    const { probeIntervalMs } = this.settings;
    const refreshAgeMs = ROW_REFRESH_INTERVALS * probeIntervalMs;
    return [...this.trackers.keys()].filter((member) => {
      if (member === receiver) return false;
      const stored = this.observations.get(member, this.now);
      return stored === null || stored.ageMs > refreshAgeMs;
    });
  }

  /** Returns what we know of the peer that a message goes to, so that it can refute a suspicion. */
  receiverStatusFor(peer: MemberId): ReceiverStatus | null {
    const tracker = this.trackers.get(peer);
    if (!tracker?.identity) return null;
    return { identity: tracker.identity, suspected: tracker.isSuspected };
  }
}
