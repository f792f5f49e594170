/** Reads whole prefixes of the state service, page by page, and asks again what was refused for too many requests. */
import type { Revision } from '../model/ids.js';
import { type Clock, sleep } from '../model/time.js';
import type { KeyValue } from '../wire/key-value-store.js';
import { StoreRefusedError, type KeyValueStore } from './client.js';

/** All rows under a prefix, as of one revision or later: changes after it may or may not be in them. */
export interface RecordSet {
  readonly rows: KeyValue[];
  readonly revision: Revision;
}

/** When a refused request is asked again, and whether its answer is still wanted. */
export interface RetryPolicy {
  readonly clock: Clock;
  readonly retryDelayMs: () => number;
  readonly isStillWanted: () => boolean;
}

/** Repeats what was refused for too many requests alone; any other error is the caller's, as is one nobody waits for. */
export async function retryWhileRateLimited<T>(
  { clock, retryDelayMs, isStillWanted }: RetryPolicy,
  ask: () => Promise<T>,
): Promise<T> {
  for (;;) {
    try {
      return await ask();
    } catch (error) {
      if (!(error instanceof StoreRefusedError && error.isRateLimited) || !isStillWanted()) throw error;
      await sleep(clock, retryDelayMs());
    }
  }
}

/** Reads all pages under a prefix, each by `askPage`. */
export async function readRecords(
  store: KeyValueStore,
  prefix: string,
  askPage: <T>(ask: () => Promise<T>) => Promise<T>,
): Promise<RecordSet> {
  const rows: KeyValue[] = [];
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
