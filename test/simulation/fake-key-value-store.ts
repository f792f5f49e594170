/** An in-memory fake of the key-value store. */
import type { LeaseId, Revision } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { TokenBucket } from '../../src/net/token-bucket.js';
import type { TxnResult, KeyValueStore, WatchResult } from '../../src/store/client.js';
import {
  StoreRefusedError,
  StoreRequestTooLargeError,
  StoreOutcomeUnknownError,
} from '../../src/store/errors.js';
import type {
  WatchEvent,
  Compare,
  KeyValuePage,
  KeyValue,
  WriteOperation,
} from '../../src/wire/key-value-store.js';

interface StoredEntry {
  value: unknown;
  revision: Revision;
  lease: LeaseId | null;
}

/** The delay between a request to the store and its answer. */
const REQUEST_LATENCY_MS = 5;
/** The maximum number of rows in one page of a range read. */
const MAX_ROWS_PER_PAGE = 500;
/** The time after which a client gives up on a transaction that gets no answer. */
const REQUEST_DEADLINE_MS = 1000;
/** The maximum size of a transaction's JSON body. */
const MAX_TXN_BYTES = 64 * 1024;

/** The size limits of the key-value store. */
export interface SizeLimits {
  /** The maximum number of writes in a transaction; a transaction may have four times as many conditions. */
  readonly txnOps: number;
  /** The maximum length of a value's JSON. */
  readonly valueBytes: number;
}

/** Returns the size limit that a transaction exceeds, for which the store answers 400; null if it exceeds none. */
function sizeViolation(
  { txnOps, valueBytes }: SizeLimits,
  conditions: readonly Compare[],
  writes: readonly WriteOperation[],
): string | null {
  if (writes.length > txnOps) return 'the number of writes exceeds the limit';
  if (conditions.length > txnOps * 4) return 'the number of conditions exceeds the limit';
  if (writes.some((write) => 'set' in write && Buffer.byteLength(JSON.stringify(write.value)) > valueBytes))
    return 'the length of a value exceeds the limit';
  return Buffer.byteLength(JSON.stringify({ conditions, writes })) > MAX_TXN_BYTES
    ? 'the length of the transaction exceeds the limit'
    : null;
}

/**
 * Returns whether a transaction is a limit probe, with which a controller learns the size limits: the transaction
 * writes nothing and compares only `unused/` keys, which no controller writes.
 */
function isLimitProbe(conditions: readonly Compare[], writes: readonly WriteOperation[]): boolean {
  return writes.length === 0 && conditions.every(({ key }) => key.startsWith('unused/'));
}

/** An in-memory key-value store that follows the published protocol, with faults that tests switch on. */
export class FakeKeyValueStore {
  readonly keys = new Map<string, StoredEntry>();
  private readonly history: WatchEvent[] = [];
  private readonly leases = new Map<LeaseId, { ttl: number; validUntil: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  /** The number of reads of changes, without watches. */
  changesCount = 0;
  /** The oldest revision after which the changes are still kept. */
  private compactedRevision = 0;
  private nextLeaseId = 1;
  /** The number of puts and deletes in all executed transactions, committed or not; a second execution counts again. */
  writeCount = 0;
  /**
   * The number of requests of all clients except watches, and except transactions that are rejected for their size or
   * get no answer.
   */
  requestCount = 0;
  /** The current limits on the sizes of transactions and values. */
  sizeLimits: SizeLimits = { txnOps: 16, valueBytes: 16 * 1024 };
  /** The reason of each transaction that was rejected for its size, without limit probes. */
  readonly rejectedTransactions: string[] = [];
  /** The number of limit probes that were rejected: a controller sends limit probes to detect lowered limits. */
  limitProbeCount = 0;
  /**
   * Whether the store refuses requests with status 503. Open watches get no answer instead, transactions over a size
   * limit are rejected with their reason, and delayed transactions are executed all the same.
   */
  isUnavailable = false;
  /**
   * Token buckets for requests and writes; a request over either rate is answered 429. Watches and delayed
   * transactions take no tokens. Null: no rate limit.
   */
  rateLimits: { readonly requests: TokenBucket; readonly writes: TokenBucket } | null = null;
  /**
   * The delay after which every transaction that was executed without a delay is executed a second time; null:
   * transactions run once.
   */
  duplicateDelayMs: number | null = null;
  /**
   * Controllers whose requests are refused with status 503 as if `isUnavailable` were true, while the requests of all
   * others are served.
   */
  readonly refusedClients = new Set<string>();
  /**
   * The fraction of writing transactions that get no answer and are executed 2 to 12 s later, possibly after newer
   * transactions.
   */
  lateCommitRate = 0;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number = () => 0;
  /**
   * The delay after which the next transaction of a controller is executed, by controller. That transaction gets no
   * answer.
   */
  readonly nextCommitDelayMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {
    this.scheduleLeaseExpiry();
  }

  private scheduleLeaseExpiry(): void {
    this.clock.after(50, () => {
      const now = this.clock.now();
      for (const [id, lease] of this.leases) {
        // No lease expires during an outage of the store; after the outage every lease has its full TTL again.
        if (this.isUnavailable) lease.validUntil = now + lease.ttl;
        else if (lease.validUntil <= now) this.endLease(id);
      }
      this.scheduleLeaseExpiry();
    });
  }

  private endLease(id: LeaseId): void {
    this.leases.delete(id);
    const deletions = [...this.keys]
      .filter(([, entry]) => entry.lease === id)
      .map(([key]) => ({ drop: key }));
    if (deletions.length > 0) this.applyWrites(deletions);
  }

  private applyWrites(writes: readonly WriteOperation[]): Revision {
    this.revision++;
    const revision = this.revision as Revision;
    for (const write of writes) {
      if ('set' in write) {
        const value: unknown = JSON.parse(JSON.stringify(write.value));
        this.keys.set(write.set, { value, revision, lease: write.grant ?? null });
        this.history.push({ key: write.set, value, revision });
      } else if (this.keys.delete(write.drop)) {
        this.history.push({ key: write.drop, value: undefined, revision });
      }
    }
    for (const notify of [...this.watchers]) notify();
    return revision;
  }

  private executeTransaction(conditions: readonly Compare[], writes: readonly WriteOperation[]): TxnResult {
    this.writeCount += writes.length;
    const failed = conditions
      .filter(({ key, revision }) => (this.keys.get(key)?.revision ?? 0) !== revision)
      .map(({ key }) => key);
    if (failed.length > 0) return { ok: false, failed };
    return { ok: true, revision: writes.length > 0 ? this.applyWrites(writes) : (this.revision as Revision) };
  }

  /** Returns the changes after a revision; null: the revision is older than the kept changes (410). */
  private changesSince(prefix: string, after: Revision): WatchResult {
    if (after < this.compactedRevision) return null;
    const changes = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    return { revision: this.revision as Revision, changes };
  }

  /** Discards the history of changes, as the store does with all but the last 10,000. */
  compact(): void {
    this.compactedRevision = this.revision;
  }

  private isRateLimited(writes: number): boolean {
    if (!this.rateLimits) return false;
    return !this.rateLimits.requests.tryTake() || (writes > 0 && !this.rateLimits.writes.tryTake(writes));
  }

  /** Reads the value of a key directly, without latency or injected faults. */
  value(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** Loads the records of an earlier run with their revisions, attached to no lease. */
  restore(records: readonly KeyValue[]): void {
    for (const { key, value, revision } of records) {
      this.keys.set(key, { value, revision, lease: null });
      this.revision = Math.max(this.revision, revision);
    }
  }

  /** Returns a client of the store for one controller; the client's timers run on the controller's `clock`. */
  clientFor(node: string, clock: Clock): KeyValueStore {
    const request = <T>(operation: () => T, writes = 0): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requestCount++;
        clock.after(REQUEST_LATENCY_MS, () => {
          if (this.isUnavailable || this.refusedClients.has(node))
            reject(new StoreRefusedError('key-value store answered a request with status 503'));
          else if (this.isRateLimited(writes))
            reject(
              new StoreRefusedError('key-value store answered a request with status 429', {
                isRateLimited: true,
              }),
            );
          else resolve(operation());
        });
      });
    return {
      get: (key) =>
        request((): KeyValue | null => {
          const entry = this.keys.get(key);
          if (!entry) return null;
          const row = { key, value: entry.value, revision: entry.revision };
          return entry.lease === null ? row : { ...row, lease: entry.lease };
        }),
      range: (prefix, after) =>
        request((): KeyValuePage => {
          const rows = [...this.keys]
            .filter(([key]) => key.startsWith(prefix) && (after === undefined || key > after))
            .sort(([first], [second]) => (first < second ? -1 : 1))
            .map(([key, { value, revision }]) => ({ key, value, revision }));
          return {
            rows: rows.slice(0, MAX_ROWS_PER_PAGE),
            more: rows.length > MAX_ROWS_PER_PAGE,
            revision: this.revision as Revision,
          };
        }),
      txn: (conditions, writes) => {
        const error = sizeViolation(this.sizeLimits, conditions, writes);
        if (error) {
          if (isLimitProbe(conditions, writes)) this.limitProbeCount++;
          else this.rejectedTransactions.push(error);
          return Promise.reject(
            new StoreRequestTooLargeError(`key-value store rejected a transaction: ${error}`),
          );
        }
        const isLate = writes.length > 0 && this.lateCommitRate > 0 && this.random() < this.lateCommitRate;
        const delayMs = isLate ? 2000 + 10_000 * this.random() : this.nextCommitDelayMs.get(node);
        if (delayMs === undefined)
          return request(() => {
            if (this.duplicateDelayMs !== null)
              this.clock.after(this.duplicateDelayMs, () => this.executeTransaction(conditions, writes));
            return this.executeTransaction(conditions, writes);
          }, writes.length);
        this.nextCommitDelayMs.delete(node);
        this.clock.after(delayMs, () => this.executeTransaction(conditions, writes));
        return new Promise((_, reject) => {
          clock.after(REQUEST_DEADLINE_MS, () =>
            reject(
              new StoreOutcomeUnknownError(
                'key-value store did not answer a transaction before its deadline',
              ),
            ),
          );
        });
      },
      grantLease: (ttl) =>
        request(() => {
          const id = this.nextLeaseId++ as LeaseId;
          this.leases.set(id, { ttl, validUntil: this.clock.now() + ttl });
          return id;
        }),
      keepLeaseAlive: (id) =>
        request(() => {
          const lease = this.leases.get(id);
          if (lease) lease.validUntil = this.clock.now() + lease.ttl;
          return lease !== undefined;
        }),
      revokeLease: (id) => request(() => this.endLease(id)),
      changes: (prefix, after) => {
        this.changesCount++;
        return request(() => this.changesSince(prefix, after));
      },
      watch: (prefix, after, waitMs) =>
        new Promise((resolve, reject) => {
          if (this.refusedClients.has(node) || this.isUnavailable) {
            clock.after(REQUEST_LATENCY_MS, () =>
              reject(new StoreRefusedError('key-value store answered a watch with status 503')),
            );
            return;
          }
          const newEvents = (): WatchEvent[] => this.changesSince(prefix, after)?.changes ?? [];
          const answerIfDue = (): void => {
            if (this.isUnavailable || this.refusedClients.has(node)) return;
            const isCompacted = after < this.compactedRevision;
            if (!isCompacted && newEvents().length === 0 && this.clock.now() < deadline) return;
            this.watchers.delete(answerIfDue);
            clock.after(REQUEST_LATENCY_MS, () => resolve(this.changesSince(prefix, after)));
          };
          const deadline = this.clock.now() + waitMs;
          this.watchers.add(answerIfDue);
          this.clock.after(waitMs, answerIfDue);
          answerIfDue();
        }),
    };
  }
}
