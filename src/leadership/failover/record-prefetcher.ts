/**
 * Prefetches a suspected leader's records before a takeover and applies later changes when the takeover reads the
 * records.
 */
import { type Logger, errorMessage } from '../../log/logger.js';
import type { Cancel, Clock } from '../../model/time.js';
import type { KeyValueStore } from '../../store/client.js';
import { keys } from '../../store/keys.js';
import { type RecordSet, readRecords, retryWhileRateLimited } from '../../store/records.js';

/** The prefixes of the records that a takeover reads. */
const PREFETCHED_PREFIXES = [keys.open, keys.fleet, keys.forecast];
/** How long prefetched records are held while the leader remains suspected and no controller takes over. */
const PREFETCH_TTL_MS = 60_000;
/** The delay before a rate-limited read is retried. */
const RATE_LIMIT_RETRY_DELAY_MS = 50;

/** Thrown when the prefetched records are no longer needed. */
class PrefetchDiscardedError extends Error {
  override readonly name = 'PrefetchDiscardedError';

  constructor() {
    super('record prefetch discarded: the records are no longer needed');
  }
}

/** Holds the prefetched records of a suspected leader. */
export class RecordPrefetcher {
  private readonly records = new Map<string, Promise<RecordSet | null>>();
  private generation = 0;
  private cancelExpiry: Cancel | null = null;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Discards prefetched records and reads all prefixes again. Resolves once every read has succeeded or failed. */
  async start(): Promise<void> {
    this.discard();
    const { generation } = this;
    this.cancelExpiry = this.clock.after(PREFETCH_TTL_MS, () => this.discard());
    for (const prefix of PREFETCHED_PREFIXES) this.records.set(prefix, this.readPrefix(prefix, generation));
    await Promise.all(this.records.values());
  }

  /**
   * Drops the prefetched records and ends reads in progress; called when the leader is no longer suspected, when the
   * records expire, and before a new prefetch.
   */
  discard(): void {
    this.generation++;
    this.cancelExpiry?.();
    this.cancelExpiry = null;
    this.records.clear();
  }

  private async readPrefix(prefix: string, generation: number): Promise<RecordSet | null> {
    const isCurrentGeneration = (): boolean => generation === this.generation;
    const policy = {
      clock: this.clock,
      retryDelayMs: () => RATE_LIMIT_RETRY_DELAY_MS,
      shouldRetry: isCurrentGeneration,
    };
    const readPage = <Page>(request: () => Promise<Page>): Promise<Page> => {
      if (!isCurrentGeneration()) throw new PrefetchDiscardedError();
      return retryWhileRateLimited(policy, request);
    };
    try {
      return await readRecords(this.store, prefix, readPage);
    } catch (error) {
      this.log.debug({ prefix, error: errorMessage(error) }, 'record prefetch failed');
      return null;
    }
  }

  /**
   * Resolves with the present rows under a prefix: the prefetched rows with all later changes applied. Null: nothing
   * was prefetched, the prefetch failed, or the later changes are not available. Each prefix is returned once.
   */
  async take(prefix: string): Promise<RecordSet | null> {
    const pending = this.records.get(prefix);
    if (pending === undefined) return null;
    this.records.delete(prefix);
    const records = await pending;
    if (records === null) return null;
    const update = await this.store.watch(prefix, records.revision, 0);
    if (update === null) return null;
    const rows = new Map(records.rows.map((row) => [row.key, row]));
    for (const { key, value, revision } of update.changes) {
      if (value === undefined) rows.delete(key);
      else rows.set(key, { key, value, revision });
    }
    const sortedRows = [...rows.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
    return { rows: sortedRows, revision: update.revision };
  }
}
