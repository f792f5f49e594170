/** What the state service takes, now and after the change that the settings announce. */
import type { Cancel, Clock } from '../model/time.js';
import type { Settings, StoreLimitSettings } from '../wire/settings.js';
import { StoreRefusedError, StoreRequestTooLargeError } from './client.js';
import { DEFAULT_CHUNK_SIZE } from './keys.js';
import { maxTasksPerChunk } from './progress-record.js';

/**
 * Where the service can't be asked whether its limits have fallen, the announced rates are kept to for so
 * long after the first refusal, and twice as long after each further one.
 */
const FIRST_HELD_MS = 20_000;
/** How long the answer that the limits have not fallen explains further refusals. */
const ASKED_FOR_MS = 2000;
/** A question that brought no answer is asked again after this. */
const ASK_AGAIN_MS = 1000;
/** What one machine takes in its record, with the longest names seen and room for longer ones. */
const MACHINE_BYTES = 100;

/** Whether the announced limits hold by now; null: the service has not said. */
export type LimitProbe = () => Promise<boolean | null>;

/**
 * What the state service takes, as we know it. Its limits may fall without notice to those that the
 * settings announce. Sizes keep to the smaller of both from the first write on. Rates follow a refusal at
 * once; since a crowd of submissions is refused long before the limits fall, the service is then asked.
 */
export class StoreLimits {
  readonly valueBytes: number;
  readonly txnOps: number;
  private fallen = false;
  /** The announced limits hold, once and for all. */
  private forGood = false;
  private held = FIRST_HELD_MS;
  private asking = false;
  private explained = false;
  private split = false;
  /** Entries take so many times the room that they are reckoned with. */
  private entryScale = 1;
  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly settings: Pick<Settings, 'storeLimits' | 'announcedStoreLimits'>,
    private readonly clock: Clock,
    /** Null: the announced limits can't be told from today's by asking. */
    private readonly probe: LimitProbe | null = null,
  ) {
    const { storeLimits, announcedStoreLimits } = settings;
    this.valueBytes = Math.min(storeLimits.valueBytes, announcedStoreLimits.valueBytes);
    this.txnOps = Math.min(storeLimits.txnOps, announcedStoreLimits.txnOps);
  }

  private get rates(): StoreLimitSettings {
    return this.fallen ? this.settings.announcedStoreLimits : this.settings.storeLimits;
  }

  get rps(): number {
    return this.rates.rps;
  }

  get writeRps(): number {
    return this.rates.writeRps;
  }

  /** Called at once, and whenever a rate has changed, until it is called off. */
  onRateChange(listener: () => void): Cancel {
    this.listeners.add(listener);
    listener();
    return () => this.listeners.delete(listener);
  }

  /** A call failed: a refusal for too much, or of something too large, tells of the limits. */
  recordFailure(error: unknown): void {
    if (error instanceof StoreRequestTooLargeError) this.fallForGood();
    else if (error instanceof StoreRefusedError && error.isRateLimited) this.refused();
  }

  /**
   * The same for a write of records whose entries are only reckoned. Where they keep to the announced limits
   * already and are too large, entries are longer than reckoned: fewer of them share a record then.
   */
  recordWriteFailure(error: unknown): void {
    if (error instanceof StoreRequestTooLargeError && this.split) this.entryScale *= 2;
    this.recordFailure(error);
  }

  private refused(): void {
    const { storeLimits, announcedStoreLimits } = this.settings;
    if (this.fallen || this.explained) return;
    if (announcedStoreLimits.rps >= storeLimits.rps && announcedStoreLimits.writeRps >= storeLimits.writeRps)
      return;
    this.rate(true);
    if (this.probe) {
      void this.ask(this.probe);
      return;
    }
    this.clock.after(this.held, () => this.rate(this.forGood));
    this.held *= 2;
  }

  private async ask(probe: LimitProbe): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    const fallen = await probe();
    this.asking = false;
    if (this.forGood) return;
    if (fallen === null) this.clock.after(ASK_AGAIN_MS, () => void this.ask(probe));
    else if (fallen) this.forGood = true;
    else {
      this.rate(false);
      this.explained = true;
      this.clock.after(ASKED_FOR_MS, () => {
        this.explained = false;
      });
    }
  }

  private rate(fallen: boolean): void {
    if (this.fallen === fallen) return;
    this.fallen = fallen;
    for (const listener of this.listeners) listener();
  }

  private fallForGood(): void {
    this.split = true;
    this.forGood = true;
    this.rate(true);
  }

  /**
   * No controller is left that could not read split records: it could take over. Chunks of a job then
   * keep to the smaller limit; until then to the size that every version reads.
   */
  allowSmallChunks(): void {
    this.split = true;
  }

  /** How many tasks share one record of progress, in a job of so many. */
  chunkSize(tasks: number): number {
    const most = this.split ? maxTasksPerChunk(this.valueBytes / this.entryScale) : DEFAULT_CHUNK_SIZE;
    return tasks <= most ? DEFAULT_CHUNK_SIZE : most;
  }

  /** How many machines share one record. */
  machinesPerRecord(most: number): number {
    return Math.max(1, Math.min(most, Math.floor(this.valueBytes / (MACHINE_BYTES * this.entryScale))));
  }
}
