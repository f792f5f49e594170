/** The interface of a consistent store with conditional writes, in which the reference registry keeps its records. */
import type { StoreRevision } from '../ownership.js';

/** The value of a key, and the revision at which it was written. */
export interface StoredValue {
  readonly value: unknown;
  readonly revision: StoreRevision;
}

/** A precondition: the key must be at this revision; 0: it must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: StoreRevision;
}

/** A value to be written. */
export interface StoreWrite {
  readonly key: string;
  readonly value: unknown;
}

/** The result of a transaction: carried out as a whole, or not at all because a condition did not hold. */
export type CommitResult =
  { readonly committed: true; readonly revision: StoreRevision } | { readonly committed: false };

/** Base of the errors with which a store rejects. */
export abstract class StoreError extends Error {
  abstract readonly code: 'STORE_UNAVAILABLE' | 'STORE_OUTCOME_UNKNOWN';
}

/** The request was not carried out and will not be. */
export class StoreUnavailableError extends StoreError {
  override readonly name = 'StoreUnavailableError';
  readonly code = 'STORE_UNAVAILABLE';
}

/** No answer came: the request may have been carried out, or may still be. */
export class StoreOutcomeUnknownError extends StoreError {
  override readonly name = 'StoreOutcomeUnknownError';
  readonly code = 'STORE_OUTCOME_UNKNOWN';
}

/** A store with conditional writes. Its methods reject only with a `StoreError`, within a deadline of their own. */
export interface ConditionalStore {
  /** Resolves to null if the key does not exist. */
  get(key: string): Promise<StoredValue | null>;
  /** Carries out all writes in one transaction if all conditions hold. */
  commit(conditions: readonly StoreCondition[], writes: readonly StoreWrite[]): Promise<CommitResult>;
}
