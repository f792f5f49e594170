import { reason } from '../log/logger.js';
import { atMost, type Millis, type Steady, plus, since } from '../model/time.js';
import type { NodeContext } from '../core/context.js';

/** Between the end of a worker's lease and the limit of a cancellation. */
const CANCEL_MARGIN_MS = 5000;
/** A leader whose grant is sure goes on answering at least so long without news of cancellations. */
const SURE_LEAST_MS = 12_000;
/** A leader that has not read the records yet knows no cancellation but those it was told of. */
const UNREAD_ALONE_MS = 3000;
const ASK_EVERY_MS = 1000;
const ASK_MS = 800;

/** The leader's grant, as far as this node knows. */
export interface Grant {
  sure(): boolean;
  /** How long ago the grant stopped being sure. */
  unsureFor(): Millis;
}

/** How long a leader that lost its grant may go on answering reports, by the settings. */
export function aloneMs({ settings, ops }: Pick<NodeContext, 'settings' | 'ops'>): Millis {
  return Math.max(0, Math.min(ops.cluster.answer_alone_s * 1000, cancelRoom(settings))) as Millis;
}

/** From when a cancellation may have been confirmed to when the last answer may renew a lease; the margin covers the clocks' drift. */
function cancelRoom({ cancelWithin, workerLease }: NodeContext['settings']): number {
  return cancelWithin - workerLease - CANCEL_MARGIN_MS;
}

/**
 * Whether a leader may answer reports, which keeps the workers' leases alive. Two bounds, each from a
 * moment up to which something is proven:
 *
 * - that no other controller led: the end of our grant's sure life, or when all the others were last asked
 *   and said so. A successor reckons with answers until D after its takeover;
 * - that no cancellation was confirmed that we don't know: when the watch of the records last brought all
 *   there was, or when all the others were last asked. A lease that is renewed within `cancelRoom` of it
 *   ends within a cancellation's limit.
 *
 * An outage that all share confirms nothing, so the others can say so, and the work goes on beneath it.
 * One that doesn't answer, can't say or has been started again since may have confirmed some: it proves nothing.
 */
export class Answering {
  private knownUpTo: Steady | null = null;
  private aloneSince: Steady | null = null;
  private askedAt: Steady | null = null;

  constructor(
    private readonly ctx: NodeContext,
    private readonly grant: Grant,
    private readonly newer: (epoch: number) => void,
  ) {}

  /** All cancellations that were confirmed before this moment are known. */
  knew(upTo: Steady): void {
    if (this.knownUpTo === null || upTo > this.knownUpTo) this.knownUpTo = upTo;
  }

  may(now: Steady): boolean {
    const sure = this.grant.sure();
    if (this.knownUpTo === null) return sure || this.grant.unsureFor() < UNREAD_ALONE_MS;
    const room = cancelRoom(this.ctx.settings);
    const unknownFor = since(now, this.knownUpTo);
    if (sure) return unknownFor < Math.max(room, SURE_LEAST_MS);
    const others = this.aloneSince === null ? Infinity : since(now, this.aloneSince);
    return unknownFor < room && Math.min(this.grant.unsureFor(), others) < aloneMs(this.ctx);
  }

  /** Asks the others, while the state service cannot tell. */
  async ask(): Promise<void> {
    const { clock, siblings, cancellations, log } = this.ctx;
    const now = clock.now();
    if (this.askedAt !== null && since(now, this.askedAt) < ASK_EVERY_MS) return;
    this.askedAt = now;
    try {
      const words = await siblings.cancellations(ASK_MS);
      for (const word of words) if (word) cancellations.learn(word.told);
      if (words.some((word) => word === null)) return;
      for (const word of words) if (word?.leading != null) this.newer(word.leading);
      this.aloneSince = now;
      // Started since then, one of us may have forgotten what it confirmed. What is older than a cancellation's
      // limit need not be known: so who has read no records yet can know enough, too.
      const { cancelWithin } = this.ctx.settings;
      const unknownFor = this.knownUpTo === null ? Infinity : since(clock.now(), this.knownUpTo);
      const remembered = atMost(Math.min(unknownFor, cancelWithin));
      const all = [cancellations.upFor, ...words.map((word) => word?.upFor ?? 0)];
      if (all.every((upFor) => upFor > remembered)) this.knew(now);
    } catch (error) {
      log.debug({ error: reason(error) }, 'the others were not asked');
    }
  }
}

/** The moment up to which a watch of so long, sent then and answered with or without news, has told all. */
export const watchedUpTo = (sentAt: Steady, waitMs: number, news: boolean, now: Steady): Steady => {
  if (news) return sentAt;
  const waited = plus(sentAt, waitMs * 0.99);
  return waited < now ? waited : sentAt;
};
