/** Answers probes and indirect probes of peers. */
import { encodeMessage, MAX_MESSAGE_BYTES } from './codec.js';
import { type Identity, IdentityOrder } from './identity.js';
import type { ReceiverStatusOutcome } from './local-member.js';
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
import type { Prober } from './prober.js';
import { RejectReason } from './rejected-messages.js';
import { TokenBucket } from './token-bucket.js';

/** Callbacks for handled requests and sent answers. */
export interface ResponderListener {
  /** Called after a peer's statement about this process was handled. */
  onReceiverStatusOutcome(outcome: ReceiverStatusOutcome): void;
  /** Called when the observations that verdicts depend on may have changed. */
  onObservation(): void;
  /** Called when an answer with this process's observations to a peer is about to be sent. */
  onAnswerSent(identity: Identity): void;
}

/** Handles requests from any sender, but answers only valid requests of configured members, up to a rate limit. */
export class Responder {
  private readonly rateLimiter: TokenBucket;

  constructor(
    private readonly context: MemberContext,
    private readonly prober: Prober,
    private readonly listener: ResponderListener,
  ) {
    this.rateLimiter = new TokenBucket(context.environment.clock, context.settings.maxMessagesPerSecond);
  }

  /** Answers a request. Resolves to null for a dropped request, which is counted as rejected. */
  async handle(payload: Uint8Array): Promise<Uint8Array | null> {
    const request = readMessage(this.context.rejectedMessages, payload);
    if (request === null) return null;
    if (!this.isFromPeer(request)) return null;
    if (!this.rateLimiter.tryTake()) {
      this.context.rejectedMessages.record(
        RejectReason.RateLimited,
        `request from ${request.from.member} was not answered`,
      );
      return null;
    }
    this.recordRequest(request);
    switch (request.kind) {
      case MessageKind.Probe:
        return this.answerProbe(request);
      case MessageKind.IndirectProbe:
        return this.answerIndirectProbe(request);
      default:
        this.context.rejectedMessages.record(RejectReason.Malformed, `unsolicited ${request.kind} message`);
        return null;
    }
  }

  private isFromPeer({ from }: Message): boolean {
    if (this.context.trackers.has(from.member)) return true;
    this.context.rejectedMessages.record(RejectReason.UnknownMember, from.member);
    return false;
  }

  private recordRequest({ from, sequence, aboutReceiver }: Message): void {
    const tracker = this.context.trackers.get(from.member);
    const order = tracker?.recordMessage(from, sequence, this.context.now);
    if (order === IdentityOrder.Stale) {
      // A stale request is answered nevertheless: a restarted process whose clock is behind learns from the answer
      // which incarnation it has to exceed.
      this.context.rejectedMessages.record(RejectReason.Stale, from.member);
    } else {
      this.listener.onReceiverStatusOutcome(this.context.local.handleReceiverStatus(aboutReceiver));
    }
    if (order === IdentityOrder.Restarted) this.listener.onObservation();
  }

  private answerProbe(request: Probe): Uint8Array {
    const { local } = this.context;
    const encodeAnswer = (answerRows: readonly ObservationRow[]): Uint8Array => {
      const message: Answer = {
        kind: MessageKind.Answer,
        from: local.identity,
        sequence: local.nextSequence(),
        aboutReceiver: this.context.receiverStatusFor(request.from.member),
        rows: answerRows,
      };
      return encodeMessage(message);
    };
    const [own, ...others] = this.context
      .freshRows()
      .map(({ row, ageMs }) => ({ ...row, ageMs: Math.round(ageMs) }));
    // This process's own row comes first, since no other member can supply its current version.
    const rows = own
      ? [own, ...others.filter(({ observer }) => request.missing.includes(observer.member))]
      : [];
    const fullAnswer = encodeAnswer(rows);
    this.listener.onAnswerSent(request.from);
    return fullAnswer.byteLength <= MAX_MESSAGE_BYTES ? fullAnswer : encodeAnswer(rows.slice(0, 1));
  }

  private async answerIndirectProbe(request: IndirectProbe): Promise<Uint8Array | null> {
    const tracker = this.context.trackers.get(request.target);
    if (!tracker) {
      this.context.rejectedMessages.record(RejectReason.Misdirected, request.target);
      return null;
    }
    const result = await this.prober.probe(tracker);
    const { local } = this.context;
    const message: IndirectAnswer = {
      kind: MessageKind.IndirectAnswer,
      from: local.identity,
      sequence: local.nextSequence(),
      aboutReceiver: this.context.receiverStatusFor(request.from.member),
      target: request.target,
      answeredBy: result.kind === 'answered' ? result.message.from : null,
    };
    return encodeMessage(message);
  }
}
