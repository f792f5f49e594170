/** The store that ownership records are kept in: consistent, with conditional writes. */
import type { StoreRevision } from './ownership.js';

/** A key as it was read. */
export interface StoredValue {
  readonly value: unknown;
  readonly revision: StoreRevision;
}

/** A key that must be at this revision; 0: it must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: StoreRevision;
}

/** A value to be stored. */
export interface StoreWrite {
  readonly key: string;
  readonly value: unknown;
}

/** Carried out as a whole, or not at all because a condition did not hold. */
export type CommitResult =
  { readonly committed: true; readonly revision: StoreRevision } | { readonly committed: false };

/** The request was surely not carried out. */
export class StoreUnavailable extends Error {}
/** No answer came: the request may have been carried out, or may be later. */
export class StoreUncertain extends Error {}

/** Whether the error tells that the store could not be asked, and nothing else. */
export function storeFailed(error: unknown): error is StoreUnavailable | StoreUncertain {
  return error instanceof StoreUnavailable || error instanceof StoreUncertain;
}

/** Rejects with `StoreUnavailable` or `StoreUncertain`, each within a deadline of its own. */
export interface ConditionalStore {
  get(key: string): Promise<StoredValue | null>;
  commit(conditions: readonly StoreCondition[], writes: readonly StoreWrite[]): Promise<CommitResult>;
}
