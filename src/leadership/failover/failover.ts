/**
 * Failure detection in a controller: watches the other controllers, prepares this one to succeed a suspected leader and,
 * where that is switched on, replaces a leader that a majority has found silent before its grant ends.
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
import type { ElectionFailureDetection } from '../../leadership/election.js';
import type { Leadership } from '../../controller/leadership.js';
import { membershipSettings } from './failover-settings.js';
import { CLUSTER, LeaderClaims } from './leader-claims.js';
import type { RecordSet } from '../../store/records.js';
import { RecordPrefetch } from './record-prefetch.js';

/** The leader's record is read this often where nothing tells of a change. */
const READ_EVERY_MS = 10_000;
/** The second choice for a free leadership waits so long, the third twice as long. */
const STANDBY_STEP_MS = 100;
/** And nobody longer than this: the better ones may be gone. */
const STANDBY_MOST_MS = 300;

/** What failure detection works with. */
export interface FailoverEnvironment {
  readonly context: ControllerContext;
  readonly feature: FailoverFeature;
  readonly transport: Transport;
  /** Whether every other controller has shown this protocol version. */
  readonly allHaveSpoken: (version: number) => boolean;
  readonly leadership: Leadership;
  /** Whether this node reaches the state service. */
  readonly stateOk: () => boolean;
}

/** Everything that a node with failure detection does beside what one without does. */
export class Failover implements ElectionFailureDetection {
  private readonly membership: Membership;
  private readonly coordinator: TakeoverCoordinator<void>;
  private readonly prefetch: RecordPrefetch;
  readonly guard: EffectGate;

  /** Throws `MembershipSettingsError`. */
  constructor(private readonly environment: FailoverEnvironment) {
    const { context, feature, transport, leadership } = environment;
    const { clock, log, store, random } = context;
    this.membership = new Membership(membershipSettings(context.settings, feature), {
      clock,
      random,
      log,
      transport,
      selfReport: () => ({
        load: context.load(),
        ready: environment.stateOk() && context.machineTypes.size > 0,
      }),
    });
    this.prefetch = new RecordPrefetch(store, clock, log);
    this.guard = new EffectGate(this.membership, (pausedMs) => this.woke(pausedMs));
    const claims = new LeaderClaims({
      store,
      clock,
      election: leadership.election,
      mayReplaceEarly: () => feature.earlyTakeover && environment.allHaveSpoken(MEMBERSHIP_VERSION),
    });
    const settings = {
      ...DEFAULT_TAKEOVER_SETTINGS,
      maxReadingAgeMs: READ_EVERY_MS,
      claimOnFailure: feature.earlyTakeover,
    };
    this.coordinator = new TakeoverCoordinator<void>(
      [CLUSTER],
      { clock, log, membership: this.membership, claims, settings },
      {
        prepare: () => this.prefetch.begin(),
        discard: () => this.prefetch.discard(),
        // The election has begun the leadership already.
        adopt: () => Promise.resolve(),
        stop: ({ epoch }, why) => this.replaced(epoch, why),
      },
    );
    this.membership.listen((event) => this.tell(event));
  }

  start(): void {
    this.environment.leadership.election.useFailureDetection(this);
    this.membership.start();
    this.coordinator.start();
  }

  /** Hands the leadership over and says goodbye, so that nobody has to suspect this controller. */
  async leave(): Promise<void> {
    this.environment.leadership.resignPermanently();
    await this.membership.leave();
    this.coordinator.stop();
    this.membership.stop();
  }

  /** A peer's message; null: dropped. */
  handle(payload: Buffer): Promise<Uint8Array | null> {
    return this.membership.handle(payload);
  }

  /** Records that were read ahead; null: none. */
  readAhead(prefix: string): Promise<RecordSet | null> {
    return this.prefetch.take(prefix);
  }

  // For the election (`ElectionAid`)

  get process(): string {
    return this.membership.identity.process;
  }

  leaderChanged(): void {
    this.coordinator.refresh(CLUSTER);
  }

  leadershipEnded(): void {
    this.coordinator.markRelinquished(CLUSTER);
  }

  /** By its place among the possible successors; one that has prepared does not wait. */
  standbyMs(): number {
    const ranking = rankSuccessors(CLUSTER, this.membership.members());
    const rank = ranking.indexOf(this.environment.context.member as string as MemberId);
    return rank < 0 ? 0 : Math.min(STANDBY_MOST_MS, rank * STANDBY_STEP_MS);
  }

  private woke(pausedMs: number): void {
    const { leadership, context } = this.environment;
    if (leadership.leader === null) return;
    context.log.info(
      { pausedMs: Math.round(pausedMs) },
      'stood still while leading: the grant is confirmed first',
    );
    leadership.election.renewNow();
  }

  private replaced(epoch: number, why: string): void {
    const { leadership } = this.environment;
    if (leadership.leader?.epoch === epoch) leadership.leader.end(why);
  }

  /** Lines for the log: what changed, and on which evidence. */
  private tell(event: MembershipEvent): void {
    const { log } = this.environment.context;
    switch (event.kind) {
      case 'state-changed': {
        const { member, from, to, evidence } = event;
        log.info(
          { member, from, to, evidence: evidence.map(describeEvidence) },
          'a controller changed its state',
        );
        break;
      }
      case 'contact-changed':
        log.info({ withMajority: event.hasMajority }, 'contact with the other controllers changed');
        break;
      case 'self-suspected':
        log.info(
          { incarnation: event.incarnation },
          'the others suspected this controller, which has refuted it',
        );
        break;
      default:
        log.debug({ event }, 'membership');
    }
  }

  // For operators

  /** All controllers as this one sees them. */
  lines(): MemberLine[] {
    const leader = this.environment.leadership.election.leader;
    return this.membership.members().map((view) => memberLine(view, leader));
  }

  dropped(): Record<string, number> {
    return Object.fromEntries(this.membership.rejected);
  }

  /** For the log. */
  summary(): object {
    const states = this.membership.members().map(({ member, state }) => [member, state]);
    const unwell = Object.fromEntries(states.filter(([, state]) => state !== MemberState.Alive)) as object;
    return { controllers: unwell, takeover: this.coordinator.stage(CLUSTER).kind };
  }
}

function memberLine(view: MemberView, leader: { member: string; epoch: number } | null): MemberLine {
  const { member, state, forMs, connection, load, ready, evidence } = view;
  const owns = leader?.member === member ? [`cluster (epoch ${leader.epoch})`] : [];
  const lines = evidence.map(describeEvidence);
  return { member, state, forMs: Math.max(0, forMs), connection, load, ready, evidence: lines, owns };
}
