/** A fake of the key-value store. */
import type { LeaseId, Revision } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { TokenBucket } from '../../src/net/token-bucket.js';
import type { TxnResult, KeyValueStore } from '../../src/store/client.js';
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

interface Entry {
  value: unknown;
  revision: Revision;
  lease: LeaseId | null;
}

const LATENCY_MS = 5;
/** The maximum of rows in one answer. */
const PAGE_SIZE = 500;
const DEADLINE_MS = 1000;
const MAX_TXN_BYTES = 64 * 1024;

/** The limits of a transaction's operations and of a value's bytes. */
export interface SizeLimits {
  readonly txnOps: number;
  readonly valueBytes: number;
}

/** Returns why the service would answer 400; null if it would not. */
function sizeViolation(
  { txnOps, valueBytes }: SizeLimits,
  conditions: readonly Compare[],
  writes: readonly WriteOperation[],
): string | null {
  if (writes.length > txnOps) return 'too many writes';
  if (conditions.length > txnOps * 4) return 'too many conditions';
  if (writes.some((write) => 'set' in write && Buffer.byteLength(JSON.stringify(write.value)) > valueBytes))
    return 'a value too long';
  return Buffer.byteLength(JSON.stringify({ conditions, writes })) > MAX_TXN_BYTES ? 'too long' : null;
}

/** Returns whether a transaction only compares keys that nobody writes, to learn the limits. */
function isLimitProbe(conditions: readonly Compare[], writes: readonly WriteOperation[]): boolean {
  return writes.length === 0 && conditions.every(({ key }) => key.startsWith('unused/'));
}

/** A key-value store in memory that behaves as the published protocol says. */
export class FakeKeyValueStore {
  readonly keys = new Map<string, Entry>();
  private readonly history: WatchEvent[] = [];
  private readonly leases = new Map<LeaseId, { ttl: number; validUntil: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  private nextLeaseId = 1;
  /** The number of requested puts and deletes, carried out or not. */
  writeCount = 0;
  /** The number of requests. */
  requestCount = 0;
  /** The limits of transactions and values. */
  sizeLimits: SizeLimits = { txnOps: 16, valueBytes: 16 * 1024 };
  /** Transactions that were rejected for their size, by reason. */
  readonly rejectedTransactions: string[] = [];
  /** The number of probes for the limits that were rejected because the limits have fallen. */
  limitProbeCount = 0;
  /** Whether every request is refused. */
  isUnavailable = false;
  /** Rate limits, beyond which requests are answered 429; null: none. */
  rateLimits: { readonly requests: TokenBucket; readonly writes: TokenBucket } | null = null;
  /** Every transaction is carried out a second time after this delay; null: it is not. */
  duplicateDelayMs: number | null = null;
  /** Nodes whose requests are refused while the others are served. */
  readonly refusedClients = new Set<string>();
  /** The fraction of transactions that are not answered and are carried out 2 to 12 s later, after newer ones. */
  lateCommitRate = 0;
  /** A random number from 0 up to 1. */
  random: () => number = () => 0;
  /** By node: its next transaction is not answered, and is carried out after this delay. */
  readonly nextCommitDelayMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {
    this.scheduleLeaseExpiry();
  }

  private scheduleLeaseExpiry(): void {
    this.clock.after(50, () => {
      const now = this.clock.now();
      for (const [id, lease] of this.leases) {
        // During an outage no lease expires; after it every lease has its full time to live again.
        if (this.isUnavailable) lease.validUntil = now + lease.ttl;
        else if (lease.validUntil <= now) this.endLease(id);
      }
      this.scheduleLeaseExpiry();
    });
  }

  private endLease(id: LeaseId): void {
    this.leases.delete(id);
    const drops = [...this.keys].filter(([, entry]) => entry.lease === id).map(([key]) => ({ drop: key }));
    if (drops.length > 0) this.apply(drops);
  }

  private apply(writes: readonly WriteOperation[]): Revision {
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

  private execute(conditions: readonly Compare[], writes: readonly WriteOperation[]): TxnResult {
    this.writeCount += writes.length;
    const failed = conditions
      .filter(({ key, revision }) => (this.keys.get(key)?.revision ?? 0) !== revision)
      .map(({ key }) => key);
    if (failed.length > 0) return { ok: false, failed };
    return { ok: true, revision: writes.length > 0 ? this.apply(writes) : (this.revision as Revision) };
  }

  private isRateLimited(writes: number): boolean {
    if (!this.rateLimits) return false;
    return !this.rateLimits.requests.tryTake() || (writes > 0 && !this.rateLimits.writes.tryTake(writes));
  }

  /** Returns the value of a key without latency or faults. */
  value(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** Restores records of an earlier run. */
  restore(records: readonly KeyValue[]): void {
    for (const { key, value, revision } of records) {
      this.keys.set(key, { value, revision, lease: null });
      this.revision = Math.max(this.revision, revision);
    }
  }

  /** Returns the store's interface for one node, whose timers run on `clock`. */
  clientFor(node: string, clock: Clock): KeyValueStore {
    const request = <T>(operation: () => T, writes = 0): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requestCount++;
        clock.after(LATENCY_MS, () => {
          if (this.isUnavailable || this.refusedClients.has(node))
            reject(new StoreRefusedError('state answered 503'));
          else if (this.isRateLimited(writes))
            reject(new StoreRefusedError('state answered 429', { isRateLimited: true }));
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
            rows: rows.slice(0, PAGE_SIZE),
            more: rows.length > PAGE_SIZE,
            revision: this.revision as Revision,
          };
        }),
      txn: (conditions, writes) => {
        const error = sizeViolation(this.sizeLimits, conditions, writes);
        if (error) {
          if (isLimitProbe(conditions, writes)) this.limitProbeCount++;
          else this.rejectedTransactions.push(error);
          return Promise.reject(new StoreRequestTooLargeError(`state: commit refused ${error}`));
        }
        const isLate = writes.length > 0 && this.lateCommitRate > 0 && this.random() < this.lateCommitRate;
        const delay = isLate ? 2000 + 10_000 * this.random() : this.nextCommitDelayMs.get(node);
        if (delay === undefined)
          return request(() => {
            if (this.duplicateDelayMs !== null)
              this.clock.after(this.duplicateDelayMs, () => this.execute(conditions, writes));
            return this.execute(conditions, writes);
          }, writes.length);
        this.nextCommitDelayMs.delete(node);
        this.clock.after(delay, () => this.execute(conditions, writes));
        return new Promise((_, reject) => {
          clock.after(DEADLINE_MS, () => reject(new StoreOutcomeUnknownError('state: deadline passed')));
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
      watch: (prefix, after, waitMs) =>
        new Promise((resolve, reject) => {
          if (this.refusedClients.has(node) || this.isUnavailable) {
            clock.after(LATENCY_MS, () => reject(new StoreRefusedError('state: watch answered 503')));
            return;
          }
          const newEvents = (): WatchEvent[] =>
            this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
          const answerIfDue = (): void => {
            if (this.isUnavailable || this.refusedClients.has(node)) return;
            if (newEvents().length === 0 && this.clock.now() < deadline) return;
            this.watchers.delete(answerIfDue);
            clock.after(LATENCY_MS, () =>
              resolve({ revision: this.revision as Revision, changes: newEvents() }),
            );
          };
          const deadline = this.clock.now() + waitMs;
          this.watchers.add(answerIfDue);
          this.clock.after(waitMs, answerIfDue);
          answerIfDue();
        }),
    };
  }
}
