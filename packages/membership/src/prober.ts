/** Probes every peer in turn: directly, and through helpers where it does not answer. */
import { decodeMessage, DecodeError, DecodeProblem, encodeMessage } from './codec.js';
import { PeerSupport } from './environment.js';
import type { MemberId } from './identity.js';
import { HealthSign } from './local-health.js';
import { type WordOutcome } from './local-member.js';
import type { MemberContext } from './member-context.js';
import { type Answer, type IndirectAnswer, type Message, MessageKind } from './messages.js';
import type { PeerTracker } from './peer-tracker.js';
import { RejectReason } from './rejects.js';
import { TokenBucket } from './token-bucket.js';

/** An answer that took so many times its deadline tells of our own process, not of the peer. */
const HELD_UP = 1.5;
/** Rounds begin this share of the interval early or late, so that members don't probe in step. */
const JITTER = 0.1;

/** Is told what rounds came to. */
export interface ProberListener {
  /** A peer's word on this process. */
  wordHeard(outcome: WordOutcome): void;
  /** Something that verdicts depend on may have changed. */
  observed(): void;
}

/** What a request came to. */
enum AskOutcome {
  /** Nothing was sent, or nothing can be concluded. */
  Inconclusive,
  Silent,
}

const REJECT_OF: Readonly<Record<DecodeProblem, RejectReason>> = {
  [DecodeProblem.Malformed]: RejectReason.Malformed,
  [DecodeProblem.Oversized]: RejectReason.Oversized,
  [DecodeProblem.UnknownKind]: RejectReason.UnknownKind,
};

/** Reads a message; one that cannot be read is counted and null. */
export function readMessage(context: MemberContext, payload: Uint8Array): Message | null {
  try {
    return decodeMessage(payload);
  } catch (error) {
    if (!(error instanceof DecodeError)) throw error;
    context.rejects.add(REJECT_OF[error.problem], error.message);
    return null;
  }
}

/** Sends probes and takes in what the answers tell. */
export class Prober {
  private readonly budget: TokenBucket;
  /** Peers for which helpers are being asked. */
  private readonly askingHelpers = new Set<MemberId>();
  private stopped = false;

  constructor(
    private readonly context: MemberContext,
    private readonly listener: ProberListener,
  ) {
    this.budget = new TokenBucket(context.environment.clock, context.settings.maxMessagesPerSecond);
  }

  start(): void {
    this.scheduleRounds(0);
  }

  stop(): void {
    this.stopped = true;
  }

  private scheduleRounds(delayMs: number): void {
    this.context.environment.clock.after(delayMs, () => {
      if (this.stopped) return;
      for (const tracker of this.context.trackers.values()) void this.round(tracker);
      this.scheduleRounds(this.nextDelay());
    });
  }

  /**
   * A slow process waits longer for answers, but goes on asking as often: its probes are the sign by which a peer that
   * cannot reach it knows that it is there.
   */
  private nextDelay(): number {
    const { settings, environment } = this.context;
    return settings.probeIntervalMs * (1 + JITTER * (2 * environment.random() - 1));
  }

  private get timeoutMs(): number {
    return this.context.settings.probeTimeoutMs * this.context.health.multiplier;
  }

  /** One round for one peer: a probe, and where it is not answered, probes through helpers. Rounds may overlap. */
  private async round(tracker: PeerTracker): Promise<void> {
    if (!this.worthProbing(tracker)) return;
    const beganAt = this.context.now;
    const { pauses } = this.context;
    const direct = await this.probe(tracker);
    if (direct === AskOutcome.Silent) await this.probeThroughHelpers(tracker, beganAt, pauses);
    this.listener.observed();
  }

  private worthProbing(tracker: PeerTracker): boolean {
    switch (this.context.environment.transport.support(tracker.member)) {
      case PeerSupport.Supported:
        return true;
      case PeerSupport.Unsupported:
        if (tracker.identity !== null) {
          tracker.forget();
          this.context.table.drop(tracker.member);
          this.listener.observed();
        }
        return false;
      case PeerSupport.Unknown:
        // Without a connection only the silence of a peer that once took part tells anything.
        return tracker.identity !== null;
    }
  }

  /** Also used to probe on behalf of another member. */
  async probe(tracker: PeerTracker): Promise<AskOutcome | Answer> {
    const sentAt = this.context.now;
    const message = await this.ask(tracker.member, {
      kind: MessageKind.Probe,
      from: this.context.local.identity,
      sequence: this.context.local.nextSequence(),
      aboutReceiver: this.context.wordOn(tracker.member),
      missing: this.context.missingRows(tracker.member),
    });
    if (typeof message === 'number') return message;
    if (message.kind !== MessageKind.Answer) return AskOutcome.Inconclusive;
    this.takeAnswer(tracker, message, sentAt);
    return message;
  }

  private takeAnswer(tracker: PeerTracker, answer: Answer, sentAt: number): void {
    tracker.heard(answer.from, answer.sequence, this.context.now);
    tracker.reached(answer.from, sentAt);
    this.context.health.note(HealthSign.ProbeAnswered);
    this.listener.wordHeard(this.context.local.hear(answer.aboutReceiver));
    for (const row of answer.rows) {
      const { member } = row.observer;
      if (member === this.context.settings.self || !this.context.trackers.has(member)) continue;
      if (!this.context.table.accept(row, sentAt)) continue;
      this.learnFromRow(member, row.observer, row.peers);
    }
  }

  /** What others know of identities ends suspicions of earlier ones here, too, and their suspicions reach us. */
  private learnFromRow(
    observer: MemberId,
    identity: Answer['from'],
    peers: Answer['rows'][number]['peers'],
  ): void {
    this.context.trackers.get(observer)?.learn(identity);
    for (const peer of peers) {
      const { member } = peer.identity;
      if (member === this.context.settings.self) {
        const suspected = peer.suspectedForMs !== null;
        this.listener.wordHeard(this.context.local.hear({ identity: peer.identity, suspected }));
      } else this.context.trackers.get(member)?.learn(peer.identity);
    }
  }

  private async probeThroughHelpers(tracker: PeerTracker, beganAt: number, pauses: number): Promise<void> {
    if (this.stopped || this.askingHelpers.has(tracker.member)) return;
    this.askingHelpers.add(tracker.member);
    try {
      await this.findThroughHelpers(tracker, beganAt, pauses);
    } finally {
      this.askingHelpers.delete(tracker.member);
    }
  }

  private async findThroughHelpers(tracker: PeerTracker, beganAt: number, pauses: number): Promise<void> {
    const helpers = this.chooseHelpers(tracker.member);
    const answers = await Promise.all(helpers.map((helper) => this.askHelper(helper, tracker, beganAt)));
    const { health } = this.context;
    if (answers.some((answer) => answer?.answeredBy != null)) return;
    if (helpers.length > 0 && answers.every((answer) => answer === null))
      health.note(HealthSign.HelperSilent);
    // A pause in between: the answers may lie unread.
    if (pauses !== this.context.pauses || this.stopped) return;
    tracker.roundFailed(beganAt, this.context.now);
  }

  private chooseHelpers(target: MemberId): MemberId[] {
    const { environment, settings, trackers } = this.context;
    const able = [...trackers.values()]
      .filter(({ member, suspected }) => member !== target && !suspected)
      .map(({ member }) => member)
      .filter((member) => environment.transport.support(member) === PeerSupport.Supported);
    const chosen: MemberId[] = [];
    while (chosen.length < settings.indirectProbes && able.length > 0) {
      const [member] = able.splice(Math.floor(environment.random() * able.length), 1);
      if (member !== undefined) chosen.push(member);
    }
    return chosen;
  }

  private async askHelper(
    helper: MemberId,
    { member: target }: PeerTracker,
    beganAt: number,
  ): Promise<IndirectAnswer | null> {
    const { local, trackers } = this.context;
    const message = await this.ask(helper, {
      kind: MessageKind.IndirectProbe,
      from: local.identity,
      sequence: local.nextSequence(),
      aboutReceiver: this.context.wordOn(helper),
      target,
    });
    if (typeof message === 'number' || message.kind !== MessageKind.IndirectAnswer) return null;
    trackers.get(helper)?.heard(message.from, message.sequence, this.context.now);
    if (message.answeredBy?.member === target) trackers.get(target)?.vouched(message.answeredBy, beganAt);
    return message;
  }

  private async ask(to: MemberId, request: Message): Promise<Message | AskOutcome> {
    if (!this.budget.take()) {
      this.context.rejects.add(RejectReason.Throttled, `a ${request.kind} to ${to} was not sent`);
      return AskOutcome.Inconclusive;
    }
    const sentAt = this.context.now;
    // A helper needs time for its own probe.
    const deadlineMs = request.kind === MessageKind.IndirectProbe ? 2 * this.timeoutMs : this.timeoutMs;
    const { transport } = this.context.environment;
    const payload = await transport.request(to, encodeMessage(request), deadlineMs);
    if (payload === null) {
      const heldUp = this.context.now - sentAt > deadlineMs * HELD_UP;
      if (heldUp) this.context.health.note(HealthSign.LateTimer);
      return heldUp ? AskOutcome.Inconclusive : AskOutcome.Silent;
    }
    const message = readMessage(this.context, payload);
    if (message === null) return AskOutcome.Inconclusive;
    if (message.from.member === to) return message;
    this.context.rejects.add(RejectReason.Stranger, `${message.from.member} answered for ${to}`);
    return AskOutcome.Inconclusive;
  }
}
