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
  grant: LeaseId | null;
}

const LATENCY_MS = 5;
/** Rows in one answer. */
const PAGE = 500;
const DEADLINE_MS = 1000;
const TXN_BYTES = 64 * 1024;

export interface Sizes {
  readonly txnOps: number;
  readonly valueBytes: number;
}

/** What the service answers 400. */
function malformed(
  { txnOps, valueBytes }: Sizes,
  conditions: readonly Compare[],
  writes: readonly WriteOperation[],
): string | null {
  if (writes.length > txnOps) return 'too many writes';
  if (conditions.length > txnOps * 4) return 'too many conditions';
  if (writes.some((w) => 'set' in w && Buffer.byteLength(JSON.stringify(w.value)) > valueBytes))
    return 'a value too long';
  return Buffer.byteLength(JSON.stringify({ conditions, writes })) > TXN_BYTES ? 'too long' : null;
}

/** Compares nothing but keys that nobody writes, to learn the limits. */
function isProbe(conditions: readonly Compare[], writes: readonly WriteOperation[]): boolean {
  return writes.length === 0 && conditions.every(({ key }) => key.startsWith('unused/'));
}

/** A state service in memory, by the published protocol. */
export class FakeKeyValueStore {
  readonly keys = new Map<string, Entry>();
  private readonly log: WatchEvent[] = [];
  private readonly grants = new Map<LeaseId, { ttl: number; until: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  private nextGrant = 1;
  /** Puts and deletes that were asked for, carried out or not. */
  writes = 0;
  requests = 0;
  /** What one value and one transaction may hold. */
  sizes: Sizes = { txnOps: 16, valueBytes: 16 * 1024 };
  /** What it would not even look at. */
  readonly malformed: string[] = [];
  /** Comparisons that were refused because the limits have fallen, and that asked just that. */
  probes = 0;
  outage = false;
  /** Requests and changes a second; more are answered 429, bursts of a second's worth aside. */
  limits: { readonly requests: TokenBucket; readonly writes: TokenBucket } | null = null;
  /** Every commit comes once more, so many ms after it was carried out. */
  repeatAfter: number | null = null;
  /** Nodes that are refused while the others are served. */
  readonly refused = new Set<string>();
  /** Of this share of commits none is answered, and each is carried out 2 to 12 s later, after newer ones. */
  lateShare = 0;
  /** Between 0 and 1. */
  random: () => number = () => 0;
  /** The next commit of such a node brings no answer and is applied after this many ms. */
  readonly delayCommit = new Map<string, number>();

  constructor(private readonly clock: Clock) {
    this.expire();
  }

  private expire(): void {
    this.clock.after(50, () => {
      const now = this.clock.now();
      for (const [id, grant] of this.grants) {
        // During an outage no lease ends; after it every lease has its full time again.
        if (this.outage) grant.until = now + grant.ttl;
        else if (grant.until <= now) this.endGrant(id);
      }
      this.expire();
    });
  }

  private endGrant(id: LeaseId): void {
    this.grants.delete(id);
    const drops = [...this.keys].filter(([, e]) => e.grant === id).map(([key]) => ({ drop: key }));
    if (drops.length > 0) this.apply(drops);
  }

  private apply(writes: readonly WriteOperation[]): Revision {
    this.revision++;
    const revision = this.revision as Revision;
    for (const w of writes) {
      if ('set' in w) {
        const value: unknown = JSON.parse(JSON.stringify(w.value));
        this.keys.set(w.set, { value, revision, grant: w.grant ?? null });
        this.log.push({ key: w.set, value, revision });
      } else if (this.keys.delete(w.drop)) this.log.push({ key: w.drop, value: undefined, revision });
    }
    for (const wake of [...this.watchers]) wake();
    return revision;
  }

  private decide(conditions: readonly Compare[], writes: readonly WriteOperation[]): TxnResult {
    this.writes += writes.length;
    const failed = conditions
      .filter((c) => (this.keys.get(c.key)?.revision ?? 0) !== c.revision)
      .map((c) => c.key);
    if (failed.length > 0) return { ok: false, failed };
    return { ok: true, revision: writes.length > 0 ? this.apply(writes) : (this.revision as Revision) };
  }

  private tooMany(writes: number): boolean {
    if (!this.limits) return false;
    return !this.limits.requests.tryTake() || (writes > 0 && !this.limits.writes.tryTake(writes));
  }

  value(key: string): unknown {
    return this.keys.get(key)?.value;
  }

  /** What an earlier day has left. */
  restore(records: readonly KeyValue[]): void {
    for (const { key, value, revision } of records) {
      this.keys.set(key, { value, revision, grant: null });
      this.revision = Math.max(this.revision, revision);
    }
  }

  /** The service as one process sees it. */
  for(node: string, clock: Clock): KeyValueStore {
    const ask = <T>(act: () => T, writes = 0): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requests++;
        clock.after(LATENCY_MS, () => {
          if (this.outage || this.refused.has(node)) reject(new StoreRefusedError('state answered 503'));
          else if (this.tooMany(writes))
            reject(new StoreRefusedError('state answered 429', { isRateLimited: true }));
          else resolve(act());
        });
      });
    return {
      get: (key) =>
        ask((): KeyValue | null => {
          const e = this.keys.get(key);
          if (!e) return null;
          const row = { key, value: e.value, revision: e.revision };
          return e.grant === null ? row : { ...row, lease: e.grant };
        }),
      range: (prefix, after) =>
        ask((): KeyValuePage => {
          const rows = [...this.keys]
            .filter(([key]) => key.startsWith(prefix) && (after === undefined || key > after))
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([key, e]) => ({ key, value: e.value, revision: e.revision }));
          return { rows: rows.slice(0, PAGE), more: rows.length > PAGE, revision: this.revision as Revision };
        }),
      txn: (conditions, writes) => {
        const error = malformed(this.sizes, conditions, writes);
        if (error) {
          if (isProbe(conditions, writes)) this.probes++;
          else this.malformed.push(error);
          return Promise.reject(new StoreRequestTooLargeError(`state: commit refused ${error}`));
        }
        const late = writes.length > 0 && this.lateShare > 0 && this.random() < this.lateShare;
        const delay = late ? 2000 + 10_000 * this.random() : this.delayCommit.get(node);
        if (delay === undefined)
          return ask(() => {
            if (this.repeatAfter !== null)
              this.clock.after(this.repeatAfter, () => this.decide(conditions, writes));
            return this.decide(conditions, writes);
          }, writes.length);
        this.delayCommit.delete(node);
        this.clock.after(delay, () => this.decide(conditions, writes));
        return new Promise((_, reject) => {
          clock.after(DEADLINE_MS, () => reject(new StoreOutcomeUnknownError('state: deadline passed')));
        });
      },
      grantLease: (ttl) =>
        ask(() => {
          const id = this.nextGrant++ as LeaseId;
          this.grants.set(id, { ttl, until: this.clock.now() + ttl });
          return id;
        }),
      keepLeaseAlive: (id) =>
        ask(() => {
          const grant = this.grants.get(id);
          if (grant) grant.until = this.clock.now() + grant.ttl;
          return grant !== undefined;
        }),
      revokeLease: (id) => ask(() => this.endGrant(id)),
      watch: (prefix, after, waitMs) =>
        new Promise((resolve, reject) => {
          if (this.refused.has(node) || this.outage) {
            clock.after(LATENCY_MS, () => reject(new StoreRefusedError('state: watch answered 503')));
            return;
          }
          const news = (): WatchEvent[] =>
            this.log.filter((c) => c.revision > after && c.key.startsWith(prefix));
          const answer = (): void => {
            if (this.outage || this.refused.has(node)) return;
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
