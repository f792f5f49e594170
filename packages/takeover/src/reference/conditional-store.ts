/** The interface of a consistent store with conditional writes, in which the reference registry keeps its records. */
import type { StoreRevision } from '../ownership.js';

/** The value of a key, and the revision at which it was written. */
export interface StoredValue {
  readonly value: unknown;
  readonly revision: StoreRevision;
}

/** A precondition of a transaction: the key must be at `revision`; at revision 0, the key must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: StoreRevision;
}

/** A write of a transaction: the key is set to the value. */
export interface StoreWrite {
  readonly key: string;
  readonly value: unknown;
}

/** The result of a transaction, which is committed as a whole or, if a condition does not hold, not at all. */
export type CommitResult =
  { readonly committed: true; readonly revision: StoreRevision } | { readonly committed: false };

/** The base class of the errors with which the methods of a store reject. */
export abstract class StoreError extends Error {
  abstract readonly code: 'STORE_UNAVAILABLE' | 'STORE_OUTCOME_UNKNOWN';
}

/** Reports that the store did not execute the request and will not execute it later. */
export class StoreUnavailableError extends StoreError {
  override readonly name = 'StoreUnavailableError';
  readonly code = 'STORE_UNAVAILABLE';
}

/** Reports that the store did not respond: the request may have been executed, or may still be executed. */
export class StoreOutcomeUnknownError extends StoreError {
  override readonly name = 'StoreOutcomeUnknownError';
  readonly code = 'STORE_OUTCOME_UNKNOWN';
}

/** A store with conditional writes. Its methods reject only with a `StoreError`, and enforce their own deadlines. */
export interface ConditionalStore {
  /** Reads a key. Resolves to null if the key does not exist. */
  get(key: string): Promise<StoredValue | null>;
  /** Executes all writes in one transaction if all conditions hold. */
  commit(conditions: readonly StoreCondition[], writes: readonly StoreWrite[]): Promise<CommitResult>;
}
