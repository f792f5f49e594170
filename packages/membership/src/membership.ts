/** The package's entry point: a member of a fixed set of controllers that monitor each other. */
import type { MembershipEnvironment } from './environment.js';
import type { Evidence } from './evidence.js';
import type { MembershipListener } from './events.js';
import type { Identity, MemberId } from './identity.js';
import { HealthEvent, LocalHealth } from './local-health.js';
import { LocalMember, ReceiverStatusOutcome } from './local-member.js';
import { MemberContext } from './member-context.js';
import { PauseDetector } from './pause-detector.js';
import { Prober } from './prober.js';
import { type Connection, ReachabilityGraph } from './reachability.js';
import { RejectedMessages, type RejectReason } from './rejected-messages.js';
import { Responder } from './responder.js';
import { Roster } from './roster.js';
import { checkSettings, type MembershipSettings } from './settings.js';
import { MemberState } from './verdict.js';

/** A snapshot of a member, for operators and for choosing a successor. */
export interface MemberView {
  readonly member: MemberId;
  readonly state: MemberState;
  /** How long the member has been in this state; 0 for this process itself. */
  readonly forMs: number;
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
  readonly connection: Connection;
  /** The member's last reported load; null: no recent report. */
  readonly load: number | null;
  readonly ready: boolean;
  readonly localHealth: number | null;
  /** The number of members that receive this member's messages. */
  readonly receiverCount: number;
}

/** States in which a member is expected to have no working links. */
const STATES_WITHOUT_LINKS: ReadonlySet<MemberState> = new Set([
  MemberState.Failed,
  MemberState.Left,
  MemberState.Unknown,
]);
/** The maximum number of probe intervals for which a leaving member waits until all live peers have been notified. */
const LEAVE_TIMEOUT_INTERVALS = 3;

/** A member that probes its peers, answers their probes, and emits the events of `MembershipEvent`. */
export class Membership {
  private readonly context: MemberContext;
  private readonly roster: Roster;
  private readonly prober: Prober;
  private readonly responder: Responder;
  private readonly pauseDetector: PauseDetector;
  private readonly peersNotifiedOfLeave = new Set<MemberId>();
  private hasMajorityContact: boolean;
  private onPeerNotifiedOfLeave: () => void = () => {};

  /** Throws `MembershipSettingsError` for invalid settings. */
  constructor(settings: MembershipSettings, environment: MembershipEnvironment) {
    checkSettings(settings);
    const { clock, random, log, selfReport } = environment;
    // With a majority of 1, this process alone is a majority.
    this.hasMajorityContact = settings.majority <= 1;
    this.context = new MemberContext(
      settings,
      environment,
      new LocalMember(settings.self, clock, random, selfReport),
      new LocalHealth(settings.maxLocalHealth),
      new RejectedMessages(clock, log),
    );
    this.roster = new Roster(this.context);
    const onReceiverStatusOutcome = (outcome: ReceiverStatusOutcome): void =>
      this.onReceiverStatusOutcome(outcome);
    const onObservation = (): void => this.evaluate();
    this.prober = new Prober(this.context, { onReceiverStatusOutcome, onObservation });
    this.responder = new Responder(this.context, this.prober, {
      onReceiverStatusOutcome,
      onObservation,
      onAnswerSent: ({ member }) => this.onAnswerSent(member),
    });
    this.pauseDetector = new PauseDetector(clock, settings.pauseThresholdMs, (pausedMs) =>
      this.handlePause(pausedMs),
    );
  }

  /** Starts probing. Requests of peers are answered before the start, too. */
  start(): void {
    this.pauseDetector.start();
    this.prober.start();
  }

  /** Stops probing and the periodic pause check. Requests of peers are still answered. */
  stop(): void {
    this.pauseDetector.stop();
    this.prober.stop();
  }

  /** Registers a listener for all events. The returned function unregisters the listener. */
  listen(listener: MembershipListener): () => void {
    return this.roster.listen(listener);
  }

  /** Answers a peer's request. Resolves to null if the request was dropped. Never rejects. */
  handle(payload: Uint8Array): Promise<Uint8Array | null> {
    this.pauseDetector.check();
    return this.responder.handle(payload);
  }

  /**
   * Announces that this member leaves. Resolves one probe timeout after all live peers have been notified, or after
   * `LEAVE_TIMEOUT_INTERVALS` probe intervals if they have not been notified by then.
   */
  leave(): Promise<void> {
    const { local, environment, settings } = this.context;
    local.leave();
    return new Promise((resolve) => {
      const cancelDeadline = environment.clock.after(
        LEAVE_TIMEOUT_INTERVALS * settings.probeIntervalMs,
        resolve,
      );
      this.onPeerNotifiedOfLeave = () => {
        if (!this.alivePeers().every((member) => this.peersNotifiedOfLeave.has(member))) return;
        this.onPeerNotifiedOfLeave = () => {};
        cancelDeadline();
        // The last answer needs time to reach its peer.
        environment.clock.after(settings.probeTimeoutMs, resolve);
      };
      this.onPeerNotifiedOfLeave();
    });
  }

  /** Checks immediately whether this process was paused. */
  checkPause(): void {
    this.pauseDetector.check();
  }

  /** Registers a listener for detected pauses of this process. */
  onPause(listener: (pausedMs: number) => void): void {
    this.listen((event) => {
      if (event.kind === 'self-paused') listener(event.pausedMs);
    });
  }

  /** The current identity of this process. */
  get identity(): Identity {
    return this.context.local.identity;
  }

  /** Whether this process and the members that answer its probes are a majority. */
  get hasMajority(): boolean {
    return this.hasMajorityContact;
  }

  /** Returns a member's state as determined by this process. */
  state(member: MemberId): MemberState {
    if (member !== this.context.settings.self) return this.roster.state(member);
    return this.context.local.isLeaving ? MemberState.Left : MemberState.Alive;
  }

  /** The number of rejected messages for each reason. */
  get rejected(): ReadonlyMap<RejectReason, number> {
    return this.context.rejectedMessages.countsByReason();
  }

  /** Returns snapshots of all configured members, in the order of the settings. */
  members(): MemberView[] {
    const rows = this.context.freshRows();
    const { members, self } = this.context.settings;
    const graph = new ReachabilityGraph(members, rows, this.context.verdictRules.contactWindowMs);
    // A missing link to a failed, left or unknown member is not a partition.
    const present = members.filter((member) => !STATES_WITHOUT_LINKS.has(this.state(member)));
    return members.map((member) => {
      const entry = this.roster.entry(member);
      const row = rows.find(({ row: { observer } }) => observer.member === member)?.row;
      return {
        member,
        state: this.state(member),
        forMs: entry ? this.context.now - entry.sinceMs : 0,
        identity: member === self ? this.identity : (entry?.identity ?? null),
        evidence: entry?.evidence ?? [],
        connection: graph.connectionOf(member, present),
        load: row?.load ?? null,
        ready: row?.ready ?? false,
        localHealth: row?.localHealth ?? null,
        receiverCount: graph.receiversOf(member).length,
      };
    });
  }

  private alivePeers(): MemberId[] {
    return [...this.context.trackers.keys()].filter(
      (member) => this.roster.state(member) === MemberState.Alive,
    );
  }

  private onAnswerSent(member: MemberId): void {
    if (!this.context.local.isLeaving) return;
    this.peersNotifiedOfLeave.add(member);
    this.onPeerNotifiedOfLeave();
  }

  private onReceiverStatusOutcome(outcome: ReceiverStatusOutcome): void {
    if (outcome !== ReceiverStatusOutcome.Refuted) return;
    this.context.health.record(HealthEvent.Refuted);
    this.roster.emit({ kind: 'self-suspected', incarnation: this.identity.incarnation });
  }

  /** Excludes a pause of this process from the evidence about peers. */
  private handlePause(pausedMs: number): void {
    const { context } = this;
    context.pauseCount++;
    context.health.record(HealthEvent.LateTimer);
    for (const tracker of context.trackers.values()) tracker.excludePause(pausedMs, context.now);
    context.observations.excludePause(pausedMs);
    this.roster.emit({ kind: 'self-paused', pausedMs });
  }

  private evaluate(): void {
    this.pauseDetector.check();
    this.roster.evaluate();
    const hasMajority = this.computeMajorityContact();
    if (hasMajority === this.hasMajorityContact) return;
    this.hasMajorityContact = hasMajority;
    this.roster.emit({ kind: 'contact-changed', hasMajority: hasMajority });
  }

  private computeMajorityContact(): boolean {
    const { settings, verdictRules } = this.context;
    const now = this.context.now;
    let reachedCount = 1;
    for (const tracker of this.context.trackers.values()) {
      const agoMs = tracker.observation(now)?.reachedAgoMs ?? null;
      if (agoMs !== null && agoMs <= verdictRules.contactWindowMs) reachedCount++;
    }
    return reachedCount >= settings.majority;
  }
}
