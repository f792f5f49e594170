/** A cluster of controllers with membership and takeover on a virtual clock, into which tests inject faults. */
import {
  DEFAULT_TUNING,
  majorityOf,
  Membership,
  type MemberId,
  MemberState,
  type MembershipEvent,
  type MembershipSettings,
  PeerSupport,
} from '@plumyoke/membership';
import {
  DEFAULT_TAKEOVER_SETTINGS,
  type Ownership,
  TakeoverCoordinator,
  type UnitId,
} from '@plumyoke/takeover';
import { OwnershipRegistry } from '@plumyoke/takeover/reference';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { EffectHistory } from './history.js';
import { SimulatedNetwork } from './network.js';
import { SharedStore } from './shared-store.js';
import { ProcessClock, VirtualClock } from './virtual-clock.js';

/** The interval at which an owner starts a job on each of its units. */
const JOB_START_INTERVAL_MS = 100;
const LINK_SAMPLE_INTERVAL_MS = 50;

/** Deliberate defects of a cluster. Tests use the defects to show that the checks detect each of them. */
export interface Defects {
  /** Resources accept effects of replaced owners. */
  readonly noFencing?: boolean;
  /** Messages hide from their receiver that the receiver is suspected, so suspicions are never refuted. */
  readonly noRefutation?: boolean;
  /** A single observer can declare a member failed. */
  readonly noMajority?: boolean;
}

/** The options of a simulated cluster. */
export interface ClusterOptions {
  readonly controllers: number;
  readonly units: number;
  readonly seed: number;
  readonly defects?: Defects;
}

/** A running controller process, which may be paused. */
interface RunningController {
  readonly clock: ProcessClock;
  readonly membership: Membership;
  readonly coordinator: TakeoverCoordinator<number>;
  isPaused: boolean;
}

/** A membership event, with the member that observed the event and the time of the observation. */
export interface ObservedEvent {
  readonly at: number;
  readonly observer: MemberId;
  readonly event: MembershipEvent;
}

/** The parts of a membership message that the defect `noRefutation` changes. */
interface SuspicionsInMessage {
  aboutReceiver: { suspected: boolean } | null;
  rows?: { peers: { identity: { member: string }; suspectedForMs: number | null }[] }[];
}

/** Returns a copy of a message from which `receiver` cannot learn that other members suspect `receiver`. */
function removeSuspicionOf(receiver: MemberId, payload: Uint8Array): Uint8Array {
  const message = JSON.parse(Buffer.from(payload).toString('utf8')) as SuspicionsInMessage;
  if (message.aboutReceiver) message.aboutReceiver.suspected = false;
  for (const { peers } of message.rows ?? []) {
    for (const peer of peers) if (peer.identity.member === receiver) peer.suspectedForMs = null;
  }
  return Buffer.from(JSON.stringify(message));
}

const silentLog = { info: () => {}, warn: () => {} };

/** A cluster whose controllers all run in this process, on a virtual clock and from a seeded random generator. */
export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly random: () => number;
  readonly network: SimulatedNetwork;
  readonly store: SharedStore;
  readonly history: EffectHistory;
  readonly members: readonly MemberId[];
  readonly units: readonly UnitId[];
  readonly events: ObservedEvent[] = [];
  /** All warnings that the controllers logged, each prefixed with the member. */
  readonly warnings: string[] = [];
  private readonly running = new Map<MemberId, RunningController>();
  private readonly connectedSince = new Map<string, number>();
  private jobCount = 0;
  /** Failure verdicts that contradict the actual links, as `checkVerdict` determines. Each entry is a description. */
  readonly unfoundedVerdicts: string[] = [];

  constructor(private readonly options: ClusterOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.network = new SimulatedNetwork(this.clock, this.random);
    this.store = new SharedStore(this.clock, this.random);
    this.history = new EffectHistory(!options.defects?.noFencing);
    this.members = Array.from({ length: options.controllers }, (_, index) => `c${index}` as MemberId);
    this.units = Array.from({ length: options.units }, (_, index) => `unit-${index}` as UnitId);
    this.scheduleLinkSample();
  }

  get settings(): MembershipSettings {
    const majority = majorityOf(this.members.length);
    return { ...DEFAULT_TUNING, self: this.members[0] as MemberId, members: this.members, majority };
  }

  startAll(): void {
    for (const member of this.members) this.start(member);
  }

  start(member: MemberId): void {
    if (this.running.has(member)) return;
    // Each process's wall clock is off by up to 1 s, so a restarted process may seem older than its predecessor.
    const clock = new ProcessClock(this.clock, (this.random() - 0.5) * 2000);
    const settings = { ...this.settings, self: member };
    const membership = this.createMembership(member, settings, clock);
    // The defect `noMajority` lowers the majority only after the membership has validated the settings, since the
    // validation rejects a number that is less than a majority.
    if (this.options.defects?.noMajority) settings.majority = 1;
    const log = {
      info: () => {},
      warn: (_: object, text: string) => this.warnings.push(`${member}: ${text}`),
    };
    const claims = new OwnershipRegistry(this.store.clientFor(member, clock));
    const coordinator = new TakeoverCoordinator<number>(
      this.units,
      { clock, log, membership, claims, settings: DEFAULT_TAKEOVER_SETTINGS },
      {
        prepare: () => Promise.resolve(this.clock.now()),
        discard: () => {},
        adopt: () => Promise.resolve(),
        stop: () => {},
      },
    );
    const controller: RunningController = { clock, membership, coordinator, isPaused: false };
    this.running.set(member, controller);
    this.network.attach(member, { clock, handler: (payload) => membership.handle(payload) });
    membership.listen((event) => this.recordEvent(member, event));
    membership.start();
    coordinator.start();
    this.scheduleJobStarts(member, controller, claims);
  }

  private createMembership(member: MemberId, settings: MembershipSettings, clock: ProcessClock): Membership {
    const { noRefutation } = this.options.defects ?? {};
    const filterMessage = (receiver: MemberId, payload: Uint8Array): Uint8Array =>
      noRefutation ? removeSuspicionOf(receiver, payload) : payload;
    return new Membership(settings, {
      clock,
      random: this.random,
      log: silentLog,
      selfReport: () => ({ load: 0.1, ready: true }),
      transport: {
        support: () => PeerSupport.Supported,
        request: async (to, payload, deadlineMs) => {
          const answer = await this.network.request(
            member,
            to,
            filterMessage(to, payload),
            deadlineMs,
            clock,
          );
          return answer === null ? null : filterMessage(member, answer);
        },
      },
    });
  }

  /**
   * Makes an owner start jobs periodically. Each job is first recorded in the store, then started by an effect that may
   * arrive late.
   */
  private scheduleJobStarts(
    member: MemberId,
    controller: RunningController,
    claims: OwnershipRegistry,
  ): void {
    controller.clock.after(JOB_START_INTERVAL_MS, () => {
      for (const unit of this.units) {
        const ownership = controller.coordinator.currentOwnership(unit);
        if (ownership) void this.startJob(ownership, claims);
      }
      this.scheduleJobStarts(member, controller, claims);
    });
  }

  private async startJob(ownership: Ownership, claims: OwnershipRegistry): Promise<void> {
    const { unit, owner, epoch } = ownership;
    // All processes and units share `jobCount`, so a number recurs only after 500 attempts in the whole cluster. A job
    // that the store already holds is not started again.
    const job = `${unit}/job-${this.jobCount % 500}`;
    this.jobCount++;
    const key = `job/${job}`;
    if (this.store.get(key) !== null) return;
    try {
      const absentCondition = { key, revision: 0 as never };
      const result = await claims.commitAs(ownership, [absentCondition], [{ key, value: { epoch } }]);
      if (!result.committed) return;
    } catch {
      return;
    }
    const lateMs = this.random() < 0.1 ? this.random() * 5000 : 2;
    this.clock.after(lateMs, () =>
      this.history.recordJobStart(job, { unit, owner, epoch }, this.clock.now()),
    );
  }

  kill(member: MemberId): void {
    const controller = this.running.get(member);
    if (!controller) return;
    controller.clock.isAlive = false;
    this.running.delete(member);
    this.network.detach(member);
  }

  /** Pauses the member's process. The process's clocks continue. */
  pause(member: MemberId): void {
    const controller = this.running.get(member);
    if (!controller || controller.isPaused) return;
    controller.isPaused = true;
    controller.clock.pause();
  }

  resume(member: MemberId): void {
    const controller = this.running.get(member);
    if (!controller?.isPaused) return;
    controller.isPaused = false;
    controller.clock.resume();
  }

  /** Shuts a controller down gracefully: releases its units, announces its departure and ends its process. */
  async leave(member: MemberId): Promise<void> {
    const controller = this.running.get(member);
    if (!controller || controller.isPaused) return;
    await controller.coordinator.leave();
    await controller.membership.leave();
    controller.coordinator.stop();
    controller.membership.stop();
    this.kill(member);
  }

  /** Ends all faults: restores all links and the store, and resumes or starts every process. */
  endFaults(): void {
    this.network.healAll();
    this.store.isUnavailable = false;
    this.store.refusedClients.clear();
    this.store.lateCommitRate = 0;
    for (const member of this.members) {
      this.resume(member);
      this.start(member);
    }
  }

  isRunning(member: MemberId): boolean {
    return this.running.get(member)?.isPaused === false;
  }

  membership(member: MemberId): Membership {
    const controller = this.running.get(member);
    if (!controller) throw new Error(`${member} is not running`);
    return controller.membership;
  }

  state(observer: MemberId, subject: MemberId): MemberState {
    return this.membership(observer).state(subject);
  }

  /**
   * Returns the running controllers that may act on the unit now in their own view. Paused controllers are excluded.
   */
  ownersOf(unit: UnitId): MemberId[] {
    return [...this.running]
      .filter(([, { coordinator, isPaused }]) => !isPaused && coordinator.currentOwnership(unit) !== null)
      .map(([member]) => member);
  }

  stageOf(member: MemberId, unit: UnitId): string {
    return this.running.get(member)?.coordinator.stage(unit).kind ?? 'not running';
  }

  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  // Sampling of the actual links, against which failure verdicts are checked

  private scheduleLinkSample(): void {
    this.clock.after(LINK_SAMPLE_INTERVAL_MS, () => {
      const now = this.clock.now();
      for (const from of this.members) {
        for (const to of this.members) this.sampleLink(from, to, now);
      }
      this.scheduleLinkSample();
    });
  }

  private sampleLink(from: MemberId, to: MemberId, now: number): void {
    const key = `${from} ${to}`;
    const isConnected =
      this.isRunning(from) &&
      this.isRunning(to) &&
      this.network.faults.lossRate === 0 &&
      this.network.canPass(from, to) &&
      this.network.canPass(to, from);
    if (!isConnected) this.connectedSince.delete(key);
    else if (!this.connectedSince.has(key)) this.connectedSince.set(key, now);
  }

  private recordEvent(observer: MemberId, event: MembershipEvent): void {
    const at = this.clock.now();
    this.events.push({ at, observer, event });
    if (event.kind === 'state-changed' && event.to === MemberState.Failed)
      this.checkVerdict(at, event.member);
  }

  /**
   * Records a failure verdict as unfounded if too few members can have lost contact with the subject to form a
   * majority. A member counts as in contact if its links to the subject worked for the suspicion period plus 4 probe
   * intervals.
   */
  private checkVerdict(at: number, subject: MemberId): void {
    const { suspicionMs, probeIntervalMs } = DEFAULT_TUNING;
    const reachedBy = this.members.filter((other) => {
      const since = this.connectedSince.get(`${subject} ${other}`);
      return since !== undefined && at - since >= suspicionMs + 4 * probeIntervalMs;
    });
    if (reachedBy.length > this.members.length - majorityOf(this.members.length)) {
      this.unfoundedVerdicts.push(
        `${at}: ${subject} was declared failed although ${reachedBy.join(', ')} could reach the member`,
      );
    }
  }
}
