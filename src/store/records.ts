/** Reads whole prefixes of the key-value store page by page, and repeats requests that were rate limited. */
import type { Revision } from '../model/ids.js';
import { type Clock, sleep } from '../model/time.js';
import type { KeyValue } from '../wire/key-value-store.js';
import type { KeyValueStore } from './client.js';
import { isRateLimitedError } from './errors.js';

/** All rows under a prefix as of one revision or later: changes after it may or may not be in them. */
export interface RecordSet {
  readonly rows: KeyValue[];
  readonly revision: Revision;
}

/** When a rate-limited request is repeated, and whether its answer is still wanted. */
export interface RetryPolicy {
  readonly clock: Clock;
  readonly retryDelayMs: () => number;
  readonly isStillWanted: () => boolean;
}

/**
 * Repeats a request for as long as it is rate limited and its answer is still wanted. Any other error is thrown,
 * and so is the last one once the answer is not wanted any more.
 */
export async function retryWhileRateLimited<T>(
  { clock, retryDelayMs, isStillWanted }: RetryPolicy,
  request: () => Promise<T>,
): Promise<T> {
  for (;;) {
    try {
      return await request();
    } catch (error) {
      if (!isRateLimitedError(error) || !isStillWanted()) throw error;
      await sleep(clock, retryDelayMs());
    }
  }
}

/** Reads all pages under a prefix; `requestPage` makes the request for each of them. */
export async function readRecords(
  store: KeyValueStore,
  prefix: string,
  requestPage: <T>(request: () => Promise<T>) => Promise<T>,
): Promise<RecordSet> {
  const rows: KeyValue[] = [];
  let revision: Revision | null = null;
  let after: string | undefined;
  for (;;) {
    const page = await requestPage(() => store.range(prefix, after));
    // Changes between two pages are seen again by a watch from the first page's revision.
    revision ??= page.revision;
    rows.push(...page.rows);
    const last = page.rows[page.rows.length - 1];
    if (!page.more || !last) return { rows, revision };
    after = last.key;
  }
}
