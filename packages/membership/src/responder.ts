/** Answers the peers' requests. */
import { encodeMessage, MAX_MESSAGE_BYTES } from './codec.js';
import { type Identity, IdentityOrder } from './identity.js';
import type { WordOutcome } from './local-member.js';
import type { MemberContext } from './member-context.js';
import {
  type Answer,
  type IndirectAnswer,
  type IndirectProbe,
  type Message,
  MessageKind,
  type ObservationRow,
  type Probe,
} from './messages.js';
import { type Prober, readMessage } from './prober.js';
import { RejectReason } from './rejects.js';
import { TokenBucket } from './token-bucket.js';

/** Is told what requests bring. */
export interface ResponderListener {
  wordHeard(outcome: WordOutcome): void;
  observed(): void;
  /** This peer has been told what we observe. */
  answered(identity: Identity): void;
}

/** Takes requests from anybody; only those of configured members that can be read are answered. */
export class Responder {
  private readonly budget: TokenBucket;

  constructor(
    private readonly context: MemberContext,
    private readonly prober: Prober,
    private readonly listener: ResponderListener,
  ) {
    this.budget = new TokenBucket(context.environment.clock, context.settings.maxMessagesPerSecond);
  }

  /** Null: dropped, and counted. */
  async handle(payload: Uint8Array): Promise<Uint8Array | null> {
    const request = readMessage(this.context, payload);
    if (request === null) return null;
    if (!this.fromPeer(request)) return null;
    if (!this.budget.take()) {
      this.context.rejects.add(
        RejectReason.Throttled,
        `a request of ${request.from.member} was not answered`,
      );
      return null;
    }
    this.notice(request);
    switch (request.kind) {
      case MessageKind.Probe:
        return this.answer(request);
      case MessageKind.IndirectProbe:
        return this.answerIndirect(request);
      default:
        this.context.rejects.add(RejectReason.Malformed, `a ${request.kind} that nobody asked for`);
        return null;
    }
  }

  private fromPeer({ from }: Message): boolean {
    if (this.context.trackers.has(from.member)) return true;
    this.context.rejects.add(RejectReason.Stranger, from.member);
    return false;
  }

  private notice({ from, sequence, aboutReceiver }: Message): void {
    const tracker = this.context.trackers.get(from.member);
    const order = tracker?.heard(from, sequence, this.context.now);
    if (order === IdentityOrder.Stale) {
      // Answered all the same: a new process whose clock is behind learns from the answer what to outrun.
      this.context.rejects.add(RejectReason.Stale, from.member);
    } else this.listener.wordHeard(this.context.local.hear(aboutReceiver));
    if (order === IdentityOrder.Restarted) this.listener.observed();
  }

  private answer(request: Probe): Uint8Array {
    const { local } = this.context;
    const answer = (rows: readonly ObservationRow[]): Uint8Array => {
      const content: Answer = {
        kind: MessageKind.Answer,
        from: local.identity,
        sequence: local.nextSequence(),
        aboutReceiver: this.context.wordOn(request.from.member),
        rows,
      };
      return encodeMessage(content);
    };
    const [own, ...others] = this.context
      .freshRows()
      .map(({ row, ageMs }) => ({ ...row, ageMs: Math.round(ageMs) }));
    // Our own row is the first, and the one that nobody else can tell.
    const rows = own
      ? [own, ...others.filter(({ observer }) => request.missing.includes(observer.member))]
      : [];
    const whole = answer(rows);
    this.listener.answered(request.from);
    return whole.byteLength <= MAX_MESSAGE_BYTES ? whole : answer(rows.slice(0, 1));
  }

  private async answerIndirect(request: IndirectProbe): Promise<Uint8Array | null> {
    const tracker = this.context.trackers.get(request.target);
    if (!tracker) {
      this.context.rejects.add(RejectReason.Misdirected, request.target);
      return null;
    }
    const result = await this.prober.probe(tracker);
    const { local } = this.context;
    const content: IndirectAnswer = {
      kind: MessageKind.IndirectAnswer,
      from: local.identity,
      sequence: local.nextSequence(),
      aboutReceiver: this.context.wordOn(request.from.member),
      target: request.target,
      answeredBy: typeof result === 'number' ? null : result.from,
    };
    return encodeMessage(content);
  }
}
