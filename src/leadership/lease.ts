/** The leader's lease in the key-value store: renews it and knows how long it is certainly valid. */
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

/** A failed renewal is retried after this. */
const RENEWAL_RETRY_MS = 100;
/** Renewals per time to live, so that some may fail. */
const RENEWALS_PER_TTL = 4;

type LeaseContext = Pick<ControllerContext, 'clock' | 'log' | 'store' | 'operators'>;

/** What a leader reads of its lease. */
export interface LeaseValidity {
  /** Whether the lease is certainly valid, by this process's clock. */
  isLeaseValid(): boolean;
  /** How long ago the lease stopped being certainly valid; infinite if none is held. */
  timeSinceLeaseExpiry(): Millis;
}

/** Whether this process has run without a pause since its lease was last confirmed. */
export interface PauseGuard {
  readonly open: boolean;
  /** A number that changes with every pause. */
  readonly generation: number;
  /** The lease was confirmed by a request that was sent in this generation. */
  reopen(generation: number): void;
}

/** The state in which a request was sent that grants or renews the lease. */
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
 * The lease that the leader's record is bound to. Its validity is reckoned from the moment at which the confirmed
 * request was sent, and shortened by the clocks' possible drift. Safety does not rest on it: a deposed leader's
 * writes fail on the epoch's revision. It says how long a leader may go on answering workers.
 */
export class LeaderLease implements LeaseValidity {
  private held: HeldLease | null = null;
  private pauseGuard: PauseGuard | null = null;
  private scheduledRenewal: ScheduledRenewal | null = null;

  constructor(
    private readonly ctx: LeaseContext,
    /** The store has ended the lease; it is not held any more. */
    private readonly onExpired: () => void,
  ) {}

  /** The lease's time to live in the store, in milliseconds. */
  get ttl(): number {
    return this.ctx.operators.leadership.leaseTtl;
  }

  /** The held lease; null: none. */
  get id(): LeaseId | null {
    return this.held?.id ?? null;
  }

  /** From now on a pause of this process makes the lease invalid until it is confirmed again. */
  usePauseGuard(guard: PauseGuard): void {
    this.pauseGuard = guard;
  }

  /** Whether the lease is certainly valid, and nobody can have replaced this leader while its process was paused. */
  isLeaseValid(): boolean {
    if (this.held === null || this.ctx.clock.now() >= this.held.validUntil) return false;
    return this.pauseGuard?.open ?? true;
  }

  timeSinceLeaseExpiry(): Millis {
    return ms(this.held === null ? Infinity : Math.max(0, this.ctx.clock.now() - this.held.validUntil));
  }

  /** Call before a request is sent that grants or renews the lease. */
  beginRequest(): LeaseRequest {
    return { sentAt: this.ctx.clock.now(), pauseGeneration: this.pauseGuard?.generation ?? 0 };
  }

  /** The store has confirmed by this request that the lease is held. */
  confirm(id: LeaseId, { sentAt, pauseGeneration }: LeaseRequest): void {
    this.held = { id, validUntil: plus(sentAt, minLocalDuration(this.ttl)) };
    this.pauseGuard?.reopen(pauseGeneration);
  }

  /** Stops holding the lease, and returns it so that it can be revoked; null: none was held. */
  release(): LeaseId | null {
    const { id } = this;
    this.held = null;
    return id;
  }

  /** Renews the held lease periodically, until the process ends. */
  startRenewal(): void {
    this.scheduleRenewal(this.renewalIntervalMs);
  }

  /** Renews the lease at once: this process was paused, and may have been replaced. */
  renewNow(): void {
    const { scheduledRenewal } = this;
    if (scheduledRenewal === null) return;
    scheduledRenewal.cancel();
    scheduledRenewal.run();
  }

  private get renewalIntervalMs(): number {
    return this.ttl / RENEWALS_PER_TTL;
  }

  private scheduleRenewal(delayMs: number): void {
    const run = (): void => {
      this.scheduledRenewal = null;
      // Never rejects: failures are logged and retried.
      void this.renew().then((nextDelayMs) => this.scheduleRenewal(nextDelayMs));
    };
    this.scheduledRenewal = { cancel: this.ctx.clock.after(delayMs, run), run };
  }

  /** Resolves with the time until the next renewal. */
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
      // Users' requests may have used up the store's rate limit; leadership must not be lost to that.
      if (error instanceof StoreRefusedError) return RENEWAL_RETRY_MS;
    }
    // The process was paused while the renewal was under way: that one confirmed nothing.
    const isUnconfirmed = this.held !== null && this.pauseGuard?.open === false;
    return isUnconfirmed ? RENEWAL_RETRY_MS : this.renewalIntervalMs;
  }

  private expire(): void {
    this.held = null;
    this.onExpired();
  }
}
