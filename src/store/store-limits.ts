/** The limits of the key-value store: the current ones, and those that the settings announce. */
import type { Cancel, Clock } from '../model/time.js';
import type { Settings, StoreLimitSettings } from '../wire/settings.js';
import { isRateLimitedError, StoreRequestTooLargeError } from './errors.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';
import { maxTasksPerChunk } from './progress-record.js';

/**
 * Where the store cannot be probed, the announced rates are kept to for so long after the first rate-limited
 * request, and twice as long after each further one.
 */
const FIRST_HOLD_MS = 20_000;
/** For so long after a probe found the current limits in force, rate-limited requests are no sign of a change. */
const PROBE_VALID_MS = 2000;
/** A probe that brought no answer is repeated after this. */
const PROBE_RETRY_MS = 1000;
/** What one machine takes in its record, with the longest names seen and room for longer ones. */
const MACHINE_BYTES = 100;

/** Asks the store whether the announced limits are in force; null: it gave no answer. Never rejects. */
export type LimitProbe = () => Promise<boolean | null>;

/**
 * Which rate limits are kept to, and why:
 * - `current`: today's.
 * - `current-verified`: today's, as a probe has just confirmed.
 * - `announced-assumed`: the announced ones, because a request was rate limited.
 * - `announced-confirmed`: the announced ones for good, because the store was seen to enforce them.
 */
type RateState = 'current' | 'current-verified' | 'announced-assumed' | 'announced-confirmed';

function areAnnounced(state: RateState): boolean {
  return state === 'announced-assumed' || state === 'announced-confirmed';
}

/**
 * The store's limits as far as this controller knows them. They may fall without notice to those that the
 * settings announce. Sizes keep to the smaller of both from the first write on. Rates follow the first rate-limited
 * request at once; since a crowd of submissions is rate limited long before the limits fall, the store is then probed.
 */
export class StoreLimits {
  /** The longest value, in bytes. */
  readonly valueBytes: number;
  /** The most writes in one transaction. */
  readonly txnOps: number;
  private rateState: RateState = 'current';
  private holdMs = FIRST_HOLD_MS;
  /** Whether chunks of progress may be smaller than the default. */
  private mayUseSmallChunks = false;
  /** Entries take so many times the bytes that they are estimated with. */
  private entrySizeFactor = 1;
  private readonly rateListeners = new Set<() => void>();

  constructor(
    private readonly settings: Pick<Settings, 'storeLimits' | 'announcedStoreLimits'>,
    private readonly clock: Clock,
    /** Null: the announced limits can't be distinguished from the current ones by a probe. */
    private readonly probe: LimitProbe | null = null,
  ) {
    const { storeLimits, announcedStoreLimits } = settings;
    this.valueBytes = Math.min(storeLimits.valueBytes, announcedStoreLimits.valueBytes);
    this.txnOps = Math.min(storeLimits.txnOps, announcedStoreLimits.txnOps);
  }

  private get rateLimits(): StoreLimitSettings {
    const { storeLimits, announcedStoreLimits } = this.settings;
    return areAnnounced(this.rateState) ? announcedStoreLimits : storeLimits;
  }

  /** Requests per second. */
  get rps(): number {
    return this.rateLimits.rps;
  }

  /** Writes per second. */
  get writeRps(): number {
    return this.rateLimits.writeRps;
  }

  /** Calls the listener at once, and whenever a rate has changed until it is cancelled. */
  onRateChange(listener: () => void): Cancel {
    this.rateListeners.add(listener);
    listener();
    return () => this.rateListeners.delete(listener);
  }

  /** Learns from a failed call: one that was rate limited or too large says something of the limits in force. */
  recordFailure(error: unknown): void {
    if (error instanceof StoreRequestTooLargeError) this.confirmAnnouncedLimits();
    else if (isRateLimitedError(error)) this.handleRateLimited();
  }

  /**
   * The same for a write of records whose entries' lengths are only estimated. Where they keep to the announced
   * limits already and are too large, entries are longer than estimated: fewer of them share a record then.
   */
  recordWriteFailure(error: unknown): void {
    if (error instanceof StoreRequestTooLargeError && this.mayUseSmallChunks) this.entrySizeFactor *= 2;
    this.recordFailure(error);
  }

  private get areLowerRatesAnnounced(): boolean {
    const { storeLimits, announcedStoreLimits } = this.settings;
    return announcedStoreLimits.rps < storeLimits.rps || announcedStoreLimits.writeRps < storeLimits.writeRps;
  }

  private handleRateLimited(): void {
    if (this.rateState !== 'current' || !this.areLowerRatesAnnounced) return;
    this.setRateState('announced-assumed');
    if (this.probe) {
      void this.verifyAssumption(this.probe);
      return;
    }
    this.clock.after(this.holdMs, () => this.endAssumption('current'));
    this.holdMs *= 2;
  }

  /** Probes until there is an answer. */
  private async verifyAssumption(probe: LimitProbe): Promise<void> {
    const areInForce = await probe();
    if (this.rateState === 'announced-confirmed') return;
    if (areInForce === null) {
      this.clock.after(PROBE_RETRY_MS, () => void this.verifyAssumption(probe));
      return;
    }
    if (areInForce) {
      this.setRateState('announced-confirmed');
      return;
    }
    this.endAssumption('current-verified');
    this.clock.after(PROBE_VALID_MS, () => {
      if (this.rateState === 'current-verified') this.setRateState('current');
    });
  }

  private endAssumption(next: 'current' | 'current-verified'): void {
    if (this.rateState === 'announced-assumed') this.setRateState(next);
  }

  private setRateState(next: RateState): void {
    const hasChangedRates = areAnnounced(next) !== areAnnounced(this.rateState);
    this.rateState = next;
    if (!hasChangedRates) return;
    for (const listener of this.rateListeners) listener();
  }

  private confirmAnnouncedLimits(): void {
    this.mayUseSmallChunks = true;
    this.setRateState('announced-confirmed');
  }

  /**
   * Allows chunks of a job's progress that are smaller than the default, so that they keep to the smaller limit.
   * Called once no controller is left that cannot read them, since that one could take over.
   */
  allowSmallChunks(): void {
    this.mayUseSmallChunks = true;
  }

  /** How many tasks share one record of progress, in a job of so many. */
  chunkSize(taskCount: number): number {
    const maximum = this.mayUseSmallChunks
      ? maxTasksPerChunk(this.valueBytes / this.entrySizeFactor)
      : DEFAULT_CHUNK_SIZE;
    return taskCount <= maximum ? DEFAULT_CHUNK_SIZE : maximum;
  }

  /** How many machines share one record, up to a maximum. */
  machinesPerRecord(maximum: number): number {
    const fitting = Math.floor(this.valueBytes / (MACHINE_BYTES * this.entrySizeFactor));
    return Math.max(1, Math.min(maximum, fitting));
  }
}
