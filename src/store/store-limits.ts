/** Limits of the key-value store: the current limits, and the future limits that the settings announce. */
import type { Cancel, Clock } from '../model/time.js';
import { MAX_COMPARES_PER_WRITE } from '../wire/key-value-store.js';
import type { Settings, StoreLimitSettings } from '../wire/settings.js';
import { isRateLimitedError, StoreRequestTooLargeError } from './errors.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';
import { maxTasksPerChunk } from './progress-record.js';

/**
 * Time for which the announced rates are assumed to be in force after the first rate-limited request, if the store
 * cannot be probed. The time doubles with each further assumption.
 */
const INITIAL_ASSUMPTION_MS = 20_000;
/**
 * Time after a probe found the current limits in force during which rate-limited requests are not taken as a sign
 * that the limits have changed.
 */
const PROBE_RESULT_VALIDITY_MS = 2000;
/** Delay before a probe without an answer is repeated. */
const PROBE_RETRY_DELAY_MS = 1000;
/** Estimated size of one machine in a fleet record, with a margin above the longest names seen. */
const BYTES_PER_MACHINE = 100;

/** Asks the store whether the announced limits are in force. Resolves to null without an answer, and never rejects. */
export type LimitProbe = () => Promise<boolean | null>;

/**
 * Which rate limits this controller applies, and why:
 * - `current`: the current limits.
 * - `current-verified`: the current limits, which a probe has just found in force.
 * - `announced-assumed`: the announced limits, because a request was rate limited.
 * - `announced-confirmed`: the announced limits permanently, because the store was found to enforce them.
 */
type RateState = 'current' | 'current-verified' | 'announced-assumed' | 'announced-confirmed';

function usesAnnouncedRates(state: RateState): boolean {
  return state === 'announced-assumed' || state === 'announced-confirmed';
}

/**
 * Tracks the key-value store's limits that this controller applies. The store may lower its limits without notice to
 * those that the settings announce. Size limits are the smaller of the current and the announced limits from the first
 * write on. Rate limits switch to the announced limits, if those are lower, at the first rate-limited request. Since a
 * burst of submissions can be rate limited long before the store lowers its limits, a probe then checks which limits
 * are in force; without a probe, the switch lasts for `INITIAL_ASSUMPTION_MS`, doubled each time.
 */
export class StoreLimits {
  /** Maximum length of a value in bytes. */
  readonly valueBytes: number;
  /** Maximum number of writes in one transaction. */
  readonly txnOps: number;
  /** Maximum number of comparisons in one transaction. */
  readonly maxCompares: number;
  private rateState: RateState = 'current';
  private assumptionMs = INITIAL_ASSUMPTION_MS;
  /** Whether progress chunks may be below the default size: after `allowSmallChunks` or a too large request. */
  private mayUseSmallChunks = false;
  /**
   * Assumed ratio of actual to estimated entry size; doubles when a record within the announced limits is too large.
   */
  private entrySizeFactor = 1;
  private readonly rateListeners = new Set<() => void>();

  constructor(
    private readonly settings: Pick<Settings, 'storeLimits' | 'announcedStoreLimits'>,
    private readonly clock: Clock,
    /** Null if a probe cannot distinguish the announced limits from the current limits. */
    private readonly probe: LimitProbe | null = null,
  ) {
    const { storeLimits, announcedStoreLimits } = settings;
    this.valueBytes = Math.min(storeLimits.valueBytes, announcedStoreLimits.valueBytes);
    this.txnOps = Math.min(storeLimits.txnOps, announcedStoreLimits.txnOps);
    this.maxCompares = this.txnOps * MAX_COMPARES_PER_WRITE;
  }

  private get rateLimits(): StoreLimitSettings {
    const { storeLimits, announcedStoreLimits } = this.settings;
    return usesAnnouncedRates(this.rateState) ? announcedStoreLimits : storeLimits;
  }

  /** Maximum number of requests per second. */
  get rps(): number {
    return this.rateLimits.rps;
  }

  /** Maximum number of writes per second. */
  get writeRps(): number {
    return this.rateLimits.writeRps;
  }

  /** Calls the listener immediately and after each change of the rates, until the returned function is called. */
  onRateChange(listener: () => void): Cancel {
    this.rateListeners.add(listener);
    listener();
    return () => this.rateListeners.delete(listener);
  }

  /** Updates the limits after a failed call that was rate limited or too large; ignores any other error. */
  recordFailure(error: unknown): void {
    if (error instanceof StoreRequestTooLargeError) this.confirmAnnouncedLimits();
    else if (isRateLimitedError(error)) this.handleRateLimited();
  }

  /**
   * Updates the limits after a failed write of records whose size was only estimated. If the records already keep to
   * the announced limits and are still too large, their entries are larger than estimated, so that fewer entries share
   * a record from then on.
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
    this.clock.after(this.assumptionMs, () => this.endAssumption('current'));
    this.assumptionMs *= 2;
  }

  /** Probes the store until an answer shows which limits are in force. */
  private async verifyAssumption(probe: LimitProbe): Promise<void> {
    const areAnnouncedInForce = await probe();
    if (this.rateState === 'announced-confirmed') return;
    if (areAnnouncedInForce === null) {
      this.clock.after(PROBE_RETRY_DELAY_MS, () => void this.verifyAssumption(probe));
      return;
    }
    if (areAnnouncedInForce) {
      this.setRateState('announced-confirmed');
      return;
    }
    this.endAssumption('current-verified');
    this.clock.after(PROBE_RESULT_VALIDITY_MS, () => {
      if (this.rateState === 'current-verified') this.setRateState('current');
    });
  }

  private endAssumption(next: 'current' | 'current-verified'): void {
    if (this.rateState === 'announced-assumed') this.setRateState(next);
  }

  private setRateState(next: RateState): void {
    const hasChangedRates = usesAnnouncedRates(next) !== usesAnnouncedRates(this.rateState);
    this.rateState = next;
    if (!hasChangedRates) return;
    for (const listener of this.rateListeners) listener();
  }

  private confirmAnnouncedLimits(): void {
    this.mayUseSmallChunks = true;
    this.setRateState('announced-confirmed');
  }

  /**
   * Allows chunks of a job's progress below the default size, so that their records keep to the smaller size limit.
   * The caller first makes sure that every controller can read such chunks, since any controller could become leader.
   */
  allowSmallChunks(): void {
    this.mayUseSmallChunks = true;
  }

  /**
   * Returns the number of tasks whose progress shares one record, in a job of `taskCount` tasks. This is the default
   * size if one record can hold all tasks.
   */
  chunkSize(taskCount: number): number {
    const maxTasks = this.mayUseSmallChunks
      ? maxTasksPerChunk(this.valueBytes / this.entrySizeFactor)
      : DEFAULT_CHUNK_SIZE;
    return taskCount <= maxTasks ? DEFAULT_CHUNK_SIZE : maxTasks;
  }

  /** Returns the number of machines that share one fleet record, from 1 to `maximum`. */
  machinesPerRecord(maximum: number): number {
    const maxMachines = Math.floor(this.valueBytes / (BYTES_PER_MACHINE * this.entrySizeFactor));
    return Math.max(1, Math.min(maximum, maxMachines));
  }
}
