/** The errors of calls to the key-value store, by what became of the request. */

/** Which kind of failure a `KeyValueStoreError` is. */
export type KeyValueStoreErrorCode =
  'STORE_UNAVAILABLE' | 'STORE_RATE_LIMITED' | 'STORE_REQUEST_TOO_LARGE' | 'STORE_OUTCOME_UNKNOWN';

/** A call to the key-value store that failed. */
export abstract class KeyValueStoreError extends Error {
  abstract readonly code: KeyValueStoreErrorCode;
}

/** The store surely did not carry the request out: it is unavailable (503) or limits our rate (429). */
export class StoreRefusedError extends KeyValueStoreError {
  override readonly name: string = 'StoreRefusedError';
  /** Refused for too many requests: worth repeating shortly. */
  readonly isRateLimited: boolean;

  constructor(message: string, options: ErrorOptions & { readonly isRateLimited?: boolean } = {}) {
    super(message, options);
    this.isRateLimited = options.isRateLimited ?? false;
  }

  override get code(): KeyValueStoreErrorCode {
    return this.isRateLimited ? 'STORE_RATE_LIMITED' : 'STORE_UNAVAILABLE';
  }
}

/** Whether a request was refused for too many requests alone. */
export function isRateLimitedError(error: unknown): boolean {
  return error instanceof StoreRefusedError && error.isRateLimited;
}

/** The request exceeds the store's limits on sizes as they are now (400). It was not carried out. */
export class StoreRequestTooLargeError extends StoreRefusedError {
  override readonly name = 'StoreRequestTooLargeError';

  override get code(): KeyValueStoreErrorCode {
    return 'STORE_REQUEST_TOO_LARGE';
  }
}

/** There was no answer, or an unreadable one: the request may have been carried out, or may still be. */
export class StoreOutcomeUnknownError extends KeyValueStoreError {
  override readonly name = 'StoreOutcomeUnknownError';
  override readonly code = 'STORE_OUTCOME_UNKNOWN';
}

/** A record that no version writes. The message says what is wrong with it. */
export class InvalidRecordError extends Error {
  override readonly name = 'InvalidRecordError';
  readonly code = 'STORE_INVALID_RECORD';
}
