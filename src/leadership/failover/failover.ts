/**
 * Failure detection in a controller: monitors the other controllers and prefetches the records of a suspected leader.
 * With early takeover enabled, this module replaces a leader that a majority has found unresponsive before the leader's
 * lease expires.
 */
import {
  describeEvidence,
  Membership,
  type MemberId,
  type MembershipEvent,
  MemberState,
  type MemberView,
  type Transport,
} from '@plumyoke/membership';
import {
  DEFAULT_TAKEOVER_SETTINGS,
  EffectGate,
  rankSuccessors,
  TakeoverCoordinator,
} from '@plumyoke/takeover';
import type { FailoverFeature } from '../../config/features.js';
import { MEMBERSHIP_VERSION } from '../../model/protocol.js';
import type { MemberEntry } from '../../wire/members.js';
import type { ControllerContext } from '../../core/context.js';
import type { RecordSet } from '../../store/records.js';
import type { ElectionFailureDetection } from '../election.js';
import type { LeadershipHandle } from '../leadership-handle.js';
import { membershipSettings } from './failover-settings.js';
import { CLUSTER_UNIT, LeaderClaims } from './leader-claims.js';
import { RecordPrefetcher } from './record-prefetcher.js';

/** How often the leader record is read while no event announces a change. */
const LEADER_READ_INTERVAL_MS = 10_000;
/** The candidacy delay per rank: the second-ranked successor waits for one step, the third-ranked for two. */
const CANDIDACY_DELAY_STEP_MS = 100;
/** The upper bound of the candidacy delay, since higher-ranked successors may have failed. */
const MAX_CANDIDACY_DELAY_MS = 300;

/** The dependencies of failure detection. */
export interface FailoverDependencies {
  readonly context: ControllerContext;
  readonly feature: FailoverFeature;
  readonly transport: Transport;
  /**
   * Returns whether the last protocol version received from every other controller, connected or not, is at least
   * `version`.
   */
  readonly everyPeerHasSupported: (version: number) => boolean;
  readonly leadership: LeadershipHandle;
  /** Returns whether this controller reaches the key-value store. */
  readonly isStoreReachable: () => boolean;
}

/**
 * Runs failure detection in a controller: membership, takeover of the leadership, and prefetching of the leader's
 * records.
 */
export class Failover implements ElectionFailureDetection {
  private readonly membership: Membership;
  private readonly coordinator: TakeoverCoordinator<void>;
  private readonly prefetcher: RecordPrefetcher;
  readonly pauseGuard: EffectGate;

  /** Throws `MembershipSettingsError`. */
  constructor(private readonly dependencies: FailoverDependencies) {
    const { clock, log, store } = dependencies.context;
    this.membership = this.createMembership();
    this.prefetcher = new RecordPrefetcher(store, clock, log);
    this.pauseGuard = new EffectGate(this.membership, (pausedMs) => this.onPaused(pausedMs));
    this.coordinator = this.createCoordinator();
    this.membership.listen((event) => this.logEvent(event));
  }

  private createMembership(): Membership {
    const { context, feature, transport, isStoreReachable } = this.dependencies;
    const { clock, log, random } = context;
    return new Membership(membershipSettings(context.settings, feature), {
      clock,
      random,
      log,
      transport,
      selfReport: () => ({
        load: context.load(),
        ready: isStoreReachable() && context.machineTypes.size > 0,
      }),
    });
  }

  private createCoordinator(): TakeoverCoordinator<void> {
    const { context, feature, leadership, everyPeerHasSupported } = this.dependencies;
    const { clock, log, store } = context;
    const claims = new LeaderClaims({
      store,
      clock,
      election: leadership.election,
      mayReplaceEarly: () => feature.earlyTakeover && everyPeerHasSupported(MEMBERSHIP_VERSION),
    });
    const settings = {
      ...DEFAULT_TAKEOVER_SETTINGS,
      maxReadingAgeMs: LEADER_READ_INTERVAL_MS,
      claimOnFailure: feature.earlyTakeover,
    };
    return new TakeoverCoordinator<void>(
      [CLUSTER_UNIT],
      { clock, log, membership: this.membership, claims, settings },
      {
        prepare: () => this.prefetcher.start(),
        discard: () => this.prefetcher.discard(),
        // No action is needed here, because the election has already started the term.
        adopt: () => Promise.resolve(),
        stop: ({ epoch }) => this.onReplaced(epoch),
      },
    );
  }

  /** Joins the membership; must be called before the election starts. */
  start(): void {
    this.dependencies.leadership.election.useFailureDetection(this);
    this.membership.start();
    this.coordinator.start();
  }

  /**
   * Resigns the leadership and leaves the membership, so that the other controllers do not suspect this controller of a
   * failure.
   */
  async leave(): Promise<void> {
    this.dependencies.leadership.resignPermanently();
    await this.membership.leave();
    this.coordinator.stop();
    this.membership.stop();
  }

  /** Processes a peer's message and resolves with the response; null: the message was dropped. */
  handleMessage(payload: Buffer): Promise<Uint8Array | null> {
    return this.membership.handle(payload);
  }

  /**
   * Resolves with the prefetched records under a prefix, with all later changes applied; null: none were prefetched,
   * the prefetch failed, the records were taken by an earlier call, or the later changes are no longer available.
   * Rejects with the errors of the store client; the prefetched records are then discarded.
   */
  takePrefetchedRecords(prefix: string): Promise<RecordSet | null> {
    return this.prefetcher.take(prefix);
  }

  // Implementation of `ElectionFailureDetection`

  /** The identity of this process instance among the members; a restarted process has a new identity. */
  get processId(): string {
    return this.membership.identity.process;
  }

  onLeaderChanged(): void {
    this.coordinator.refresh(CLUSTER_UNIT);
  }

  onLeadershipEnded(): void {
    this.coordinator.markRelinquished(CLUSTER_UNIT);
  }

  /**
   * Returns the delay by this controller's rank among the possible successors; neither the first-ranked successor nor a
   * controller that is not among the possible successors waits.
   */
  candidacyDelayMs(): number {
    const ranking = rankSuccessors(CLUSTER_UNIT, this.membership.members());
    const rank = ranking.indexOf(this.dependencies.context.member as string as MemberId);
    return rank < 0 ? 0 : Math.min(MAX_CANDIDACY_DELAY_MS, rank * CANDIDACY_DELAY_STEP_MS);
  }

  /** Handles a pause of this process: a leader renews its lease, which is invalid until the renewal confirms it. */
  private onPaused(pausedMs: number): void {
    const { leadership, context } = this.dependencies;
    if (leadership.leadingEpoch === null) return;
    context.log.info(
      { pausedMs: Math.round(pausedMs) },
      'process paused while leading; renewing the lease before acting as leader again',
    );
    leadership.election.lease.renewNow();
  }

  /**
   * Ends this controller's term of `epoch`, unless that term has already ended, after another controller has taken
   * over; the coordinator has logged a warning about the replacement.
   */
  private onReplaced(epoch: number): void {
    const { leadership } = this.dependencies;
    if (leadership.leadingEpoch === epoch) leadership.endTerm('replaced by another controller');
  }

  /** Logs a membership event; a changed controller state is logged with its evidence. */
  private logEvent(event: MembershipEvent): void {
    const { log } = this.dependencies.context;
    switch (event.kind) {
      case 'state-changed': {
        const { member, from, to, evidence } = event;
        log.info({ member, from, to, evidence: evidence.map(describeEvidence) }, 'controller state changed');
        break;
      }
      case 'contact-changed':
        log.info({ withMajority: event.hasMajority }, 'contact with majority changed');
        break;
      case 'self-suspected':
        log.info({ incarnation: event.incarnation }, 'suspicion of this controller refuted');
        break;
      default:
        log.debug({ event }, 'membership event');
    }
  }

  // Reports for operators

  /** Returns the state of all controllers as this controller observes them. */
  memberEntries(): MemberEntry[] {
    const leader = this.dependencies.leadership.election.observedLeader;
    return this.membership.members().map((view) => memberEntry(view, leader));
  }

  /**
   * Returns the number of rejected membership messages since the process started, by `RejectReason`. The numbers
   * include stale requests, which are answered, and this process's own requests that exceeded the rate limit.
   */
  droppedMessages(): Record<string, number> {
    return Object.fromEntries(this.membership.rejected);
  }

  /** Returns the failure detection fields of the periodic summary in the log. */
  summary(): object {
    const states = this.membership.members().map(({ member, state }) => [member, state]);
    const nonAliveStates = Object.fromEntries(
      states.filter(([, state]) => state !== MemberState.Alive),
    ) as object;
    return { controllers: nonAliveStates, takeover: this.coordinator.stage(CLUSTER_UNIT).kind };
  }
}

function memberEntry(view: MemberView, leader: { member: string; epoch: number } | null): MemberEntry {
  const { member, state, forMs, connection, load, ready, evidence } = view;
  const owns = leader?.member === member ? [`cluster (epoch ${leader.epoch})`] : [];
  const evidenceLines = evidence.map(describeEvidence);
  return { member, state, forMs: Math.max(0, forMs), connection, load, ready, evidence: evidenceLines, owns };
}
