/** Decides whether this leader may still renew the leases of workers. */
import type { LeaseValidity } from '../leadership/lease.js';
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import { maxLocalDuration, type Millis, type MonotonicTime, plus, since } from '../model/time.js';
import type { PeerStatus } from '../peer/peer-status.js';

/** Time kept between the end of a worker's lease and the limit of a cancellation. */
const CANCELLATION_MARGIN_MS = 5000;
/** A leader whose own lease is valid renews for at least this long without observing cancellations. */
const MIN_RENEWAL_WITH_VALID_LEASE_MS = 12_000;
/** How long a leader without a valid lease renews before it has loaded the records: it knows only the cancellations that peers reported. */
const MAX_RENEWAL_BEFORE_LOAD_MS = 3000;
const PEER_POLL_INTERVAL_MS = 1000;
const PEER_POLL_TIMEOUT_MS = 800;
/** The part of a watch's waiting time that surely passes before it is answered without events. */
const MIN_WATCH_WAIT = 0.99;

/** The limits that the policy follows. */
interface RenewalLimits {
  readonly settings: Pick<ControllerContext['settings'], 'cancellationLimit' | 'workerLeaseDuration'>;
  readonly operators: ControllerContext['operators'];
}

/** What the policy needs of the controller. */
type WorkerLeasePolicyContext = RenewalLimits &
  Pick<ControllerContext, 'clock' | 'log' | 'peers' | 'cancellations'>;

/** Returns for how long a leader may renew workers' leases after its own expired, by the settings. */
export function maxRenewalWithoutQuorum({ settings, operators }: RenewalLimits): Millis {
  const configured = operators.leadership.maxRenewalWithoutQuorum;
  return Math.max(0, Math.min(configured, cancellationBound(settings))) as Millis;
}

/**
 * The longest time from the moment when a cancellation may have been confirmed to the last heartbeat answer that may
 * renew a lease. The margin covers the drift of the clocks.
 */
function cancellationBound({ cancellationLimit, workerLeaseDuration }: RenewalLimits['settings']): number {
  return cancellationLimit - workerLeaseDuration - CANCELLATION_MARGIN_MS;
}

/**
 * Decides whether the leader may answer heartbeats, which renews the workers' leases. Two bounds apply, each counted
 * from the last moment for which something is proven:
 *
 * - No other controller led: the end of our own lease, or the last poll in which every peer said so. A successor
 *   expects answers of its predecessor for up to `maxRenewalWithoutQuorum` after it took over.
 * - No cancellation was confirmed that this leader doesn't know: the last time the watch of the job records was up to
 *   date, or the last poll in which every peer reported its confirmed cancellations. A worker lease that is renewed
 *   within `cancellationBound` of that moment expires within the limit of a cancellation.
 *
 * While the store is unavailable to all controllers no cancellation can be confirmed; the peers can say so, and the
 * work goes on. A peer that doesn't answer, can't say, or has restarted since may have confirmed some: then the poll
 * proves nothing.
 */
export class WorkerLeasePolicy {
  private cancellationsObservedUpTo: MonotonicTime | null = null;
  /** The last poll in which no peer led. */
  private noOtherLeaderAt: MonotonicTime | null = null;
  private lastPolledAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: WorkerLeasePolicyContext,
    private readonly lease: LeaseValidity,
    private readonly onPeerLeading: (epoch: number) => void,
  ) {}

  /** Records that every cancellation that was confirmed before this moment is known here. */
  observedCancellationsUpTo(observedAt: MonotonicTime): void {
    if (this.cancellationsObservedUpTo === null || observedAt > this.cancellationsObservedUpTo)
      this.cancellationsObservedUpTo = observedAt;
  }

  /** Whether a heartbeat may be answered, and so a worker's lease renewed. */
  mayRenew(now: MonotonicTime): boolean {
    const isValid = this.lease.isLeaseValid();
    if (this.cancellationsObservedUpTo === null)
      return isValid || this.lease.timeSinceLeaseExpiry() < MAX_RENEWAL_BEFORE_LOAD_MS;
    const bound = cancellationBound(this.ctx.settings);
    const unobservedFor = since(now, this.cancellationsObservedUpTo);
    if (isValid) return unobservedFor < Math.max(bound, MIN_RENEWAL_WITH_VALID_LEASE_MS);
    const sincePoll = this.noOtherLeaderAt === null ? Infinity : since(now, this.noOtherLeaderAt);
    return (
      unobservedFor < bound &&
      Math.min(this.lease.timeSinceLeaseExpiry(), sincePoll) < maxRenewalWithoutQuorum(this.ctx)
    );
  }

  /** Asks all peers for their status, at a bounded rate. Used while the store can't be asked. */
  async pollPeers(): Promise<void> {
    const { clock, peers, cancellations, log } = this.ctx;
    const now = clock.now();
    if (this.lastPolledAt !== null && since(now, this.lastPolledAt) < PEER_POLL_INTERVAL_MS) return;
    this.lastPolledAt = now;
    try {
      const statuses = await peers.collectStatus(PEER_POLL_TIMEOUT_MS);
      for (const status of statuses) if (status) cancellations.learn(status.cancellations);
      if (statuses.every((status) => status !== null)) this.recordPoll(statuses, now);
    } catch (error) {
      log.debug({ error: errorMessage(error) }, 'peer status poll failed');
    }
  }

  /** Every peer has answered a poll that was sent at `polledAt`. */
  private recordPoll(statuses: readonly PeerStatus[], polledAt: MonotonicTime): void {
    const { clock, cancellations, settings } = this.ctx;
    for (const { leadingEpoch } of statuses) if (leadingEpoch !== null) this.onPeerLeading(leadingEpoch);
    this.noOtherLeaderAt = polledAt;
    // A controller that has restarted since may have forgotten what it confirmed. What is older than the limit of a
    // cancellation need not be known, so a leader that hasn't loaded the records yet can know enough, too.
    const observedAt = this.cancellationsObservedUpTo;
    const unobservedFor = observedAt === null ? Infinity : since(clock.now(), observedAt);
    const mustRemember = maxLocalDuration(Math.min(unobservedFor, settings.cancellationLimit));
    const uptimes = [cancellations.uptime, ...statuses.map((status) => status.uptime)];
    if (uptimes.every((uptime) => uptime > mustRemember)) this.observedCancellationsUpTo(polledAt);
  }
}

/** A watch request that has been answered. */
export interface AnsweredWatch {
  readonly sentAt: MonotonicTime;
  /** How long the store was asked to wait for events, in milliseconds. */
  readonly waitMs: number;
  readonly hasEvents: boolean;
  readonly answeredAt: MonotonicTime;
}

/** Returns the moment up to which the watch has surely delivered every event. */
export function watchedUpTo({ sentAt, waitMs, hasEvents, answeredAt }: AnsweredWatch): MonotonicTime {
  if (hasEvents) return sentAt;
  const waitedUntil = plus(sentAt, waitMs * MIN_WATCH_WAIT);
  return waitedUntil < answeredAt ? waitedUntil : sentAt;
}
