import type { LeaseId, Revision } from '../../src/model/ids.js';
import type { Clock } from '../../src/model/time.js';
import type { TokenBucket } from '../../src/net/token-bucket.js';
import {
  type TxnResult,
  StoreRefusedError,
  type KeyValueStore,
  StoreRequestTooLargeError,
  StoreOutcomeUnknownError,
} from '../../src/store/client.js';
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
/** Rows in one answer. */
const PAGE_SIZE = 500;
const DEADLINE_MS = 1000;
const MAX_TXN_BYTES = 64 * 1024;

export interface SizeLimits {
  readonly txnOps: number;
  readonly valueBytes: number;
}

/** What the service answers 400. */
function sizeViolation(
  { txnOps, valueBytes }: SizeLimits,
  conditions: readonly Compare[],
  writes: readonly WriteOperation[],
): string | null {
  if (writes.length > txnOps) return 'too many writes';
  if (conditions.length > txnOps * 4) return 'too many conditions';
  if (writes.some((w) => 'set' in w && Buffer.byteLength(JSON.stringify(w.value)) > valueBytes))
    return 'a value too long';
  return Buffer.byteLength(JSON.stringify({ conditions, writes })) > MAX_TXN_BYTES ? 'too long' : null;
}

/** Compares nothing but keys that nobody writes, to learn the limits. */
function isLimitProbe(conditions: readonly Compare[], writes: readonly WriteOperation[]): boolean {
  return writes.length === 0 && conditions.every(({ key }) => key.startsWith('unused/'));
}

/** A state service in memory, by the published protocol. */
export class FakeKeyValueStore {
  readonly keys = new Map<string, Entry>();
  private readonly history: WatchEvent[] = [];
  private readonly leases = new Map<LeaseId, { ttl: number; until: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  private nextLeaseId = 1;
  /** Puts and deletes that were asked for, carried out or not. */
  writeCount = 0;
  requestCount = 0;
  /** What one value and one transaction may hold. */
  sizeLimits: SizeLimits = { txnOps: 16, valueBytes: 16 * 1024 };
  /** What it would not even look at. */
  readonly rejectedTransactions: string[] = [];
  /** Comparisons that were refused because the limits have fallen, and that asked just that. */
  limitProbeCount = 0;
  isUnavailable = false;
  /** Requests and changes a second; more are answered 429, bursts of a second's worth aside. */
  rateLimits: { readonly requests: TokenBucket; readonly writes: TokenBucket } | null = null;
  /** Every commit comes once more, so many ms after it was carried out. */
  duplicateDelayMs: number | null = null;
  /** Nodes that are refused while the others are served. */
  readonly refusedClients = new Set<string>();
  /** Of this share of commits none is answered, and each is carried out 2 to 12 s later, after newer ones. */
  lateCommitRate = 0;
  /** Between 0 and 1. */
  random: () => number = () => 0;
  /** The next commit of such a node brings no answer and is applied after this many ms. */
  readonly nextCommitDelayMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {
    this.scheduleLeaseExpiry();
  }

  private scheduleLeaseExpiry(): void {
    this.clock.after(50, () => {
      const now = this.clock.now();
      for (const [id, grant] of this.leases) {
        // During an outage no lease ends; after it every lease has its full time again.
        if (this.isUnavailable) grant.until = now + grant.ttl;
        else if (grant.until <= now) this.endLease(id);
      }
      this.scheduleLeaseExpiry();
    });
  }

  private endLease(id: LeaseId): void {
    this.leases.delete(id);
    const drops = [...this.keys].filter(([, e]) => e.lease === id).map(([key]) => ({ drop: key }));
    if (drops.length > 0) this.apply(drops);
  }

  private apply(writes: readonly WriteOperation[]): Revision {
    this.revision++;
    const revision = this.revision as Revision;
    for (const w of writes) {
      if ('set' in w) {
        const value: unknown = JSON.parse(JSON.stringify(w.value));
        this.keys.set(w.set, { value, revision, lease: w.grant ?? null });
        this.history.push({ key: w.set, value, revision });
      } else if (this.keys.delete(w.drop)) this.history.push({ key: w.drop, value: undefined, revision });
    }
    for (const wake of [...this.watchers]) wake();
    return revision;
  }

  private execute(conditions: readonly Compare[], writes: readonly WriteOperation[]): TxnResult {
    this.writeCount += writes.length;
    const failed = conditions
      .filter((c) => (this.keys.get(c.key)?.revision ?? 0) !== c.revision)
      .map((c) => c.key);
    if (failed.length > 0) return { ok: false, failed };
    return { ok: true, revision: writes.length > 0 ? this.apply(writes) : (this.revision as Revision) };
  }

  private isRateLimited(writes: number): boolean {
    if (!this.rateLimits) return false;
    return !this.rateLimits.requests.tryTake() || (writes > 0 && !this.rateLimits.writes.tryTake(writes));
  }

  value(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** What an earlier day has left. */
  restore(records: readonly KeyValue[]): void {
    for (const { key, value, revision } of records) {
      this.keys.set(key, { value, revision, lease: null });
      this.revision = Math.max(this.revision, revision);
    }
  }

  /** The service as one process sees it. */
  clientFor(node: string, clock: Clock): KeyValueStore {
    const ask = <T>(act: () => T, writes = 0): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requestCount++;
        clock.after(LATENCY_MS, () => {
          if (this.isUnavailable || this.refusedClients.has(node))
            reject(new StoreRefusedError('state answered 503'));
          else if (this.isRateLimited(writes)) reject(new StoreRefusedError('state answered 429', true));
          else resolve(act());
        });
      });
    return {
      get: (key) =>
        ask((): KeyValue | null => {
          const e = this.keys.get(key);
          if (!e) return null;
          const row = { key, value: e.value, revision: e.revision };
          return e.lease === null ? row : { ...row, lease: e.lease };
        }),
      range: (prefix, after) =>
        ask((): KeyValuePage => {
          const rows = [...this.keys]
            .filter(([key]) => key.startsWith(prefix) && (after === undefined || key > after))
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([key, e]) => ({ key, value: e.value, revision: e.revision }));
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
        const late = writes.length > 0 && this.lateCommitRate > 0 && this.random() < this.lateCommitRate;
        const delay = late ? 2000 + 10_000 * this.random() : this.nextCommitDelayMs.get(node);
        if (delay === undefined)
          return ask(() => {
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
        ask(() => {
          const id = this.nextLeaseId++ as LeaseId;
          this.leases.set(id, { ttl, until: this.clock.now() + ttl });
          return id;
        }),
      keepLeaseAlive: (id) =>
        ask(() => {
          const grant = this.leases.get(id);
          if (grant) grant.until = this.clock.now() + grant.ttl;
          return grant !== undefined;
        }),
      revokeLease: (id) => ask(() => this.endLease(id)),
      watch: (prefix, after, waitMs) =>
        new Promise((resolve, reject) => {
          if (this.refusedClients.has(node) || this.isUnavailable) {
            clock.after(LATENCY_MS, () => reject(new StoreRefusedError('state: watch answered 503')));
            return;
          }
          const news = (): WatchEvent[] =>
            this.history.filter((c) => c.revision > after && c.key.startsWith(prefix));
          const answer = (): void => {
            if (this.isUnavailable || this.refusedClients.has(node)) return;
            if (news().length === 0 && this.clock.now() < end) return;
            this.watchers.delete(answer);
            clock.after(LATENCY_MS, () => resolve({ revision: this.revision as Revision, changes: news() }));
          };
          const end = this.clock.now() + waitMs;
          this.watchers.add(answer);
          this.clock.after(waitMs, answer);
          answer();
        }),
    };
  }
}
