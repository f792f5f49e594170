/** Probes every peer in rounds: directly, and, without an answer, through other members (SWIM's indirect probe). */
import { encodeMessage } from './codec.js';
import { PeerSupport } from './environment.js';
import type { MemberId } from './identity.js';
import { HealthEvent } from './local-health.js';
import { type ReceiverStatusOutcome } from './local-member.js';
import type { MemberContext } from './member-context.js';
import { readMessage } from './message-reader.js';
import {
  type Answer,
  type IndirectAnswer,
  type IndirectProbe,
  type Message,
  MessageKind,
  type ObservationRow,
  type Probe,
} from './messages.js';
import type { PeerTracker } from './peer-tracker.js';
import { RejectReason } from './rejected-messages.js';
import { TokenBucket } from './token-bucket.js';

/**
 * A request that timed out later than its deadline times this factor indicates a delay of this process, not of the
 * peer.
 */
const LATE_ANSWER_FACTOR = 1.5;
/**
 * The maximum share of the probe interval by which a round starts early or late, so that members do not synchronize.
 */
const ROUND_JITTER_RATIO = 0.1;

/** Callbacks for the results of probes. */
export interface ProberListener {
  /** Called after a peer's statement about this process was handled. */
  onReceiverStatusOutcome(outcome: ReceiverStatusOutcome): void;
  /** Called when the observations that verdicts depend on may have changed. */
  onObservation(): void;
}

/** The result of a request to a peer. */
type RequestResult<Response> =
  | { readonly kind: 'answered'; readonly message: Response }
  | { readonly kind: 'no-answer' }
  /** The request was not sent, or its result is no evidence about the peer. */
  | { readonly kind: 'inconclusive' };

const NO_ANSWER = { kind: 'no-answer' } as const;
const INCONCLUSIVE = { kind: 'inconclusive' } as const;

/** Sends probes, and applies the answers to the trackers and the observation table. */
export class Prober {
  private readonly rateLimiter: TokenBucket;
  /** Peers that other members are currently probing on behalf of this process. */
  private readonly indirectProbesInFlight = new Set<MemberId>();
  private isStopped = false;

  constructor(
    private readonly context: MemberContext,
    private readonly listener: ProberListener,
  ) {
    this.rateLimiter = new TokenBucket(context.environment.clock, context.settings.maxMessagesPerSecond);
  }

  /** Starts the probe rounds. */
  start(): void {
    this.scheduleRound(0);
  }

  /** Stops the probe rounds. Probes in flight still complete. */
  stop(): void {
    this.isStopped = true;
  }

  private scheduleRound(delayMs: number): void {
    this.context.environment.clock.after(delayMs, () => {
      if (this.isStopped) return;
      for (const tracker of this.context.trackers.values()) void this.runProbeRound(tracker);
      this.scheduleRound(this.nextRoundDelayMs());
    });
  }

  /**
   * Returns the delay until the next round, which does not grow with the local health score: a slow process waits
   * longer for answers, but probes at the same rate. For a peer whose own probes do not arrive at this process, this
   * process's probes are the only evidence that it is alive.
   */
  private nextRoundDelayMs(): number {
    const { settings, environment } = this.context;
    return settings.probeIntervalMs * (1 + ROUND_JITTER_RATIO * (2 * environment.random() - 1));
  }

  private get timeoutMs(): number {
    return this.context.settings.probeTimeoutMs * this.context.health.multiplier;
  }

  /** Runs a probe round for a peer: a direct probe, then, without an answer, indirect probes. Rounds may overlap. */
  private async runProbeRound(tracker: PeerTracker): Promise<void> {
    if (!this.shouldProbe(tracker)) return;
    const startedAt = this.context.now;
    const { pauseCount } = this.context;
    const direct = await this.probe(tracker);
    if (direct.kind === 'no-answer') await this.probeIndirectly(tracker, startedAt, pauseCount);
    this.listener.onObservation();
  }

  private shouldProbe(tracker: PeerTracker): boolean {
    switch (this.context.environment.transport.support(tracker.member)) {
      case PeerSupport.Supported:
        return true;
      case PeerSupport.Unsupported:
        if (tracker.identity !== null) {
          tracker.reset();
          this.context.observations.delete(tracker.member);
          this.listener.onObservation();
        }
        return false;
      case PeerSupport.Unknown:
        // Without a connection, silence is evidence only for a peer from which membership messages were received
        // before.
        return tracker.identity !== null;
    }
  }

  /** Probes a peer directly, for this process or on behalf of another member. */
  async probe(tracker: PeerTracker): Promise<RequestResult<Answer>> {
    const sentAt = this.context.now;
    const result = await this.sendRequest(tracker.member, {
      kind: MessageKind.Probe,
      from: this.context.local.identity,
      sequence: this.context.local.nextSequence(),
      aboutReceiver: this.context.receiverStatusFor(tracker.member),
      missing: this.context.missingRows(tracker.member),
    });
    if (result.kind !== 'answered') return result;
    const { message } = result;
    if (message.kind !== MessageKind.Answer) return INCONCLUSIVE;
    this.handleAnswer(tracker, message, sentAt);
    return { kind: 'answered', message };
  }

  private handleAnswer(tracker: PeerTracker, answer: Answer, sentAt: number): void {
    tracker.recordMessage(answer.from, answer.sequence, this.context.now);
    tracker.recordAnswer(answer.from, sentAt);
    this.context.health.record(HealthEvent.ProbeAnswered);
    this.listener.onReceiverStatusOutcome(this.context.local.handleReceiverStatus(answer.aboutReceiver));
    for (const row of answer.rows) {
      const { member } = row.observer;
      if (member === this.context.settings.self || !this.context.trackers.has(member)) continue;
      if (!this.context.observations.accept(row, sentAt)) continue;
      this.applyRow(row);
    }
  }

  /**
   * Applies a received row. Reported identities update the trackers, which ends suspicions of earlier incarnations;
   * reported suspicions of this process are refuted.
   */
  private applyRow({ observer, peers }: ObservationRow): void {
    this.context.trackers.get(observer.member)?.updateIdentity(observer);
    for (const peer of peers) {
      const { member } = peer.identity;
      if (member === this.context.settings.self) {
        const suspected = peer.suspectedForMs !== null;
        this.listener.onReceiverStatusOutcome(
          this.context.local.handleReceiverStatus({ identity: peer.identity, suspected }),
        );
      } else {
        this.context.trackers.get(member)?.updateIdentity(peer.identity);
      }
    }
  }

  private async probeIndirectly(tracker: PeerTracker, startedAt: number, pauseCount: number): Promise<void> {
    if (this.isStopped || this.indirectProbesInFlight.has(tracker.member)) return;
    this.indirectProbesInFlight.add(tracker.member);
    try {
      await this.runIndirectProbes(tracker, startedAt, pauseCount);
    } finally {
      this.indirectProbesInFlight.delete(tracker.member);
    }
  }

  private async runIndirectProbes(
    tracker: PeerTracker,
    startedAt: number,
    pauseCount: number,
  ): Promise<void> {
    const helpers = this.chooseHelpers(tracker.member);
    const answers = await Promise.all(
      helpers.map((helper) => this.requestIndirectProbe(helper, tracker, startedAt)),
    );
    const { health } = this.context;
    const isReachable = answers.some((answer) => answer !== null && answer.answeredBy !== null);
    if (isReachable) return;
    const areHelpersUnresponsive = helpers.length > 0 && answers.every((answer) => answer === null);
    if (areHelpersUnresponsive) health.record(HealthEvent.HelpersUnresponsive);
    // After a pause of this process, answers may have arrived that have not been read yet.
    if (pauseCount !== this.context.pauseCount || this.isStopped) return;
    tracker.recordFailedRound(startedAt, this.context.now);
  }

  private chooseHelpers(target: MemberId): MemberId[] {
    const { environment, settings, trackers } = this.context;
    const candidates = [...trackers.values()]
      .filter(({ member, isSuspected }) => member !== target && !isSuspected)
      .map(({ member }) => member)
      .filter((member) => environment.transport.support(member) === PeerSupport.Supported);
    const chosen: MemberId[] = [];
    while (chosen.length < settings.indirectProbes && candidates.length > 0) {
      const [member] = candidates.splice(Math.floor(environment.random() * candidates.length), 1);
      if (member !== undefined) chosen.push(member);
    }
    return chosen;
  }

  private async requestIndirectProbe(
    helper: MemberId,
    { member: target }: PeerTracker,
    startedAt: number,
  ): Promise<IndirectAnswer | null> {
    const { local, trackers } = this.context;
    const result = await this.sendRequest(helper, {
      kind: MessageKind.IndirectProbe,
      from: local.identity,
      sequence: local.nextSequence(),
      aboutReceiver: this.context.receiverStatusFor(helper),
      target,
    });
    if (result.kind !== 'answered') return null;
    const { message } = result;
    if (message.kind !== MessageKind.IndirectAnswer) return null;
    trackers.get(helper)?.recordMessage(message.from, message.sequence, this.context.now);
    if (message.answeredBy?.member === target) {
      trackers.get(target)?.recordIndirectAnswer(message.answeredBy, startedAt);
    }
    return message;
  }

  private async sendRequest(to: MemberId, request: Probe | IndirectProbe): Promise<RequestResult<Message>> {
    if (!this.rateLimiter.tryTake()) {
      this.context.rejectedMessages.record(
        RejectReason.RateLimited,
        `${request.kind} request to ${to} was not sent`,
      );
      return INCONCLUSIVE;
    }
    const sentAt = this.context.now;
    // A helper (the member that probes on behalf of this process) needs time for its own probe.
    const deadlineMs = request.kind === MessageKind.IndirectProbe ? 2 * this.timeoutMs : this.timeoutMs;
    const { transport } = this.context.environment;
    const payload = await transport.request(to, encodeMessage(request), deadlineMs);
    if (payload === null) {
      const isLate = this.context.now - sentAt > deadlineMs * LATE_ANSWER_FACTOR;
      if (!isLate) return NO_ANSWER;
      this.context.health.record(HealthEvent.LateTimer);
      return INCONCLUSIVE;
    }
    const message = readMessage(this.context.rejectedMessages, payload);
    if (message === null) return INCONCLUSIVE;
    if (message.from.member === to) return { kind: 'answered', message };
    this.context.rejectedMessages.record(
      RejectReason.UnknownMember,
      `${message.from.member} answered a request to ${to}`,
    );
    return INCONCLUSIVE;
  }
}
