/** Request coalescing: checks whether many records are unchanged with one request to the key-value store. */
import type { Revision } from '../model/ids.js';
import { type Clock, sleep } from '../model/time.js';
import type { KeyValueStore, TxnResult } from '../store/client.js';
import { isRateLimitedError } from '../store/errors.js';
import type { Compare } from '../wire/key-value-store.js';

const RATE_LIMIT_RETRY_DELAY_MS = 100;

interface PendingComparison {
  readonly key: string;
  readonly revision: Revision;
  readonly resolve: (isSame: boolean) => void;
  readonly reject: (error: unknown) => void;
}

/**
 * Batches revision checks into transactions without writes, each of which compares the revisions of many records at one
 * point in time after all checks of the batch were requested. Without batching, hundreds of users who each query every
 * few seconds would exhaust the store's request limit, including the leader's share.
 */
export class RevisionConfirmations {
  private pending: PendingComparison[] = [];
  private isBatchScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly store: KeyValueStore,
    /** The number of pending checks at which a batch is sent without waiting for the end of the batch window. */
    private readonly maxBatchSize: number,
    private readonly batchWindowMs: number,
  ) {}

  /**
   * Reports whether the key's record still has this revision; also false if an earlier check in the same batch asks
   * about another revision of the key. Rejects with the errors of the store client.
   */
  hasRevision(key: string, revision: Revision): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this.pending.push({ key, revision, resolve, reject });
      if (this.pending.length >= this.maxBatchSize) void this.sendBatch();
      else if (!this.isBatchScheduled) void this.sendBatchLater();
    });
  }

  private async sendBatchLater(): Promise<void> {
    this.isBatchScheduled = true;
    await sleep(this.clock, this.batchWindowMs);
    this.isBatchScheduled = false;
    await this.sendBatch();
  }

  /**
   * Sends the comparisons, and retries them once if the store refuses them by its rate limit: a failed batch would make
   * many users repeat their queries.
   */
  private async compare(compares: readonly Compare[]): Promise<TxnResult> {
    try {
      return await this.store.txn(compares, []);
    } catch (error) {
      if (!isRateLimitedError(error)) throw error;
      await sleep(this.clock, RATE_LIMIT_RETRY_DELAY_MS);
      return this.store.txn(compares, []);
    }
  }

  /** Sends all pending checks as one batch. Never rejects: an error is passed to the callers of `hasRevision`. */
  private async sendBatch(): Promise<void> {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) return;
    // A transaction compares each key once, while two callers may ask about different revisions of the same key.
    const byKey = new Map<string, PendingComparison>();
    for (const comparison of batch) if (!byKey.has(comparison.key)) byKey.set(comparison.key, comparison);
    try {
      const result = await this.compare([...byKey.values()].map(({ key, revision }) => ({ key, revision })));
      const failedKeys = new Set(result.ok ? [] : result.failed);
      for (const { key, revision, resolve } of batch) {
        resolve(!failedKeys.has(key) && byKey.get(key)?.revision === revision);
      }
    } catch (error) {
      for (const { reject } of batch) reject(error);
    }
  }
}
