/** Request coalescing: many questions whether a record is unchanged, in one request to the store. */
import type { Revision } from '../model/ids.js';
import { type Clock, sleep } from '../model/time.js';
import type { KeyValueStore, TxnResult } from '../store/client.js';
import { isRateLimitedError } from '../store/errors.js';
import type { Compare } from '../wire/key-value-store.js';

const RATE_LIMIT_RETRY_MS = 100;

interface PendingComparison {
  readonly key: string;
  readonly revision: Revision;
  readonly resolve: (isSame: boolean) => void;
  readonly reject: (error: unknown) => void;
}

/**
 * A transaction without writes compares the revisions of many records, at one moment after all of them were asked
 * for. Hundreds of users who each ask every few seconds would otherwise use up the requests that the store allows,
 * and with them the leader's.
 */
export class RevisionConfirmations {
  private pending: PendingComparison[] = [];
  private isBatchScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly store: KeyValueStore,
    /** A batch that has reached this size leaves at once. */
    private readonly maxBatchSize: number,
    private readonly batchWindowMs: number,
  ) {}

  /** Reports whether the key still has this revision. */
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

  /** A moment's overload of the store is not worth that many users' asking again: it is tried once more. */
  private async compare(compares: readonly Compare[]): Promise<TxnResult> {
    try {
      return await this.store.txn(compares, []);
    } catch (error) {
      if (!isRateLimitedError(error)) throw error;
      await sleep(this.clock, RATE_LIMIT_RETRY_MS);
      return this.store.txn(compares, []);
    }
  }

  /** Never rejects: what goes wrong is passed to those who asked. */
  private async sendBatch(): Promise<void> {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) return;
    // Two users may know one job by two revisions; a key is compared once in a request.
    const byKey = new Map<string, PendingComparison>();
    for (const question of batch) if (!byKey.has(question.key)) byKey.set(question.key, question);
    try {
      const result = await this.compare([...byKey.values()].map(({ key, revision }) => ({ key, revision })));
      const failed = new Set(result.ok ? [] : result.failed);
      for (const { key, revision, resolve } of batch) {
        resolve(!failed.has(key) && byKey.get(key)?.revision === revision);
      }
    } catch (error) {
      for (const { reject } of batch) reject(error);
    }
  }
}
