/** One member of a fixed set of controllers that watch each other. */
import type { MembershipEnvironment } from './environment.js';
import type { Evidence } from './evidence.js';
import type { MembershipListener } from './events.js';
import type { Identity, MemberId } from './identity.js';
import { HealthSign, LocalHealth } from './local-health.js';
import { LocalMember, WordOutcome } from './local-member.js';
import { MemberContext } from './member-context.js';
import { PauseDetector } from './pause-detector.js';
import { Prober } from './prober.js';
import { type Connection, ReachabilityGraph } from './reachability.js';
import { Rejects, type RejectReason } from './rejects.js';
import { Responder } from './responder.js';
import { Roster } from './roster.js';
import { checkSettings, type MembershipSettings } from './settings.js';
import { MemberState } from './verdict.js';

/** A member as an operator or a successor's choice wants to see it. */
export interface MemberView {
  readonly member: MemberId;
  readonly state: MemberState;
  /** How long it has been in this state. */
  readonly forMs: number;
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
  readonly connection: Connection;
  /** What it last told of itself; null: nothing fresh. */
  readonly load: number | null;
  readonly ready: boolean;
  readonly localHealth: number | null;
  /** Members that get answers from it. */
  readonly reachedBy: number;
}

/** States of members that have no links any more. */
const GONE: ReadonlySet<MemberState> = new Set([MemberState.Failed, MemberState.Left, MemberState.Unknown]);
/** How long a leaving member waits for its peers to notice, in probe intervals. */
const LEAVE_INTERVALS = 3;

/** Probes its peers, answers theirs, and tells of every change. */
export class Membership {
  private readonly context: MemberContext;
  private readonly roster: Roster;
  private readonly prober: Prober;
  private readonly responder: Responder;
  private readonly pauses: PauseDetector;
  private readonly toldOfLeaving = new Set<MemberId>();
  private withMajority: boolean;
  private onToldOfLeaving: () => void = () => {};

  /** Throws `MembershipSettingsError`. */
  constructor(settings: MembershipSettings, environment: MembershipEnvironment) {
    checkSettings(settings);
    const { clock, random, log, selfReport } = environment;
    // A single controller is its own majority.
    this.withMajority = settings.majority <= 1;
    this.context = new MemberContext(
      settings,
      environment,
      new LocalMember(settings.self, clock, random, selfReport),
      new LocalHealth(settings.maxLocalHealth),
      new Rejects(clock, log),
    );
    this.roster = new Roster(this.context);
    const wordHeard = (outcome: WordOutcome): void => this.wordHeard(outcome);
    const observed = (): void => this.evaluate();
    this.prober = new Prober(this.context, { wordHeard, observed });
    this.responder = new Responder(this.context, this.prober, {
      wordHeard,
      observed,
      answered: ({ member }) => this.answered(member),
    });
    this.pauses = new PauseDetector(clock, settings.pauseThresholdMs, (ms) => this.paused(ms));
  }

  start(): void {
    this.pauses.start();
    this.prober.start();
  }

  stop(): void {
    this.pauses.stop();
    this.prober.stop();
  }

  /** Calls the listener for every event from now on; the result ends that. */
  listen(listener: MembershipListener): () => void {
    return this.roster.listen(listener);
  }

  /** Takes a peer's request. Null: it was dropped, and there is no answer. Never rejects. */
  handle(payload: Uint8Array): Promise<Uint8Array | null> {
    this.pauses.check();
    return this.responder.handle(payload);
  }

  /** Says goodbye. Resolves once every peer that is there has noticed, or after a few probe intervals. */
  leave(): Promise<void> {
    const { local, environment, settings } = this.context;
    local.leave();
    return new Promise((resolve) => {
      const deadline = environment.clock.after(LEAVE_INTERVALS * settings.probeIntervalMs, resolve);
      this.onToldOfLeaving = () => {
        if (!this.peersAlive().every((member) => this.toldOfLeaving.has(member))) return;
        this.onToldOfLeaving = () => {};
        deadline();
        // The last answer has yet to reach its peer.
        environment.clock.after(settings.probeTimeoutMs, resolve);
      };
      this.onToldOfLeaving();
    });
  }

  /** Looks at the clock now: whether this process stood still. */
  checkPause(): void {
    this.pauses.check();
  }

  /** Calls back for every pause of this process that is noticed. */
  onPause(paused: (pausedMs: number) => void): void {
    this.listen((event) => {
      if (event.kind === 'self-paused') paused(event.pausedMs);
    });
  }

  get identity(): Identity {
    return this.context.local.identity;
  }

  /** Whether this process gets answers from so many members that they are a majority together. */
  get hasMajority(): boolean {
    return this.withMajority;
  }

  state(member: MemberId): MemberState {
    if (member !== this.context.settings.self) return this.roster.state(member);
    return this.context.local.leaving ? MemberState.Left : MemberState.Alive;
  }

  /** What was dropped, by reason. */
  get rejected(): ReadonlyMap<RejectReason, number> {
    return this.context.rejects.all();
  }

  /** All configured members, in the order of the settings. */
  members(): MemberView[] {
    const rows = this.context.freshRows();
    const { members, self } = this.context.settings;
    const graph = new ReachabilityGraph(members, rows, this.context.rules.contactWindowMs);
    // No link to a member that is gone is a cut.
    const present = members.filter((member) => !GONE.has(this.state(member)));
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
        reachedBy: graph.hearersOf(member).length,
      };
    });
  }

  private peersAlive(): MemberId[] {
    return [...this.context.trackers.keys()].filter(
      (member) => this.roster.state(member) === MemberState.Alive,
    );
  }

  private answered(member: MemberId): void {
    if (!this.context.local.leaving) return;
    this.toldOfLeaving.add(member);
    this.onToldOfLeaving();
  }

  private wordHeard(outcome: WordOutcome): void {
    if (outcome !== WordOutcome.Refuted) return;
    this.context.health.note(HealthSign.Refuted);
    this.roster.emit({ kind: 'self-suspected', incarnation: this.identity.incarnation });
  }

  /** Nobody is judged by the time in which this process did not run. */
  private paused(pausedMs: number): void {
    const { context } = this;
    context.pauses++;
    context.health.note(HealthSign.LateTimer);
    for (const tracker of context.trackers.values()) tracker.discount(pausedMs, context.now);
    context.table.discount(pausedMs);
    this.roster.emit({ kind: 'self-paused', pausedMs });
  }

  private evaluate(): void {
    this.pauses.check();
    this.roster.evaluate();
    const withMajority = this.reachesMajority();
    if (withMajority === this.withMajority) return;
    this.withMajority = withMajority;
    this.roster.emit({ kind: 'contact-changed', withMajority });
  }

  private reachesMajority(): boolean {
    const { settings, rules } = this.context;
    const now = this.context.now;
    let reached = 1;
    for (const tracker of this.context.trackers.values()) {
      const agoMs = tracker.observation(now)?.reachedAgoMs ?? null;
      if (agoMs !== null && agoMs <= rules.contactWindowMs) reached++;
    }
    return reached >= settings.majority;
  }
}
