import type { GrantId, Revision } from '../model/ids.js';
import type { HttpCaller, Reply } from '../net/http-client.js';
import { NoAnswer } from '../net/http-client.js';
import {
  type Change,
  commitBody,
  type Condition,
  type Page,
  readChanges,
  readFailed,
  readGrant,
  readRevision,
  readPage,
  readRow,
  type Row,
  type Write,
} from '../wire/key-value-store.js';

/** The request was surely not carried out (503, 429). */
export class StateRefused extends Error {
  /** Asked too often: worth asking again shortly. */
  constructor(
    message: string,
    readonly tooMany = false,
  ) {
    super(message);
  }
}
/** Too large for the state service as it is now (400). */
export class StateTooLarge extends StateRefused {}
/** No answer, or one that we cannot read: it may have been carried out, or may be later. */
export class StateUnknown extends Error {}

/** What a transaction came to: carried out, or the keys whose conditions failed. */
export type Committed = { ok: true; revision: Revision } | { ok: false; failed: string[] };

/** What the controllers need of the state service. */
export interface StateStore {
  get(key: string): Promise<Row | null>;
  range(prefix: string, after?: string): Promise<Page>;
  commit(conditions: readonly Condition[], writes: readonly Write[]): Promise<Committed>;
  grant(ttlMs: number): Promise<GrantId>;
  /** False: the grant has ended. */
  touch(grant: GrantId): Promise<boolean>;
  release(grant: GrantId): Promise<void>;
  /** Null: `after` is too old, the keys must be read again. */
  changes(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ revision: Revision; changes: Change[] } | null>;
}

const PAGE = 500;

/** The state service's HTTP interface, with a deadline on every call. */
export class StateClient implements StateStore {
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
  ): Promise<Reply> {
    try {
      const reply = await this.http.call(method, path, body, deadline);
      this.onCall(reply.status !== 503);
      if (reply.status === 503 || reply.status === 429) {
        throw new StateRefused(`state answered ${reply.status}`, reply.status === 429);
      }
      return reply;
    } catch (error) {
      if (error instanceof NoAnswer) {
        this.onCall(false);
        throw new StateUnknown(`state: ${error.message}`);
      }
      throw error;
    }
  }

  private static read<T>(reply: Reply, parse: (body: unknown) => T): T {
    try {
      return parse(reply.body);
    } catch {
      throw new StateUnknown(`state: unexpected answer ${reply.status}`);
    }
  }

  async get(key: string): Promise<Row | null> {
    const reply = await this.ask('GET', `/keys/${key}`);
    if (reply.status === 404) return null;
    return StateClient.read(reply, readRow);
  }

  async range(prefix: string, after?: string): Promise<Page> {
    const from = after === undefined ? '' : `&after=${after}`;
    return StateClient.read(await this.ask('GET', `/keys?under=${prefix}${from}&most=${PAGE}`), readPage);
  }

  async commit(conditions: readonly Condition[], writes: readonly Write[]): Promise<Committed> {
    const reply = await this.ask('POST', '/commit', commitBody(conditions, writes));
    if (reply.status === 200) return { ok: true, revision: StateClient.read(reply, readRevision) };
    if (reply.status === 409) return { ok: false, failed: StateClient.read(reply, readFailed) };
    if (reply.status === 400) throw new StateTooLarge(`state: commit refused ${JSON.stringify(reply.body)}`);
    throw new StateUnknown(`state: commit answered ${reply.status}`);
  }

  async grant(ttlMs: number): Promise<GrantId> {
    return StateClient.read(await this.ask('POST', '/grants', { ttlMs }), readGrant);
  }

  async touch(grant: GrantId): Promise<boolean> {
    const reply = await this.ask('POST', `/grants/${grant}/touch`);
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new StateUnknown(`state: touch answered ${reply.status}`);
    return true;
  }

  async release(grant: GrantId): Promise<void> {
    await this.ask('DELETE', `/grants/${grant}`);
  }

  async changes(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ revision: Revision; changes: Change[] } | null> {
    const path = `/changes?under=${prefix}&after=${after}&waitMs=${waitMs}`;
    let reply: Reply;
    try {
      reply = await this.watchHttp.call('GET', path, undefined, waitMs + 3000);
    } catch (error) {
      throw new StateUnknown(`state: ${(error as Error).message}`);
    }
    if (reply.status === 410) return null;
    if (reply.status !== 200) throw new StateRefused(`state: watch answered ${reply.status}`);
    return StateClient.read(reply, readChanges);
  }
}
