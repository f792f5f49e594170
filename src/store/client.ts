/** Interface of the key-value store that the controllers share, and its HTTP client. */
import { errorMessage } from '../log/logger.js';
import type { LeaseId, Revision } from '../model/ids.js';
import type { HttpCaller, HttpReply } from '../net/http-client.js';
import { NoAnswerError } from '../net/http-client.js';
import {
  type WatchEvent,
  encodeTxn,
  type Compare,
  type KeyValuePage,
  readWatchEvents,
  readFailedKeys,
  readLease,
  readRevision,
  readPage,
  readKeyValue,
  type KeyValue,
  type WriteOperation,
} from '../wire/key-value-store.js';
import { StoreOutcomeUnknownError, StoreRefusedError, StoreRequestTooLargeError } from './errors.js';

/** Outcome of a transaction: the revision of the commit, or the keys whose conditions failed. */
export type TxnResult =
  { readonly ok: true; readonly revision: Revision } | { readonly ok: false; readonly failed: string[] };

/**
 * Changes under a prefix, up to and including `revision`. Null if the store has compacted the revision from which the
 * watch was to start: the caller has to read the keys again.
 */
export type WatchResult = { readonly revision: Revision; readonly changes: WatchEvent[] } | null;

/** Operations of the key-value store. A failed operation rejects with a `KeyValueStoreError`. */
export interface KeyValueStore {
  /** Reads one key. Returns null if the key does not exist. */
  get(key: string): Promise<KeyValue | null>;
  /** Reads one page of the keys under a prefix, in key order, from the first key, or the first key after `after`. */
  range(prefix: string, after?: string): Promise<KeyValuePage>;
  /** Applies all writes atomically if every condition holds. A transaction without writes only compares. */
  txn(conditions: readonly Compare[], writes: readonly WriteOperation[]): Promise<TxnResult>;
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** Renews a lease. Returns false if the lease has expired. */
  keepLeaseAlive(lease: LeaseId): Promise<boolean>;
  revokeLease(lease: LeaseId): Promise<void>;
  /** Reads the changes after a revision at once: all that were made before the call, and maybe later ones. */
  changes(prefix: string, after: Revision): Promise<WatchResult>;
  /** Waits up to `waitMs` for changes after a revision. `changes` is empty if none occurred within that time. */
  watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult>;
}

/** Dependencies and timeouts of a `KeyValueStoreClient`. */
export interface KeyValueStoreClientOptions {
  readonly http: HttpCaller;
  /** Separate connections for watches: a watch is a long poll that occupies its connection for seconds. */
  readonly watchHttp: HttpCaller;
  /** Timeout of every call except watches, in milliseconds. */
  readonly timeoutMs: number;
  /** Called after every call except watches; `isAnswered` is false if the store did not answer or answered 503. */
  readonly onCallCompleted?: (isAnswered: boolean) => void;
}

/** Maximum number of keys in one page of a range. */
const MAX_KEYS_PER_PAGE = 500;
/** Time that a watch may take beyond the wait that the request asks the store for. */
const WATCH_TIMEOUT_MARGIN_MS = 3000;

/** Decodes the body of a reply. A body that cannot be decoded leaves the outcome of the request unknown. */
function decodeReply<T>(reply: HttpReply, decode: (body: unknown) => T): T {
  try {
    return decode(reply.body);
  } catch (error) {
    throw new StoreOutcomeUnknownError(
      `key-value store: cannot decode the body of the answer with status ${reply.status}`,
      { cause: error },
    );
  }
}

/** Client of the key-value store's HTTP interface. Every call has a timeout. */
export class KeyValueStoreClient implements KeyValueStore {
  constructor(private readonly options: KeyValueStoreClientOptions) {}

  private async call(method: string, path: string, body?: unknown): Promise<HttpReply> {
    const { http, timeoutMs, onCallCompleted } = this.options;
    try {
      const reply = await http.call(method, path, body, timeoutMs);
      onCallCompleted?.(reply.status !== 503);
      if (reply.status === 503 || reply.status === 429) {
        throw new StoreRefusedError(`key-value store answered ${reply.status}`, {
          isRateLimited: reply.status === 429,
        });
      }
      return reply;
    } catch (error) {
      if (!(error instanceof NoAnswerError)) throw error;
      onCallCompleted?.(false);
      throw new StoreOutcomeUnknownError(`key-value store: ${error.message}`, { cause: error });
    }
  }

  async get(key: string): Promise<KeyValue | null> {
    const reply = await this.call('GET', `/keys/${key}`);
    if (reply.status === 404) return null;
    return decodeReply(reply, readKeyValue);
  }

  async range(prefix: string, after?: string): Promise<KeyValuePage> {
    const afterQuery = after === undefined ? '' : `&after=${after}`;
    return decodeReply(
      await this.call('GET', `/keys?under=${prefix}${afterQuery}&most=${MAX_KEYS_PER_PAGE}`),
      readPage,
    );
  }

  async txn(conditions: readonly Compare[], writes: readonly WriteOperation[]): Promise<TxnResult> {
    const reply = await this.call('POST', '/commit', encodeTxn(conditions, writes));
    if (reply.status === 200) return { ok: true, revision: decodeReply(reply, readRevision) };
    if (reply.status === 409) return { ok: false, failed: decodeReply(reply, readFailedKeys) };
    if (reply.status === 400) {
      throw new StoreRequestTooLargeError(
        `key-value store refused the transaction with 400: ${JSON.stringify(reply.body)}`,
      );
    }
    throw new StoreOutcomeUnknownError(
      `key-value store answered ${reply.status} to a transaction, not 200, 400 or 409`,
    );
  }

  async grantLease(ttlMs: number): Promise<LeaseId> {
    return decodeReply(await this.call('POST', '/grants', { ttlMs }), readLease);
  }

  async keepLeaseAlive(lease: LeaseId): Promise<boolean> {
    const reply = await this.call('POST', `/grants/${lease}/touch`);
    if (reply.status === 404) return false;
    if (reply.status !== 200)
      throw new StoreOutcomeUnknownError(
        `key-value store answered ${reply.status} to a lease renewal, not 200 or 404`,
      );
    return true;
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    await this.call('DELETE', `/grants/${lease}`);
  }

  async changes(prefix: string, after: Revision): Promise<WatchResult> {
    const reply = await this.call('GET', `/changes?under=${prefix}&after=${after}&waitMs=0`);
    if (reply.status === 410) return null;
    if (reply.status !== 200)
      throw new StoreRefusedError(
        `key-value store answered ${reply.status} to a read of changes, not 200 or 410`,
      );
    return decodeReply(reply, readWatchEvents);
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult> {
    const path = `/changes?under=${prefix}&after=${after}&waitMs=${waitMs}`;
    let reply: HttpReply;
    try {
      reply = await this.options.watchHttp.call('GET', path, undefined, waitMs + WATCH_TIMEOUT_MARGIN_MS);
    } catch (error) {
      throw new StoreOutcomeUnknownError(`key-value store: watch failed: ${errorMessage(error)}`, {
        cause: error,
      });
    }
    if (reply.status === 410) return null;
    if (reply.status !== 200)
      throw new StoreRefusedError(`key-value store answered ${reply.status} to a watch, not 200 or 410`);
    return decodeReply(reply, readWatchEvents);
  }
}
