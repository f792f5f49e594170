/** Prefetches a leader's records ahead of a takeover, and brings them up to date when it has come. */
import { type Logger, errorMessage } from '../../log/logger.js';
import type { Cancel, Clock } from '../../model/time.js';
import type { KeyValueStore } from '../../store/client.js';
import { keys } from '../../store/keys.js';
import { type RecordSet, readRecords, retryWhileRateLimited } from '../../store/records.js';

/** The records that a takeover reads. */
const PREFIXES = [keys.open, keys.fleet, keys.forecast];
/** Prefetched records are dropped after this: the suspicion lasts, and nobody takes over. */
const PREFETCH_TTL_MS = 60_000;
const RATE_LIMIT_RETRY_MS = 50;

/** The records are not needed any more. */
class PrefetchDiscardedError extends Error {
  override readonly name = 'PrefetchDiscardedError';

  constructor() {
    super('prefetch discarded');
  }
}

/** Holds the records of one suspected leader. */
export class RecordPrefetcher {
  private readonly records = new Map<string, Promise<RecordSet | null>>();
  private generation = 0;
  private expiry: Cancel | null = null;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Starts to read, from the beginning. Resolves once all that could be read is there. */
  async start(): Promise<void> {
    this.discard();
    const { generation } = this;
    this.expiry = this.clock.after(PREFETCH_TTL_MS, () => this.discard());
    for (const prefix of PREFIXES) this.records.set(prefix, this.read(prefix, generation));
    await Promise.all(this.records.values());
  }

  /** Drops everything: the leader has shown that it is alive. */
  discard(): void {
    this.generation++;
    this.expiry?.();
    this.expiry = null;
    this.records.clear();
  }

  private async read(prefix: string, generation: number): Promise<RecordSet | null> {
    const isWanted = (): boolean => generation === this.generation;
    const policy = { clock: this.clock, retryDelayMs: () => RATE_LIMIT_RETRY_MS, isStillWanted: isWanted };
    const readPage = <Page>(request: () => Promise<Page>): Promise<Page> => {
      if (!isWanted()) throw new PrefetchDiscardedError();
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
   * The rows under a prefix as they are now: those prefetched, with all changes since. Null: nothing was prefetched,
   * or the changes since are not available. Each prefix is handed out once.
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
    const sorted = [...rows.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
    return { rows: sorted, revision: update.revision };
  }
}
