/** A simulated store with conditional writes, with latency, outages and late commits. */
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
/** A transaction that is not answered is carried out within this time. */
const MAX_LATE_COMMIT_MS = 8000;

/** A consistent store that all simulated processes share. */
export class SharedStore {
  private readonly keys = new Map<string, StoredValue>();
  private revision = 0;
  /** Whether the store refuses every request. */
  isUnavailable = false;
  /** Clients that are refused while the others are served. */
  readonly refusedClients = new Set<string>();
  /** The fraction of transactions that are not answered and are carried out late. */
  lateCommitRate = 0;
  requestCount = 0;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly random: () => number,
  ) {}

  /** Reads a key without latency or faults. */
  get(key: string): StoredValue | null {
    return this.keys.get(key) ?? null;
  }

  /** Carries out a transaction without latency or faults. */
  commit(conditions: readonly StoreCondition[], writes: readonly StoreWrite[]): CommitResult {
    const conditionsHold = conditions.every(
      ({ key, revision }) => (this.keys.get(key)?.revision ?? 0) === revision,
    );
    if (!conditionsHold) return { committed: false };
    this.revision++;
    const revision = this.revision as StoreRevision;
    for (const { key, value } of writes) {
      this.keys.set(key, { value: JSON.parse(JSON.stringify(value)) as unknown, revision });
    }
    return { committed: true, revision };
  }

  /** Overwrites a key with a value that no program wrote, such as a damaged record. */
  overwrite(key: string, value: unknown): void {
    this.revision++;
    this.keys.set(key, { value, revision: this.revision as StoreRevision });
  }

  /** Deletes a key without latency or faults. */
  delete(key: string): void {
    this.keys.delete(key);
  }

  /** Returns the store's interface for one client, whose timers run on `clock`. */
  clientFor(name: string, clock: SimulatedClock): ConditionalStore {
    const request = <T>(operation: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requestCount++;
        clock.after(LATENCY_MS, () => {
          if (this.isUnavailable || this.refusedClients.has(name))
            reject(new StoreUnavailableError('refused'));
          else resolve(operation());
        });
      });
    return {
      get: (key) => request(() => this.get(key)),
      commit: (conditions, writes) => {
        if (this.random() >= this.lateCommitRate) return request(() => this.commit(conditions, writes));
        this.clock.after(this.random() * MAX_LATE_COMMIT_MS, () => {
          if (!this.isUnavailable) this.commit(conditions, writes);
        });
        return new Promise((_, reject) => {
          clock.after(DEADLINE_MS, () => reject(new StoreOutcomeUnknownError('no answer')));
        });
      },
    };
  }
}
