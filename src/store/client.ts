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

/** The request was surely not carried out (503, 429). */
export class StoreRefusedError extends Error {
  /** Asked too often: worth asking again shortly. */
  constructor(
    message: string,
    readonly isRateLimited = false,
  ) {
    super(message);
  }
}
/** Too large for the state service as it is now (400). */
export class StoreRequestTooLargeError extends StoreRefusedError {}
/** No answer, or one that we cannot read: it may have been carried out, or may be later. */
export class StoreOutcomeUnknownError extends Error {}

/** What a transaction came to: carried out, or the keys whose conditions failed. */
export type TxnResult = { ok: true; revision: Revision } | { ok: false; failed: string[] };

/** What the controllers need of the state service. */
export interface KeyValueStore {
  get(key: string): Promise<KeyValue | null>;
  range(prefix: string, after?: string): Promise<KeyValuePage>;
  txn(conditions: readonly Compare[], writes: readonly WriteOperation[]): Promise<TxnResult>;
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** False: the grant has ended. */
  keepLeaseAlive(grant: LeaseId): Promise<boolean>;
  revokeLease(grant: LeaseId): Promise<void>;
  /** Null: `after` is too old, the keys must be read again. */
  watch(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ revision: Revision; changes: WatchEvent[] } | null>;
}

const PAGE = 500;

/** The state service's HTTP interface, with a deadline on every call. */
export class KeyValueStoreClient implements KeyValueStore {
  constructor(
    private readonly http: HttpCaller,
    private readonly watchHttp: HttpCaller,
    private readonly deadlineMs: number,
    private readonly onCall: (answered: boolean) => void = () => {},
  ) {}

  private async ask(
    method: string,
    path: string,
    body?: unknown,
    deadline = this.deadlineMs,
  ): Promise<HttpReply> {
    try {
      const reply = await this.http.call(method, path, body, deadline);
      this.onCall(reply.status !== 503);
      if (reply.status === 503 || reply.status === 429) {
        throw new StoreRefusedError(`state answered ${reply.status}`, reply.status === 429);
      }
      return reply;
    } catch (error) {
      if (error instanceof NoAnswerError) {
        this.onCall(false);
        throw new StoreOutcomeUnknownError(`state: ${error.message}`);
      }
      throw error;
    }
  }

  private static read<T>(reply: HttpReply, parse: (body: unknown) => T): T {
    try {
      return parse(reply.body);
    } catch {
      throw new StoreOutcomeUnknownError(`state: unexpected answer ${reply.status}`);
    }
  }

  async get(key: string): Promise<KeyValue | null> {
    const reply = await this.ask('GET', `/keys/${key}`);
    if (reply.status === 404) return null;
    return KeyValueStoreClient.read(reply, readRow);
  }

  async range(prefix: string, after?: string): Promise<KeyValuePage> {
    const from = after === undefined ? '' : `&after=${after}`;
    return KeyValueStoreClient.read(
      await this.ask('GET', `/keys?under=${prefix}${from}&most=${PAGE}`),
      readPage,
    );
  }

  async txn(conditions: readonly Compare[], writes: readonly WriteOperation[]): Promise<TxnResult> {
    const reply = await this.ask('POST', '/commit', encodeTxn(conditions, writes));
    if (reply.status === 200) return { ok: true, revision: KeyValueStoreClient.read(reply, readRevision) };
    if (reply.status === 409) return { ok: false, failed: KeyValueStoreClient.read(reply, readFailed) };
    if (reply.status === 400)
      throw new StoreRequestTooLargeError(`state: commit refused ${JSON.stringify(reply.body)}`);
    throw new StoreOutcomeUnknownError(`state: commit answered ${reply.status}`);
  }

  async grantLease(ttlMs: number): Promise<LeaseId> {
    return KeyValueStoreClient.read(await this.ask('POST', '/grants', { ttlMs }), readLease);
  }

  async keepLeaseAlive(grant: LeaseId): Promise<boolean> {
    const reply = await this.ask('POST', `/grants/${grant}/touch`);
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new StoreOutcomeUnknownError(`state: touch answered ${reply.status}`);
    return true;
  }

  async revokeLease(grant: LeaseId): Promise<void> {
    await this.ask('DELETE', `/grants/${grant}`);
  }

  async watch(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ revision: Revision; changes: WatchEvent[] } | null> {
    const path = `/changes?under=${prefix}&after=${after}&waitMs=${waitMs}`;
    let reply: HttpReply;
    try {
      reply = await this.watchHttp.call('GET', path, undefined, waitMs + 3000);
    } catch (error) {
      throw new StoreOutcomeUnknownError(`state: ${(error as Error).message}`);
    }
    if (reply.status === 410) return null;
    if (reply.status !== 200) throw new StoreRefusedError(`state: watch answered ${reply.status}`);
    return KeyValueStoreClient.read(reply, readWatchEvents);
  }
}
