/** Controllers with membership and takeover on a virtual clock, and the troubles that befall them. */
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

/** How often an owner acts upon its units. */
const ACT_EVERY_MS = 100;
const SAMPLE_EVERY_MS = 50;

/** Deliberately broken variants, to see that the checks notice. */
export interface Defects {
  readonly noFencing?: boolean;
  /** No member learns that it is suspected. */
  readonly noRefutation?: boolean;
  /** One observer is enough for a verdict. */
  readonly noMajority?: boolean;
}

/** What a cluster is made of. */
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
  paused: boolean;
}

/** An event of the membership, with when and where it was seen. */
export interface SeenEvent {
  readonly at: number;
  readonly observer: MemberId;
  readonly event: MembershipEvent;
}

/** What a message says of members, as far as the variants change it. */
interface SuspicionsInMessage {
  aboutReceiver: { suspected: boolean } | null;
  rows?: { peers: { identity: { member: string }; suspectedForMs: number | null }[] }[];
}

/** Takes out of a message what tells its receiver that it is suspected. */
function withoutSuspicionOf(receiver: MemberId, payload: Uint8Array): Uint8Array {
  const message = JSON.parse(Buffer.from(payload).toString('utf8')) as SuspicionsInMessage;
  if (message.aboutReceiver) message.aboutReceiver.suspected = false;
  for (const { peers } of message.rows ?? []) {
    for (const peer of peers) if (peer.identity.member === receiver) peer.suspectedForMs = null;
  }
  return Buffer.from(JSON.stringify(message));
}

const silent = { info: () => {}, warn: () => {} };

/** A whole cluster in one process. */
export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly random: () => number;
  readonly network: SimulatedNetwork;
  readonly store: SharedStore;
  readonly history: EffectHistory;
  readonly members: readonly MemberId[];
  readonly units: readonly UnitId[];
  readonly events: SeenEvent[] = [];
  /** What operators would have been told. */
  readonly warnings: string[] = [];
  private readonly running = new Map<MemberId, RunningController>();
  private readonly connectedSince = new Map<string, number>();
  private jobs = 0;
  /** Failed verdicts on members that too many others had reached all the while. */
  readonly unfoundedVerdicts: string[] = [];

  constructor(private readonly options: ClusterOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
    this.network = new SimulatedNetwork(this.clock, this.random);
    this.store = new SharedStore(this.clock, this.random);
    this.history = new EffectHistory(!options.defects?.noFencing);
    this.members = Array.from({ length: options.controllers }, (_, n) => `c${n}` as MemberId);
    this.units = Array.from({ length: options.units }, (_, n) => `unit-${n}` as UnitId);
    this.sample();
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
    // Each machine's time of day is off by up to a second: a restart may seem to lie before its predecessor.
    const clock = new ProcessClock(this.clock, (this.random() - 0.5) * 2000);
    const settings = { ...this.settings, self: member };
    const membership = this.createMembership(member, settings, clock);
    // The settings were checked: now the variant takes its majority away.
    if (this.options.defects?.noMajority) settings.majority = 1;
    const log = {
      info: () => {},
      warn: (_: object, text: string) => this.warnings.push(`${member}: ${text}`),
    };
    const claims = new OwnershipRegistry(this.store.for(member, clock));
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
    const controller: RunningController = { clock, membership, coordinator, paused: false };
    this.running.set(member, controller);
    this.network.attach(member, { clock, handler: (payload) => membership.handle(payload) });
    membership.listen((event) => this.seen(member, event));
    membership.start();
    coordinator.start();
    this.act(member, controller, claims);
  }

  private createMembership(member: MemberId, settings: MembershipSettings, clock: ProcessClock): Membership {
    const { noRefutation } = this.options.defects ?? {};
    const change = (receiver: MemberId, payload: Uint8Array): Uint8Array =>
      noRefutation ? withoutSuspicionOf(receiver, payload) : payload;
    return new Membership(settings, {
      clock,
      random: this.random,
      log: silent,
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

  /** The owner begins a job now and then: recorded first, then carried out by an effect that may arrive late. */
  private act(member: MemberId, controller: RunningController, claims: OwnershipRegistry): void {
    controller.clock.after(ACT_EVERY_MS, () => {
      for (const unit of this.units) {
        const ownership = controller.coordinator.currentOwnership(unit);
        if (ownership) void this.beginJob(ownership, claims);
      }
      this.act(member, controller, claims);
    });
  }

  private async beginJob(ownership: Ownership, claims: OwnershipRegistry): Promise<void> {
    const { unit, owner, epoch } = ownership;
    // Owners draw from a small pool, so that two that both believe to own a unit try the same job.
    const job = `${unit}/job-${this.jobs % 500}`;
    this.jobs++;
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
    this.clock.after(lateMs, () => this.history.begin(job, { unit, owner, epoch }, this.clock.now()));
  }

  kill(member: MemberId): void {
    const controller = this.running.get(member);
    if (!controller) return;
    controller.clock.alive = false;
    this.running.delete(member);
    this.network.detach(member);
  }

  /** The process stands still; its clocks run on. */
  pause(member: MemberId): void {
    const controller = this.running.get(member);
    if (!controller || controller.paused) return;
    controller.paused = true;
    controller.clock.stop();
  }

  resume(member: MemberId): void {
    const controller = this.running.get(member);
    if (!controller?.paused) return;
    controller.paused = false;
    controller.clock.goOn();
  }

  /** Graceful: hands its units over, says goodbye, ends. */
  async leave(member: MemberId): Promise<void> {
    const controller = this.running.get(member);
    if (!controller || controller.paused) return;
    await controller.coordinator.leave();
    await controller.membership.leave();
    controller.coordinator.stop();
    controller.membership.stop();
    this.kill(member);
  }

  /** All troubles end: every process runs, every link works, the store answers. */
  endFaults(): void {
    this.network.healAll();
    this.store.outage = false;
    this.store.refused.clear();
    this.store.lateShare = 0;
    for (const member of this.members) {
      this.resume(member);
      this.start(member);
    }
  }

  isRunning(member: MemberId): boolean {
    return this.running.get(member)?.paused === false;
  }

  membership(member: MemberId): Membership {
    const controller = this.running.get(member);
    if (!controller) throw new Error(`${member} is not running`);
    return controller.membership;
  }

  state(observer: MemberId, subject: MemberId): MemberState {
    return this.membership(observer).state(subject);
  }

  /** Running controllers that may act on the unit now, by their own word. One that stands still has no word. */
  ownersOf(unit: UnitId): MemberId[] {
    return [...this.running]
      .filter(([, { coordinator, paused }]) => !paused && coordinator.currentOwnership(unit) !== null)
      .map(([member]) => member);
  }

  stageOf(member: MemberId, unit: UnitId): string {
    return this.running.get(member)?.coordinator.stage(unit).kind ?? 'not running';
  }

  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  // What truly was the case

  private sample(): void {
    this.clock.after(SAMPLE_EVERY_MS, () => {
      const now = this.clock.now();
      for (const a of this.members) for (const b of this.members) this.samplePair(a, b, now);
      this.sample();
    });
  }

  private samplePair(a: MemberId, b: MemberId, now: number): void {
    const key = `${a} ${b}`;
    const connected =
      this.isRunning(a) &&
      this.isRunning(b) &&
      this.network.faults.lossShare === 0 &&
      this.network.passes(a, b) &&
      this.network.passes(b, a);
    if (!connected) this.connectedSince.delete(key);
    else if (!this.connectedSince.has(key)) this.connectedSince.set(key, now);
  }

  private seen(observer: MemberId, event: MembershipEvent): void {
    const at = this.clock.now();
    this.events.push({ at, observer, event });
    if (event.kind === 'state-changed' && event.to === MemberState.Failed)
      this.checkVerdict(at, event.member);
  }

  /** A member that more than a minority has reached all the while cannot have been found silent by a majority. */
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
