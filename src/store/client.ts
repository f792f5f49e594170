/** The key-value store as the controllers use it, and its HTTP client. */
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
  readFailed,
  readLease,
  readRevision,
  readPage,
  readRow,
  type KeyValue,
  type WriteOperation,
} from '../wire/key-value-store.js';
import { StoreOutcomeUnknownError, StoreRefusedError, StoreRequestTooLargeError } from './errors.js';

/** The outcome of a transaction: committed, or the keys whose comparisons failed. */
export type TxnResult =
  { readonly ok: true; readonly revision: Revision } | { readonly ok: false; readonly failed: string[] };

/**
 * The changes under a prefix up to a revision. Null: the store has compacted the revision that the watch should
 * start from, so the keys have to be read again.
 */
export type WatchResult = { readonly revision: Revision; readonly changes: WatchEvent[] } | null;

/** The operations of the key-value store. Every one of them rejects with a `KeyValueStoreError`. */
export interface KeyValueStore {
  /** Reads one key; null: it does not exist. */
  get(key: string): Promise<KeyValue | null>;
  /** Reads one page of the keys under a prefix, in their order, from the first one behind `after`. */
  range(prefix: string, after?: string): Promise<KeyValuePage>;
  /** Writes all or nothing; without writes it only compares. */
  txn(conditions: readonly Compare[], writes: readonly WriteOperation[]): Promise<TxnResult>;
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** Renews a lease; false: it has expired. */
  keepLeaseAlive(lease: LeaseId): Promise<boolean>;
  revokeLease(lease: LeaseId): Promise<void>;
  /** Waits up to `waitMs` for changes after a revision; without any the result is empty. */
  watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult>;
}

/** The collaborators and limits of a `KeyValueStoreClient`. */
export interface KeyValueStoreClientOptions {
  readonly http: HttpCaller;
  /** Watches have connections of their own: they are kept waiting for seconds. */
  readonly watchHttp: HttpCaller;
  /** How long any call but a watch may take, ms. */
  readonly timeoutMs: number;
  /** Called after each call but a watch: false if the store did not answer, or with 503. */
  readonly onCall?: (isAnswered: boolean) => void;
}

/** Keys that one page of a range may hold. */
const PAGE_SIZE = 500;
/** How much longer than the wait that it asks for a watch may take. */
const WATCH_GRACE_MS = 3000;

/** Decodes a reply's body; what cannot be decoded leaves the outcome of the request unknown. */
function decodeReply<T>(reply: HttpReply, decode: (body: unknown) => T): T {
  try {
    return decode(reply.body);
  } catch (error) {
    throw new StoreOutcomeUnknownError(`state: unexpected answer ${reply.status}`, { cause: error });
  }
}

/** The key-value store's HTTP interface, with a deadline on every call. */
export class KeyValueStoreClient implements KeyValueStore {
  constructor(private readonly options: KeyValueStoreClientOptions) {}

  private async call(method: string, path: string, body?: unknown): Promise<HttpReply> {
    const { http, timeoutMs, onCall } = this.options;
    try {
      const reply = await http.call(method, path, body, timeoutMs);
      onCall?.(reply.status !== 503);
      if (reply.status === 503 || reply.status === 429) {
        throw new StoreRefusedError(`state answered ${reply.status}`, {
          isRateLimited: reply.status === 429,
        });
      }
      return reply;
    } catch (error) {
      if (!(error instanceof NoAnswerError)) throw error;
      onCall?.(false);
      throw new StoreOutcomeUnknownError(`state: ${error.message}`, { cause: error });
    }
  }

  async get(key: string): Promise<KeyValue | null> {
    const reply = await this.call('GET', `/keys/${key}`);
    if (reply.status === 404) return null;
    return decodeReply(reply, readRow);
  }

  async range(prefix: string, after?: string): Promise<KeyValuePage> {
    const from = after === undefined ? '' : `&after=${after}`;
    return decodeReply(await this.call('GET', `/keys?under=${prefix}${from}&most=${PAGE_SIZE}`), readPage);
  }

  async txn(conditions: readonly Compare[], writes: readonly WriteOperation[]): Promise<TxnResult> {
    const reply = await this.call('POST', '/commit', encodeTxn(conditions, writes));
    if (reply.status === 200) return { ok: true, revision: decodeReply(reply, readRevision) };
    if (reply.status === 409) return { ok: false, failed: decodeReply(reply, readFailed) };
    if (reply.status === 400) {
      throw new StoreRequestTooLargeError(`state: commit refused ${JSON.stringify(reply.body)}`);
    }
    throw new StoreOutcomeUnknownError(`state: commit answered ${reply.status}`);
  }

  async grantLease(ttlMs: number): Promise<LeaseId> {
    return decodeReply(await this.call('POST', '/grants', { ttlMs }), readLease);
  }

  async keepLeaseAlive(lease: LeaseId): Promise<boolean> {
    const reply = await this.call('POST', `/grants/${lease}/touch`);
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new StoreOutcomeUnknownError(`state: touch answered ${reply.status}`);
    return true;
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    await this.call('DELETE', `/grants/${lease}`);
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchResult> {
    const path = `/changes?under=${prefix}&after=${after}&waitMs=${waitMs}`;
    let reply: HttpReply;
    try {
      reply = await this.options.watchHttp.call('GET', path, undefined, waitMs + WATCH_GRACE_MS);
    } catch (error) {
      throw new StoreOutcomeUnknownError(`state: ${errorMessage(error)}`, { cause: error });
    }
    if (reply.status === 410) return null;
    if (reply.status !== 200) throw new StoreRefusedError(`state: watch answered ${reply.status}`);
    return decodeReply(reply, readWatchEvents);
  }
}
