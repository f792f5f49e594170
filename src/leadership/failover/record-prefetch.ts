/** Reads a leader's records ahead of a takeover, and brings them up to date when it has come. */
import { type Logger, errorMessage } from '../../log/logger.js';
import type { Cancel, Clock } from '../../model/time.js';
import type { KeyValueStore } from '../../store/client.js';
import { keys } from '../../store/keys.js';
import { type RecordSet, readRecords, retryWhileRateLimited } from '../../store/records.js';

/** The records that a takeover reads. */
const PREFIXES = [keys.open, keys.fleet, keys.forecast];
/** What was read ahead is dropped after this: the suspicion lasts, and nobody takes over. */
const KEPT_MS = 60_000;
const REFUSED_PAUSE_MS = 50;

/** The records of one suspected leader. */
export class RecordPrefetch {
  private readonly records = new Map<string, Promise<RecordSet | null>>();
  private generation = 0;
  private expiry: Cancel | null = null;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Begins to read. Resolves once all that could be read is there. */
  async begin(): Promise<void> {
    this.discard();
    const { generation } = this;
    this.expiry = this.clock.after(KEPT_MS, () => this.discard());
    for (const prefix of PREFIXES) this.records.set(prefix, this.read(prefix, generation));
    await Promise.all(this.records.values());
  }

  /** Forgets everything: the leader has shown that it lives. */
  discard(): void {
    this.generation++;
    this.expiry?.();
    this.expiry = null;
    this.records.clear();
  }

  private async read(prefix: string, generation: number): Promise<RecordSet | null> {
    const wanted = (): boolean => generation === this.generation;
    const policy = { clock: this.clock, retryDelayMs: () => REFUSED_PAUSE_MS, isStillWanted: wanted };
    const askPage = <T>(ask: () => Promise<T>): Promise<T> => {
      if (!wanted()) throw new Error('not wanted any more');
      return retryWhileRateLimited(policy, ask);
    };
    try {
      return await readRecords(this.store, prefix, askPage);
    } catch (error) {
      this.log.debug({ prefix, error: errorMessage(error) }, 'records not read ahead');
      return null;
    }
  }

  /**
   * The rows under a prefix as they are now: what was read ahead, with all changes since. Null: nothing was read
   * ahead, or the changes since are not to be had. Each prefix is handed out once.
   */
  async take(prefix: string): Promise<RecordSet | null> {
    const reading = this.records.get(prefix);
    if (reading === undefined) return null;
    this.records.delete(prefix);
    const records = await reading;
    if (records === null) return null;
    const news = await this.store.watch(prefix, records.revision, 0);
    if (news === null) return null;
    const rows = new Map(records.rows.map((row) => [row.key, row]));
    for (const { key, value, revision } of news.changes) {
      if (value === undefined) rows.delete(key);
      else rows.set(key, { key, value, revision });
    }
    const sorted = [...rows.values()].sort((a, b) => (a.key < b.key ? -1 : 1));
    return { rows: sorted, revision: news.revision };
  }
}
