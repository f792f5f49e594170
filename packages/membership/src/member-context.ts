/** State shared by the components of a member: trackers, observation rows, local health, settings. */
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

/** The number of probe intervals after its request for which an observation row counts as evidence. */
const ROW_VALIDITY_INTERVALS = 4;
/** An observation row is requested again once it is older than this number of probe intervals. */
const ROW_REFRESH_INTERVALS = 1.5;
/** The number of probe intervals for which a contact counts as current. */
const CONTACT_WINDOW_INTERVALS = 2;

/** The state that the prober, the responder and the roster share. */
export class MemberContext {
  readonly trackers: ReadonlyMap<MemberId, PeerTracker>;
  readonly observations = new ObservationTable();
  /** The number of pauses of this process. A probe round during which the number changes raises no suspicion. */
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

  /** The age, counted from its request, up to which an observation row counts as evidence. */
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

  /** Returns the observation rows that currently count as evidence, this process's own row first. */
  freshRows(): AgedRow[] {
    const own = this.local.observationRow(this.trackers.values(), this.health.score);
    return [{ row: own, ageMs: 0 }, ...this.observations.fresh(this.maxRowAgeMs, this.now)];
  }

  /**
   * Returns the members whose observation rows are missing or due for a refresh, except the receiver of the request.
   */
  missingRows(receiver: MemberId): MemberId[] {
    const { probeIntervalMs } = this.settings;
    const refreshAgeMs = ROW_REFRESH_INTERVALS * probeIntervalMs;
    return [...this.trackers.keys()].filter((member) => {
      if (member === receiver) return false;
      const stored = this.observations.get(member, this.now);
      return stored === null || stored.ageMs > refreshAgeMs;
    });
  }

  /**
   * Returns what this process knows of the receiver of a message, so that the receiver can refute a suspicion; null:
   * nothing is known of the receiver.
   */
  receiverStatusFor(peer: MemberId): ReceiverStatus | null {
    const tracker = this.trackers.get(peer);
    if (!tracker?.identity) return null;
    return { identity: tracker.identity, suspected: tracker.isSuspected };
  }
}
