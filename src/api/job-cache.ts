import type { JobId, Revision } from '../model/ids.js';
import type { FinalState, JobKind, JobRecord } from '../model/job.js';
import { type Clock, sleep } from '../model/time.js';
import type { TxnResult, KeyValueStore } from '../store/client.js';
import { StoreRefusedError } from '../store/errors.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { WatchEvent, Compare } from '../wire/key-value-store.js';

/** What was last seen of an accepted job. */
export interface ObservedJob {
  readonly revision: Revision;
  readonly tasks: number;
  readonly kind: JobKind;
  readonly dependencies: readonly JobId[];
  /** Further records hold its dependencies. */
  readonly dependencyRecords: number;
}

const KEPT_ENDED = 4000;
const AGAIN_MS = 100;
const KEPT_OPEN = 20_000;

/** A map that forgets its oldest entries. */
class LruMap<K, V> extends Map<K, V> {
  constructor(private readonly most: number) {
    super();
  }

  override set(key: K, value: V): this {
    super.set(key, value);
    if (this.size > this.most) this.delete(this.keys().next().value as K);
    return this;
  }
}

/**
 * What this node has seen of jobs. Final states never change and may be told from here. Of an
 * accepted job it only knows the revision that its record had: whether it still has it, the state
 * service must say for every answer (`Confirmations`).
 */
export class JobCache {
  private readonly open = new LruMap<JobId, ObservedJob>(KEPT_OPEN);
  private readonly ended = new LruMap<JobId, { readonly state: FinalState; readonly body: object }>(
    KEPT_ENDED,
  );

  /** Everything here can be read again. */
  clear(): void {
    this.open.clear();
    this.ended.clear();
  }

  known(id: JobId): ObservedJob | undefined {
    return this.open.get(id);
  }

  final(id: JobId): object | undefined {
    return this.ended.get(id)?.body;
  }

  finalState(id: JobId): FinalState | undefined {
    return this.ended.get(id)?.state;
  }

  learn(id: JobId, record: JobRecord, revision: Revision, body: object): void {
    if (record.state === 'accepted') {
      const before = this.open.get(id);
      if (!this.ended.has(id) && (!before || before.revision < revision)) {
        const { taskCount, kind, dependencies, dependencyRecordCount } = record.spec;
        this.open.set(id, {
          revision,
          tasks: taskCount,
          kind,
          dependencies,
          dependencyRecords: dependencyRecordCount,
        });
      }
      return;
    }
    this.open.delete(id);
    this.ended.set(id, { state: record.state, body });
  }

  /** Changes seen by a watch of the jobs' records. */
  take(changes: readonly WatchEvent[], body: (id: JobId, record: JobRecord) => object): void {
    for (const { key, value, revision } of changes) {
      if (value === undefined) continue;
      const id = key.slice(keys.jobs.length) as JobId;
      const record = decodeJob(id, value);
      this.learn(id, record, revision, body(id, record));
    }
  }
}

interface PendingComparison {
  readonly key: string;
  readonly revision: Revision;
  readonly done: (same: boolean) => void;
  readonly failed: (error: unknown) => void;
}

/**
 * Many questions in one request: a transaction without writes compares the revisions of many records,
 * at one moment after all of them were asked. Hundreds of users who each ask every few seconds would
 * otherwise use up the requests that the state service allows, and with them the leader's.
 */
export class RevisionConfirmations {
  private asked: PendingComparison[] = [];
  private waiting = false;

  constructor(
    private readonly clock: Clock,
    private readonly store: KeyValueStore,
    private readonly most: number,
    private readonly waitMs: number,
  ) {}

  /** Whether the key still has this revision. */
  same(key: string, revision: Revision): Promise<boolean> {
    return new Promise((done, failed) => {
      this.asked.push({ key, revision, done, failed });
      if (this.asked.length >= this.most) void this.ask();
      else if (!this.waiting) void this.later();
    });
  }

  private async later(): Promise<void> {
    this.waiting = true;
    await sleep(this.clock, this.waitMs);
    this.waiting = false;
    await this.ask();
  }

  /** A moment's overload of the state service is not worth that many users' asking again. */
  private async compare(conditions: readonly Compare[]): Promise<TxnResult> {
    try {
      return await this.store.txn(conditions, []);
    } catch (error) {
      if (!(error instanceof StoreRefusedError && error.isRateLimited)) throw error;
      await sleep(this.clock, AGAIN_MS);
      return this.store.txn(conditions, []);
    }
  }

  private async ask(): Promise<void> {
    const asked = this.asked;
    this.asked = [];
    if (asked.length === 0) return;
    // Two users may know one job by two revisions; a key is asked for once in a request.
    const byKey = new Map<string, PendingComparison>();
    for (const a of asked) if (!byKey.has(a.key)) byKey.set(a.key, a);
    try {
      const result = await this.compare([...byKey.values()].map(({ key, revision }) => ({ key, revision })));
      const failed = new Set(result.ok ? [] : result.failed);
      for (const a of asked) a.done(!failed.has(a.key) && byKey.get(a.key)?.revision === a.revision);
    } catch (error) {
      for (const a of asked) a.failed(error);
    }
  }
}
