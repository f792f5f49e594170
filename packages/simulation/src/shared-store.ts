/** A simulated store with conditional writes, a fixed latency, and configurable outages and late commits. */
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

const REQUEST_LATENCY_MS = 5;
const REQUEST_DEADLINE_MS = 1000;
/** The maximum delay after which a transaction without a response is executed. */
const MAX_LATE_COMMIT_MS = 8000;

/** A consistent in-memory store that all simulated processes share. */
export class SharedStore {
  private readonly keys = new Map<string, StoredValue>();
  private revision = 0;
  /** Whether the store refuses every request, as in an outage. */
  isUnavailable = false;
  /** The clients whose requests the store refuses while serving all other clients. */
  readonly refusedClients = new Set<string>();
  /** The fraction of transactions that receive no response and are executed late, unless `isUnavailable` is then set. */
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

  /** Executes a transaction without latency or faults. */
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

  /** Overwrites a key unconditionally, for example with a damaged record that no program writes. */
  overwrite(key: string, value: unknown): void {
    this.revision++;
    this.keys.set(key, { value, revision: this.revision as StoreRevision });
  }

  /** Deletes a key without latency or faults. */
  delete(key: string): void {
    this.keys.delete(key);
  }

  /** Returns a connection to the store for the named client, whose timers run on `clock`. */
  clientFor(name: string, clock: SimulatedClock): ConditionalStore {
    const request = <T>(operation: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        this.requestCount++;
        clock.after(REQUEST_LATENCY_MS, () => {
          if (this.isUnavailable || this.refusedClients.has(name))
            reject(new StoreUnavailableError('the simulated store refused the request'));
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
          clock.after(REQUEST_DEADLINE_MS, () =>
            reject(new StoreOutcomeUnknownError('the simulated store did not respond')),
          );
        });
      },
    };
  }
}
