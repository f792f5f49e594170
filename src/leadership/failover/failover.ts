/**
 * Failure detection in a controller: watches the other controllers, prepares this one to succeed a suspected leader and,
 * where that is switched on, replaces a leader before its lease expires once a majority has found it unresponsive.
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
import type { MemberLine } from '../../wire/members.js';
import type { ControllerContext } from '../../core/context.js';
import type { RecordSet } from '../../store/records.js';
import type { ElectionFailureDetection } from '../election.js';
import type { LeadershipHandle } from '../leadership-handle.js';
import { membershipSettings } from './failover-settings.js';
import { CLUSTER_UNIT, LeaderClaims } from './leader-claims.js';
import { RecordPrefetcher } from './record-prefetcher.js';

/** The leader's record is read this often where nothing announces a change. */
const LEADER_READ_INTERVAL_MS = 10_000;
/** The second choice for a free leadership waits so long, the third twice as long. */
const CANDIDACY_DELAY_STEP_MS = 100;
/** And nobody longer than this: the better ones may be gone. */
const MAX_CANDIDACY_DELAY_MS = 300;

/** What failure detection works with. */
export interface FailoverDependencies {
  readonly context: ControllerContext;
  readonly feature: FailoverFeature;
  readonly transport: Transport;
  /** Whether every other controller last showed at least this protocol version, be it connected now or not. */
  readonly everyPeerHasSupported: (version: number) => boolean;
  readonly leadership: LeadershipHandle;
  /** Whether this controller reaches the key-value store. */
  readonly isStoreReachable: () => boolean;
}

/** Everything that a controller with failure detection does beyond what one without does. */
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
        // The election has begun the term already.
        adopt: () => Promise.resolve(),
        stop: ({ epoch }) => this.onReplaced(epoch),
      },
    );
  }

  /** Joins the membership; call before the election starts. */
  start(): void {
    this.dependencies.leadership.election.useFailureDetection(this);
    this.membership.start();
    this.coordinator.start();
  }

  /** Hands the leadership over and says goodbye, so that nobody has to suspect this controller. */
  async leave(): Promise<void> {
    this.dependencies.leadership.resignPermanently();
    await this.membership.leave();
    this.coordinator.stop();
    this.membership.stop();
  }

  /** Answers a peer's message; null: it was dropped. */
  handleMessage(payload: Buffer): Promise<Uint8Array | null> {
    return this.membership.handle(payload);
  }

  /** The records under a prefix that were prefetched, brought up to date; null: none. Each is handed out once. */
  takePrefetchedRecords(prefix: string): Promise<RecordSet | null> {
    return this.prefetcher.take(prefix);
  }

  // For the election (`ElectionFailureDetection`)

  /** Identifies this start of the process among the members. */
  get processId(): string {
    return this.membership.identity.process;
  }

  onLeaderChanged(): void {
    this.coordinator.refresh(CLUSTER_UNIT);
  }

  onLeadershipEnded(): void {
    this.coordinator.markRelinquished(CLUSTER_UNIT);
  }

  /** By this controller's rank among the possible successors; the first one does not wait. */
  candidacyDelayMs(): number {
    const ranking = rankSuccessors(CLUSTER_UNIT, this.membership.members());
    const rank = ranking.indexOf(this.dependencies.context.member as string as MemberId);
    return rank < 0 ? 0 : Math.min(MAX_CANDIDACY_DELAY_MS, rank * CANDIDACY_DELAY_STEP_MS);
  }

  /** The process was paused: a leader confirms its lease before it acts again. */
  private onPaused(pausedMs: number): void {
    const { leadership, context } = this.dependencies;
    if (leadership.leadingEpoch === null) return;
    context.log.info(
      { pausedMs: Math.round(pausedMs) },
      'process paused while leading: confirming the lease first',
    );
    leadership.election.lease.renewNow();
  }

  /** Ends the term that another controller has replaced; the coordinator has logged on which evidence. */
  private onReplaced(epoch: number): void {
    const { leadership } = this.dependencies;
    if (leadership.leadingEpoch === epoch) leadership.endTerm('replaced by another controller');
  }

  /** Logs what changed, and on which evidence. */
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

  // For operators

  /** All controllers as this one sees them. */
  memberLines(): MemberLine[] {
    const leader = this.dependencies.leadership.election.observedLeader;
    return this.membership.members().map((view) => memberLine(view, leader));
  }

  /** How many messages of other controllers were dropped since the start, by reason. */
  droppedMessages(): Record<string, number> {
    return Object.fromEntries(this.membership.rejected);
  }

  /** Fields for the summary in the log. */
  summary(): object {
    const states = this.membership.members().map(({ member, state }) => [member, state]);
    const notAlive = Object.fromEntries(states.filter(([, state]) => state !== MemberState.Alive)) as object;
    return { controllers: notAlive, takeover: this.coordinator.stage(CLUSTER_UNIT).kind };
  }
}

function memberLine(view: MemberView, leader: { member: string; epoch: number } | null): MemberLine {
  const { member, state, forMs, connection, load, ready, evidence } = view;
  const owns = leader?.member === member ? [`cluster (epoch ${leader.epoch})`] : [];
  const lines = evidence.map(describeEvidence);
  return { member, state, forMs: Math.max(0, forMs), connection, load, ready, evidence: lines, owns };
}
