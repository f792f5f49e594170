/** Reads a leader's records ahead of a takeover, and brings them up to date when it has come. */
import { type Log, reason } from '../../log/logger.js';
import type { Revision } from '../../model/ids.js';
import { type Cancel, type Clock, sleep } from '../../model/time.js';
import { StateRefused, type StateStore } from '../../store/client.js';
import { keys } from '../../store/keys.js';
import type { Row } from '../../wire/state.js';

/** All rows under a prefix, as of one revision or later: changes after it may or may not be in them. */
export interface Records {
  readonly rows: Row[];
  readonly revision: Revision;
}

/** The records that a takeover reads. */
const PREFIXES = [keys.open, keys.fleet, keys.forecast];
/** What was read ahead is dropped after this: the suspicion lasts, and nobody takes over. */
const KEPT_MS = 60_000;
const REFUSED_PAUSE_MS = 50;

/** Reads all pages under a prefix. `ended`: nobody wants them any more. */
export async function readRecords(
  store: StateStore,
  prefix: string,
  askPage: <T>(ask: () => Promise<T>) => Promise<T>,
): Promise<Records> {
  const rows: Row[] = [];
  let revision: Revision | null = null;
  let after: string | undefined;
  for (;;) {
    const page = await askPage(() => store.range(prefix, after));
    // Changes that come between two pages are seen again by a watch from the first page on.
    revision ??= page.revision;
    rows.push(...page.rows);
    const last = page.rows[page.rows.length - 1];
    if (!page.more || !last) return { rows, revision };
    after = last.key;
  }
}

/** The records of one suspected leader. */
export class RecordPrefetch {
  private readonly records = new Map<string, Promise<Records | null>>();
  private generation = 0;
  private expiry: Cancel | null = null;

  constructor(
    private readonly store: StateStore,
    private readonly clock: Clock,
    private readonly log: Log,
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

  private async read(prefix: string, generation: number): Promise<Records | null> {
    const askPage = async <T>(ask: () => Promise<T>): Promise<T> => {
      for (;;) {
        if (generation !== this.generation) throw new Error('not wanted any more');
        try {
          return await ask();
        } catch (error) {
          if (!(error instanceof StateRefused && error.tooMany)) throw error;
          await sleep(this.clock, REFUSED_PAUSE_MS);
        }
      }
    };
    try {
      return await readRecords(this.store, prefix, askPage);
    } catch (error) {
      this.log.debug({ prefix, error: reason(error) }, 'records not read ahead');
      return null;
    }
  }

  /**
   * The rows under a prefix as they are now: what was read ahead, with all changes since. Null: nothing was read
   * ahead, or the changes since are not to be had. Each prefix is handed out once.
   */
  async take(prefix: string): Promise<Records | null> {
    const reading = this.records.get(prefix);
    if (reading === undefined) return null;
    this.records.delete(prefix);
    const records = await reading;
    if (records === null) return null;
    const news = await this.store.changes(prefix, records.revision, 0);
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
