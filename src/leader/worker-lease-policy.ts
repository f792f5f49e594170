import { errorMessage } from '../log/logger.js';
import { maxLocalDuration, type Millis, type MonotonicTime, plus, since } from '../model/time.js';
import type { ControllerContext } from '../core/context.js';
import type { LeaseValidity } from '../leadership/lease.js';

/** Between the end of a worker's lease and the limit of a cancellation. */
const CANCEL_MARGIN_MS = 5000;
/** A leader whose grant is sure goes on answering at least so long without news of cancellations. */
const SURE_LEAST_MS = 12_000;
/** A leader that has not read the records yet knows no cancellation but those it was told of. */
const UNREAD_ALONE_MS = 3000;
const ASK_EVERY_MS = 1000;
const ASK_MS = 800;

/** How long a leader that lost its grant may go on answering reports, by the settings. */
export function maxRenewalWithoutQuorum({
  settings,
  operators,
}: Pick<ControllerContext, 'settings' | 'operators'>): Millis {
  return Math.max(
    0,
    Math.min(operators.leadership.maxRenewalWithoutQuorum, cancellationMargin(settings)),
  ) as Millis;
}

/** From when a cancellation may have been confirmed to when the last answer may renew a lease; the margin covers the clocks' drift. */
function cancellationMargin({
  cancellationLimit,
  workerLeaseDuration,
}: ControllerContext['settings']): number {
  return cancellationLimit - workerLeaseDuration - CANCEL_MARGIN_MS;
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
export class WorkerLeasePolicy {
  private knownUpTo: MonotonicTime | null = null;
  private aloneSince: MonotonicTime | null = null;
  private lastPolledAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly lease: LeaseValidity,
    private readonly newer: (epoch: number) => void,
  ) {}

  /** All cancellations that were confirmed before this moment are known. */
  observedCancellationsUpTo(upTo: MonotonicTime): void {
    if (this.knownUpTo === null || upTo > this.knownUpTo) this.knownUpTo = upTo;
  }

  mayRenew(now: MonotonicTime): boolean {
    const sure = this.lease.isLeaseValid();
    if (this.knownUpTo === null) return sure || this.lease.timeSinceLeaseExpiry() < UNREAD_ALONE_MS;
    const room = cancellationMargin(this.ctx.settings);
    const unknownFor = since(now, this.knownUpTo);
    if (sure) return unknownFor < Math.max(room, SURE_LEAST_MS);
    const others = this.aloneSince === null ? Infinity : since(now, this.aloneSince);
    return (
      unknownFor < room &&
      Math.min(this.lease.timeSinceLeaseExpiry(), others) < maxRenewalWithoutQuorum(this.ctx)
    );
  }

  /** Asks the others, while the state service cannot tell. */
  async pollPeers(): Promise<void> {
    const { clock, peers, cancellations, log } = this.ctx;
    const now = clock.now();
    if (this.lastPolledAt !== null && since(now, this.lastPolledAt) < ASK_EVERY_MS) return;
    this.lastPolledAt = now;
    try {
      const words = await peers.collectStatus(ASK_MS);
      for (const word of words) if (word) cancellations.learn(word.cancellations);
      if (words.some((word) => word === null)) return;
      for (const word of words) if (word?.leadingEpoch != null) this.newer(word.leadingEpoch);
      this.aloneSince = now;
      // Started since then, one of us may have forgotten what it confirmed. What is older than a cancellation's
      // limit need not be known: so who has read no records yet can know enough, too.
      const { cancellationLimit } = this.ctx.settings;
      const unknownFor = this.knownUpTo === null ? Infinity : since(clock.now(), this.knownUpTo);
      const remembered = maxLocalDuration(Math.min(unknownFor, cancellationLimit));
      const all = [cancellations.uptime, ...words.map((word) => word?.uptime ?? 0)];
      if (all.every((upFor) => upFor > remembered)) this.observedCancellationsUpTo(now);
    } catch (error) {
      log.debug({ error: errorMessage(error) }, 'the others were not asked');
    }
  }
}

/** The moment up to which a watch of so long, sent then and answered with or without news, has told all. */
export const watchedUpTo = (
  sentAt: MonotonicTime,
  waitMs: number,
  news: boolean,
  now: MonotonicTime,
): MonotonicTime => {
  if (news) return sentAt;
  const waited = plus(sentAt, waitMs * 0.99);
  return waited < now ? waited : sentAt;
};
