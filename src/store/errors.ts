/** Errors of calls to the key-value store, classified by whether the request was carried out. */

/** Error code of a `KeyValueStoreError`. */
export type KeyValueStoreErrorCode =
  'STORE_UNAVAILABLE' | 'STORE_RATE_LIMITED' | 'STORE_REQUEST_TOO_LARGE' | 'STORE_OUTCOME_UNKNOWN';

/** Base class of the errors with which a call to the key-value store fails. */
export abstract class KeyValueStoreError extends Error {
  abstract readonly code: KeyValueStoreErrorCode;
}

/**
 * The store did not carry out the request: it is unavailable (503), rate limits this client (429), or answered a watch
 * with a status other than 200 and 410.
 */
export class StoreRefusedError extends KeyValueStoreError {
  override readonly name: string = 'StoreRefusedError';
  /** Whether the request was rate limited and may succeed if the caller repeats it after a short delay. */
  readonly isRateLimited: boolean;

  constructor(message: string, options: ErrorOptions & { readonly isRateLimited?: boolean } = {}) {
    super(message, options);
    this.isRateLimited = options.isRateLimited ?? false;
  }

  override get code(): KeyValueStoreErrorCode {
    return this.isRateLimited ? 'STORE_RATE_LIMITED' : 'STORE_UNAVAILABLE';
  }
}

/** Reports whether a request failed only because of the store's rate limit. */
export function isRateLimitedError(error: unknown): boolean {
  return error instanceof StoreRefusedError && error.isRateLimited;
}

/** The request exceeds the size limits that the store currently enforces (400) and was not carried out. */
export class StoreRequestTooLargeError extends StoreRefusedError {
  override readonly name = 'StoreRequestTooLargeError';

  override get code(): KeyValueStoreErrorCode {
    return 'STORE_REQUEST_TOO_LARGE';
  }
}

/**
 * The store sent no answer, an unreadable one, or one with an unexpected status: it may have carried out the request,
 * or may still do so.
 */
export class StoreOutcomeUnknownError extends KeyValueStoreError {
  override readonly name = 'StoreOutcomeUnknownError';
  override readonly code = 'STORE_OUTCOME_UNKNOWN';
}

/** A stored record has a form that no version of the program writes. The message names the fault. */
export class InvalidRecordError extends Error {
  override readonly name = 'InvalidRecordError';
  readonly code = 'STORE_INVALID_RECORD';
}
