/** The leader's lease in the key-value store: renews the lease and tracks until when the lease is certainly valid. */
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { LeaseId } from '../model/ids.js';
import {
  type Cancel,
  type Millis,
  minLocalDuration,
  type MonotonicTime,
  ms,
  plus,
  since,
} from '../model/time.js';
import { StoreRefusedError } from '../store/errors.js';

/** The delay before a renewal is retried that the store refused, or that a pause of the process left unconfirmed. */
const RENEWAL_RETRY_DELAY_MS = 100;
/** How many renewals fall within one time to live, so that single renewals can fail without losing the lease. */
const RENEWALS_PER_TTL = 4;

type LeaseContext = Pick<ControllerContext, 'clock' | 'log' | 'store' | 'operators'>;

/** The validity of a leader's lease. */
export interface LeaseValidity {
  /**
   * Returns whether the lease is certainly valid by this process's clock and, if a pause guard is set, was confirmed
   * after the last pause of this process.
   */
  isLeaseValid(): boolean;
  /**
   * Returns the time since the end of the confirmed lease's certain validity by this process's clock: 0 before that
   * end, even if a pause of this process has made the lease invalid, and infinity without a lease.
   */
  timeSinceLeaseExpiry(): Millis;
}

/** Tracks whether this process has run without a pause since its lease was last confirmed. */
export interface PauseGuard {
  /** Whether there was no pause since the last confirmation. */
  readonly isOpen: boolean;
  /** A counter that changes with every pause of the process. */
  readonly generation: number;
  /**
   * Records that a request which was sent in this generation confirmed the lease; has no effect if a pause has followed
   * the sending.
   */
  reopen(generation: number): void;
}

/** The state at the moment at which a request that grants or renews the lease was sent. */
interface LeaseRequest {
  readonly sentAt: MonotonicTime;
  readonly pauseGeneration: number;
}

interface HeldLease {
  readonly id: LeaseId;
  readonly validUntil: MonotonicTime;
}

interface ScheduledRenewal {
  readonly cancel: Cancel;
  readonly run: () => void;
}

/**
 * The lease to which the leader record is bound. The lease's validity counts from the moment at which the confirmed
 * request was sent and is reduced by the possible drift between the clocks. Safety does not depend on this validity,
 * because a deposed leader's writes fail the comparison of the epoch's revision; the validity limits how long a leader
 * may continue to answer workers.
 */
export class LeaderLease implements LeaseValidity {
  private held: HeldLease | null = null;
  private pauseGuard: PauseGuard | null = null;
  private scheduledRenewal: ScheduledRenewal | null = null;

  constructor(
    private readonly ctx: LeaseContext,
    /** Is called when the store has ended the lease, which this controller then no longer holds. */
    private readonly onExpired: () => void,
  ) {}

  /** The lease's time to live in the store, in milliseconds. */
  get ttlMs(): number {
    return this.ctx.operators.leadership.leaseTtl;
  }

  /** The identifier of the held lease; null: no lease is held. */
  get id(): LeaseId | null {
    return this.held?.id ?? null;
  }

  /**
   * Sets the guard that makes the lease invalid after a pause of this process until a request confirms the lease again.
   */
  usePauseGuard(guard: PauseGuard): void {
    this.pauseGuard = guard;
  }

  /**
   * Returns whether the lease is certainly valid and was confirmed after the last pause of this process, during which
   * another controller could have replaced this leader.
   */
  isLeaseValid(): boolean {
    if (this.held === null || this.ctx.clock.now() >= this.held.validUntil) return false;
    return this.pauseGuard?.isOpen ?? true;
  }

  timeSinceLeaseExpiry(): Millis {
    return ms(this.held === null ? Infinity : Math.max(0, this.ctx.clock.now() - this.held.validUntil));
  }

  /**
   * Returns the state to pass to `confirm`; must be called before a request that grants or renews the lease is sent.
   */
  beginRequest(): LeaseRequest {
    return { sentAt: this.ctx.clock.now(), pauseGeneration: this.pauseGuard?.generation ?? 0 };
  }

  /** Records that the store confirmed the lease in its response to this request. */
  confirm(id: LeaseId, { sentAt, pauseGeneration }: LeaseRequest): void {
    this.held = { id, validUntil: plus(sentAt, minLocalDuration(this.ttlMs)) };
    this.pauseGuard?.reopen(pauseGeneration);
  }

  /** Stops holding the lease and returns the lease's identifier, for the caller to revoke; null: no lease was held. */
  release(): LeaseId | null {
    const { id } = this;
    this.held = null;
    return id;
  }

  /** Starts the periodic renewal of the held lease, which runs until the process ends. */
  startRenewal(): void {
    this.scheduleRenewal(this.renewalIntervalMs);
  }

  /**
   * Renews the held lease at once unless a renewal is already in flight; called after a pause of this process, during
   * which another controller may have taken over.
   */
  renewNow(): void {
    const { scheduledRenewal } = this;
    if (scheduledRenewal === null) return;
    scheduledRenewal.cancel();
    scheduledRenewal.run();
  }

  private get renewalIntervalMs(): number {
    return this.ttlMs / RENEWALS_PER_TTL;
  }

  private scheduleRenewal(delayMs: number): void {
    const run = (): void => {
      this.scheduledRenewal = null;
      // The renewal's promise never rejects: errors are logged and the renewal is retried.
      void this.renew().then((nextDelayMs) => this.scheduleRenewal(nextDelayMs));
    };
    this.scheduledRenewal = { cancel: this.ctx.clock.after(delayMs, run), run };
  }

  /** Renews the lease, if one is held, and resolves with the delay until the next renewal, in milliseconds. */
  private async renew(): Promise<number> {
    const { clock, store, log } = this.ctx;
    const { id } = this;
    if (id === null) return this.renewalIntervalMs;
    const request = this.beginRequest();
    try {
      const isAlive = await store.keepLeaseAlive(id);
      if (this.id !== id) return this.renewalIntervalMs;
      if (isAlive) this.confirm(id, request);
      else this.expire();
    } catch (error) {
      const durationMs = since(clock.now(), request.sentAt);
      log.info({ error: errorMessage(error), durationMs }, 'lease renewal failed');
      // Users' requests can exhaust the store's rate limit; an early retry keeps the leadership in that case.
      if (error instanceof StoreRefusedError) return RENEWAL_RETRY_DELAY_MS;
    }
    // The lease stays unconfirmed after a pause if the renewal failed or if the process was paused again while the
    // renewal was in flight.
    const isUnconfirmed = this.held !== null && this.pauseGuard?.isOpen === false;
    return isUnconfirmed ? RENEWAL_RETRY_DELAY_MS : this.renewalIntervalMs;
  }

  private expire(): void {
    this.held = null;
    this.onExpired();
  }
}
