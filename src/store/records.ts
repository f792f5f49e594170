/** Reads all records under a prefix of the key-value store page by page, and retries rate-limited requests. */
import type { Revision } from '../model/ids.js';
import { type Clock, sleep } from '../model/time.js';
import type { KeyValue } from '../wire/key-value-store.js';
import type { KeyValueStore } from './client.js';
import { isRateLimitedError } from './errors.js';

/** All rows under a prefix, read at `revision` or later: changes after `revision` may or may not be included. */
export interface RecordSet {
  readonly rows: KeyValue[];
  readonly revision: Revision;
}

/** Delay between retries of a rate-limited request, and the condition under which the caller still needs the answer. */
export interface RetryPolicy {
  readonly clock: Clock;
  readonly retryDelayMs: () => number;
  readonly shouldRetry: () => boolean;
}

/**
 * Retries a request while the store rate limits it and `shouldRetry` returns true. Throws any other error at once,
 * and the latest rate-limit error when `shouldRetry` returns false.
 */
export async function retryWhileRateLimited<T>(
  { clock, retryDelayMs, shouldRetry }: RetryPolicy,
  request: () => Promise<T>,
): Promise<T> {
  for (;;) {
    try {
      return await request();
    } catch (error) {
      if (!isRateLimitedError(error) || !shouldRetry()) throw error;
      await sleep(clock, retryDelayMs());
    }
  }
}

/** Reads all pages of the rows under a prefix. `requestPage` runs the request for each page, with any retries. */
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
    // A watch from the first page's revision also reports the changes that were made between two pages.
    revision ??= page.revision;
    rows.push(...page.rows);
    const last = page.rows[page.rows.length - 1];
    if (!page.more || !last) return { rows, revision };
    after = last.key;
  }
}
