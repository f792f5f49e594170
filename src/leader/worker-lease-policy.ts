/** Decides whether this leader may still renew worker leases. */
import type { LeaseValidity } from '../leadership/lease.js';
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import { maxLocalDuration, type Millis, type MonotonicTime, plus, since } from '../model/time.js';
import type { PeerStatus } from '../peer/peer-status.js';

/** Safety margin between the expiry of a worker lease and the time limit of a cancellation. */
const CANCELLATION_MARGIN_MS = 5000;
/** Minimum time for which a leader with a valid lease renews worker leases without observing cancellations. */
const MIN_RENEWAL_WITH_VALID_LEASE_MS = 12_000;
/**
 * Maximum time after the end of the leader lease's validity for which a leader renews worker leases before it has
 * loaded the stored records. Such a leader knows only the cancellations that its peers reported.
 */
const MAX_RENEWAL_BEFORE_LOAD_MS = 3000;
const PEER_POLL_INTERVAL_MS = 1000;
const PEER_POLL_TIMEOUT_MS = 800;
/** Minimum share of a watch request's wait time that passes before the store answers without events. */
const MIN_WATCH_WAIT_RATIO = 0.99;

/** The settings that limit the renewal of worker leases. */
interface RenewalLimits {
  readonly settings: Pick<ControllerContext['settings'], 'cancellationLimit' | 'workerLeaseDuration'>;
  readonly operators: ControllerContext['operators'];
}

/** The parts of the controller context that `WorkerLeasePolicy` uses. */
type WorkerLeasePolicyContext = RenewalLimits &
  Pick<ControllerContext, 'clock' | 'log' | 'peers' | 'cancellations'>;

/**
 * Returns how long, according to the settings, a leader may renew worker leases after its own lease has expired or, if
 * later, after the last poll that every peer answered.
 */
export function maxRenewalWithoutQuorum({ settings, operators }: RenewalLimits): Millis {
  const configured = operators.leadership.maxRenewalWithoutQuorum;
  return Math.max(0, Math.min(configured, maxRenewalAfterCancellationMs(settings))) as Millis;
}

/**
 * Returns the maximum time, in milliseconds, between the possible confirmation of a cancellation and the last heartbeat
 * answer that may renew a worker lease. The margin covers clock drift.
 */
function maxRenewalAfterCancellationMs({
  cancellationLimit,
  workerLeaseDuration,
}: RenewalLimits['settings']): number {
  return cancellationLimit - workerLeaseDuration - CANCELLATION_MARGIN_MS;
}

/**
 * Decides whether the leader may answer heartbeats, which renews worker leases. Two time bounds apply, each measured
 * from the last time at which a condition was known to be true:
 *
 * - No other controller was leader of a newer epoch: known at the expiry of this leader's lease, and at the last poll
 *   in which every peer reported that it leads no newer epoch. A successor expects its predecessor to answer heartbeats
 *   for up to `maxRenewalWithoutQuorum` after the takeover.
 * - This leader knew every confirmed cancellation: known when the watch of the job records was last up to date, and at
 *   the last poll in which every peer reported its confirmed cancellations. A worker lease that is renewed within
 *   `maxRenewalAfterCancellationMs` of that time expires within the time limit of a cancellation.
 *
 * While the store is unavailable to all controllers, no cancellation can be confirmed. Peers can report this, so that
 * tasks keep running. A peer that does not answer, does not support the request for its status, or has restarted since
 * the last observation may have confirmed cancellations; such a poll proves nothing about cancellations.
 */
export class WorkerLeasePolicy {
  private cancellationsObservedUpTo: MonotonicTime | null = null;
  /**
   * The send time of the last poll that every peer answered. A poll that finds a newer epoch's leader ends the term.
   */
  private noOtherLeaderAt: MonotonicTime | null = null;
  private lastPolledAt: MonotonicTime | null = null;

  constructor(
    private readonly ctx: WorkerLeasePolicyContext,
    private readonly lease: LeaseValidity,
    private readonly onPeerLeading: (epoch: number) => void,
  ) {}

  /** Records that this leader knows every cancellation that was confirmed before `observedAt`. */
  recordCancellationsObservedUpTo(observedAt: MonotonicTime): void {
    if (this.cancellationsObservedUpTo === null || observedAt > this.cancellationsObservedUpTo)
      this.cancellationsObservedUpTo = observedAt;
  }

  /** Returns whether the leader may answer a heartbeat and thereby renew the worker's lease. */
  mayRenew(now: MonotonicTime): boolean {
    const isValid = this.lease.isLeaseValid();
    if (this.cancellationsObservedUpTo === null)
      return isValid || this.lease.timeSinceLeaseExpiry() < MAX_RENEWAL_BEFORE_LOAD_MS;
    const maxUnobservedMs = maxRenewalAfterCancellationMs(this.ctx.settings);
    const unobservedMs = since(now, this.cancellationsObservedUpTo);
    if (isValid) return unobservedMs < Math.max(maxUnobservedMs, MIN_RENEWAL_WITH_VALID_LEASE_MS);
    const sincePollMs = this.noOtherLeaderAt === null ? Infinity : since(now, this.noOtherLeaderAt);
    return (
      unobservedMs < maxUnobservedMs &&
      Math.min(this.lease.timeSinceLeaseExpiry(), sincePollMs) < maxRenewalWithoutQuorum(this.ctx)
    );
  }

  /**
   * Requests the status of all peers, at most once per `PEER_POLL_INTERVAL_MS`; used while the leader's own lease is
   * not valid.
   */
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

  /** Records the statuses of all peers from a poll that was sent at `polledAt`. */
  private recordPoll(statuses: readonly PeerStatus[], polledAt: MonotonicTime): void {
    const { clock, cancellations, settings } = this.ctx;
    for (const { leadingEpoch } of statuses) if (leadingEpoch !== null) this.onPeerLeading(leadingEpoch);
    this.noOtherLeaderAt = polledAt;
    // A controller that has restarted since may have lost the cancellations that it confirmed. Cancellations older than
    // the cancellation limit need not be known, so a leader that has not loaded the records yet can also know enough.
    const observedAt = this.cancellationsObservedUpTo;
    const unobservedMs = observedAt === null ? Infinity : since(clock.now(), observedAt);
    const requiredUptimeMs = maxLocalDuration(Math.min(unobservedMs, settings.cancellationLimit));
    const uptimes = [cancellations.uptime, ...statuses.map((status) => status.uptime)];
    if (uptimes.every((uptime) => uptime > requiredUptimeMs)) this.recordCancellationsObservedUpTo(polledAt);
  }
}

/** A watch request that the store has answered. */
export interface AnsweredWatch {
  readonly sentAt: MonotonicTime;
  /** The requested time for which the store waits for events, in milliseconds. */
  readonly waitMs: number;
  readonly hasEvents: boolean;
  readonly answeredAt: MonotonicTime;
}

/** Returns the time up to which the watch has certainly delivered every event. */
export function watchedUpTo({ sentAt, waitMs, hasEvents, answeredAt }: AnsweredWatch): MonotonicTime {
  if (hasEvents) return sentAt;
  const waitedUntil = plus(sentAt, waitMs * MIN_WATCH_WAIT_RATIO);
  return waitedUntil < answeredAt ? waitedUntil : sentAt;
}
