/** A store with conditional writes, as simulated processes see it: slow, refusing, or answering nothing. */
import { type StoreRevision } from '@plumyoke/takeover';
import {
  type CommitResult,
  type ConditionalStore,
  type StoreCondition,
  type StoredValue,
  StoreUnavailableError,
  StoreOutcomeUnknownError,
  type StoreWrite,
} from '@plumyoke/takeover/reference';
import type { SimulatedClock } from './virtual-clock.js';

const LATENCY_MS = 5;
const DEADLINE_MS = 1000;
/** A transaction without an answer is carried out within this time. */
const LATE_WITHIN_MS = 8000;

/** One consistent store that all processes share. */
export class SharedStore {
  private readonly keys = new Map<string, StoredValue>();
  private revision = 0;
  outage = false;
  /** Processes that are refused while the others are served. */
  readonly refused = new Set<string>();
  /** Of this share of transactions none is answered, and each is carried out late. */
  lateShare = 0;
  requests = 0;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly random: () => number,
  ) {}

  get(key: string): StoredValue | null {
    return this.keys.get(key) ?? null;
  }

  commit(conditions: readonly StoreCondition[], writes: readonly StoreWrite[]): CommitResult {
    const holds = conditions.every(({ key, revision }) => (this.keys.get(key)?.revision ?? 0) === revision);
    if (!holds) return { committed: false };
    this.revision++;
    const revision = this.revision as StoreRevision;
    for (const { key, value } of writes) {
      this.keys.set(key, { value: JSON.parse(JSON.stringify(value)) as unknown, revision });
    }
    return { committed: true, revision };
  }

  /** A value that no program wrote. */
  damage(key: string, value: unknown): void {
    this.revision++;
    this.keys.set(key, { value, revision: this.revision as StoreRevision });
  }

  delete(key: string): void {
    this.keys.delete(key);
  }

  /** The store as one process sees it. */
  for(name: string, clock: SimulatedClock): ConditionalStore {
    const ask = <T>(act: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requests++;
        clock.after(LATENCY_MS, () => {
          if (this.outage || this.refused.has(name)) reject(new StoreUnavailableError('refused'));
          else resolve(act());
        });
      });
    return {
      get: (key) => ask(() => this.get(key)),
      commit: (conditions, writes) => {
        if (this.random() >= this.lateShare) return ask(() => this.commit(conditions, writes));
        this.clock.after(this.random() * LATE_WITHIN_MS, () => {
          if (!this.outage) this.commit(conditions, writes);
        });
        return new Promise((_, reject) => {
          clock.after(DEADLINE_MS, () => reject(new StoreOutcomeUnknownError('no answer')));
        });
      },
    };
  }
}
