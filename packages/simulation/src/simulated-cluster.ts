/** A cluster of controllers with membership and takeover on a virtual clock, and the faults that tests inject. */
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

/** How often an owner acts on its units. */
const ACTION_INTERVAL_MS = 100;
const SAMPLE_INTERVAL_MS = 50;

/** Deliberate defects, to show that the checks detect them. */
export interface Defects {
  readonly noFencing?: boolean;
  /** No member learns that it is suspected. */
  readonly noRefutation?: boolean;
  /** One observer is enough for a verdict. */
  readonly noMajority?: boolean;
}

/** The options of a cluster. */
export interface ClusterOptions {
  readonly controllers: number;
  readonly units: number;
  readonly seed: number;
  readonly defects?: Defects;
}

/** One running process of a controller. */
interface RunningController {
  readonly clock: ProcessClock;
  readonly membership: Membership;
  readonly coordinator: TakeoverCoordinator<number>;
  isPaused: boolean;
}

/** An event of the membership, with its time and observer. */
export interface ObservedEvent {
  readonly at: number;
  readonly observer: MemberId;
  readonly event: MembershipEvent;
}

/** The parts of a message that the variant without refutation changes. */
interface SuspicionsInMessage {
  aboutReceiver: { suspected: boolean } | null;
  rows?: { peers: { identity: { member: string }; suspectedForMs: number | null }[] }[];
}

/** Removes from a message everything that tells its receiver that it is suspected. */
function withoutSuspicionOf(receiver: MemberId, payload: Uint8Array): Uint8Array {
  const message = JSON.parse(Buffer.from(payload).toString('utf8')) as SuspicionsInMessage;
  if (message.aboutReceiver) message.aboutReceiver.suspected = false;
  for (const { peers } of message.rows ?? []) {
    for (const peer of peers) if (peer.identity.member === receiver) peer.suspectedForMs = null;
  }
  return Buffer.from(JSON.stringify(message));
}

const silentLog = { info: () => {}, warn: () => {} };

/** A cluster whose controllers all run in this process. */
export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly random: () => number;
  readonly network: SimulatedNetwork;
  readonly store: SharedStore;
  readonly history: EffectHistory;
  readonly members: readonly MemberId[];
  readonly units: readonly UnitId[];
  readonly events: ObservedEvent[] = [];
  /** All warnings that were logged. */
  readonly warnings: string[] = [];
  private readonly running = new Map<MemberId, RunningController>();
  private readonly connectedSince = new Map<string, number>();
  private jobCount = 0;
  /** Verdicts of failure on members that too many others had reached all the time. */
  readonly unfoundedVerdicts: string[] = [];

  constructor(private readonly options: ClusterOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.network = new SimulatedNetwork(this.clock, this.random);
    this.store = new SharedStore(this.clock, this.random);
    this.history = new EffectHistory(!options.defects?.noFencing);
    this.members = Array.from({ length: options.controllers }, (_, index) => `c${index}` as MemberId);
    this.units = Array.from({ length: options.units }, (_, index) => `unit-${index}` as UnitId);
    this.scheduleSample();
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
    // Each process's time of day is off by up to a second: a restart may seem to precede the former process.
    const clock = new ProcessClock(this.clock, (this.random() - 0.5) * 2000);
    const settings = { ...this.settings, self: member };
    const membership = this.createMembership(member, settings, clock);
    // The settings have been validated: only now can the defective variant lower the majority.
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
    this.scheduleActions(member, controller, claims);
  }

  private createMembership(member: MemberId, settings: MembershipSettings, clock: ProcessClock): Membership {
    const { noRefutation } = this.options.defects ?? {};
    const change = (receiver: MemberId, payload: Uint8Array): Uint8Array =>
      noRefutation ? withoutSuspicionOf(receiver, payload) : payload;
    return new Membership(settings, {
      clock,
      random: this.random,
      log: silentLog,
      selfReport: () => ({ load: 0.1, ready: true }),
      transport: {
        support: () => PeerSupport.Supported,
        request: async (to, payload, deadlineMs) => {
          const answer = await this.network.request(member, to, change(to, payload), deadlineMs, clock);
          return answer === null ? null : change(member, answer);
        },
      },
    });
  }

  /** Lets an owner start jobs periodically: recorded first, then carried out by an effect that may arrive late. */
  private scheduleActions(member: MemberId, controller: RunningController, claims: OwnershipRegistry): void {
    controller.clock.after(ACTION_INTERVAL_MS, () => {
      for (const unit of this.units) {
        const ownership = controller.coordinator.currentOwnership(unit);
        if (ownership) void this.startJob(ownership, claims);
      }
      this.scheduleActions(member, controller, claims);
    });
  }

  private async startJob(ownership: Ownership, claims: OwnershipRegistry): Promise<void> {
    const { unit, owner, epoch } = ownership;
    // Owners draw from a small pool, so that two processes that both believe to own a unit try the same job.
    const job = `${unit}/job-${this.jobCount % 500}`;
    this.jobCount++;
    const key = `job/${job}`;
    if (this.store.get(key) !== null) return;
    try {
      const absent = { key, revision: 0 as never };
      const result = await claims.commitAs(ownership, [absent], [{ key, value: { epoch } }]);
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

  /** Pauses the process; its clocks continue. */
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

  /** Shuts down gracefully: releases the units, announces the departure, ends. */
  async leave(member: MemberId): Promise<void> {
    const controller = this.running.get(member);
    if (!controller || controller.isPaused) return;
    await controller.coordinator.leave();
    await controller.membership.leave();
    controller.coordinator.stop();
    controller.membership.stop();
    this.kill(member);
  }

  /** Ends all faults: every process runs, every link works, the store answers. */
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

  /** Returns the running controllers that believe they may act on the unit now. A paused one believes nothing. */
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

  // The true state, to check verdicts against

  private scheduleSample(): void {
    this.clock.after(SAMPLE_INTERVAL_MS, () => {
      const now = this.clock.now();
      for (const from of this.members) {
        for (const to of this.members) this.samplePair(from, to, now);
      }
      this.scheduleSample();
    });
  }

  private samplePair(from: MemberId, to: MemberId, now: number): void {
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

  /** A member that more than a minority has reached all the time cannot have been found silent by a majority. */
  private checkVerdict(at: number, subject: MemberId): void {
    const { suspicionMs, probeIntervalMs } = DEFAULT_TUNING;
    const reachedBy = this.members.filter((other) => {
      const since = this.connectedSince.get(`${subject} ${other}`);
      return since !== undefined && at - since >= suspicionMs + 4 * probeIntervalMs;
    });
    if (reachedBy.length > this.members.length - majorityOf(this.members.length)) {
      this.unfoundedVerdicts.push(`${at}: ${subject} was failed while ${reachedBy.join(', ')} reached it`);
    }
  }
}
