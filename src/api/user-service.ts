import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import type { ControllerContext } from '../core/context.js';
import type { JobId, Revision } from '../model/ids.js';
import { isJobId, NO_REVISION } from '../model/ids.js';
import { errorMessage } from '../log/logger.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import { fits } from '../model/job.js';
import { DEPENDENCIES_VERSION, SPLIT_DESCRIPTIONS_VERSION } from '../model/protocol.js';
import { ms, since, sleep, type WallTime } from '../model/time.js';
import type { WatchEvent, Compare, WriteOperation } from '../wire/key-value-store.js';
import { TokenBucket } from '../net/token-bucket.js';
import { remainingQuota } from '../scheduler/queue.js';
import { StoreRefusedError, StoreOutcomeUnknownError } from '../store/client.js';
import { decodeJob, encodeEnded, encodeJob, splitJob, type StoredInParts } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { type Acceptable, Dependencies } from './dependencies.js';
import { RevisionConfirmations, JobCache } from './job-cache.js';
import { accepted, jobStatus, parseSubmission, type Progress } from '../wire/users.js';

/** The answer to a user's request. */
export interface UserAnswer {
  readonly status: number;
  readonly body: object;
  /** Seconds after which it is worth asking again. */
  readonly retryAfter?: number;
}

const TRIES = 3;
/** Seconds after which it is worth asking again for what a controller of an earlier version doesn't know. */
const NOT_YET_RETRY_S = 5;
/** Questions that come within this are asked in one request. */
const TOGETHER_MS = 100;
/** The share of the state service's requests that first questions about jobs may use, by all nodes. */
const FIRST_QUESTIONS = 0.25;
/**
 * The share of the state service's changes that users may use, by all nodes. When hundreds of jobs come at
 * once, all the changes and, with the tries, all the requests went to them: a leader's renewals were
 * refused until its grant ended, and nobody could take over for seconds.
 */
const USERS_WRITES = 0.65;
/** Jobs that come together are taken together, up to the changes of so many seconds. */
const USERS_BURST_S = 4;
/** What one cancellation writes. */
const CANCEL_WRITES = 1;
const WATCH_MS = 20_000;
/**
 * What was read so long ago is not told any more: the process may have stood still since, and the user may
 * have heard something newer from another node. A user waits 2 s for it anyway (PROTOCOL).
 */
const MAX_ANSWER_AGE_MS = 1500;

export const unavailable = (error: string, retryAfter = 1): UserAnswer => ({
  status: 503,
  body: { error },
  retryAfter,
});

/** This node has used up its share of what the state service takes; another one may have some left. */
export class BusyError extends Error {}

/** One for all: thrown hundreds of times a second in a crowd, and nobody reads its stack. */
const BUSY = new BusyError('asked too often');

/** What an acceptance writes in its transaction, and the further records that stand before it. */
interface Acceptance {
  readonly records: readonly WriteOperation[];
  readonly writes: readonly WriteOperation[];
}

interface StoredJob {
  readonly record: JobRecord;
  readonly revision: Revision;
}

/**
 * Users are answered straight from the state service, so that no node ever gives an older answer
 * than another one gave. Only final states are remembered: they do not change.
 */
export class UserService {
  private readonly cache = new JobCache();
  private readonly confirmations: RevisionConfirmations;
  private readonly firstQuestions: TokenBucket;
  private readonly writes: TokenBucket;
  private readonly dependencies: Dependencies;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly progressOf: (id: JobId) => Progress | null,
    /** Controllers that draw on the state service's limits, this one included. */
    private readonly sharers: () => number = () => 1,
  ) {
    const { clock, settings, store, storeLimits } = ctx;
    this.confirmations = new RevisionConfirmations(clock, store, storeLimits.txnOps * 4, TOGETHER_MS);
    this.firstQuestions = new TokenBucket(clock, 1, 1);
    this.writes = new TokenBucket(clock, 1, 1);
    storeLimits.onRateChange(() => {
      const rate = (storeLimits.rps * FIRST_QUESTIONS) / (settings.peers.length + 1);
      this.firstQuestions.setRate(rate, rate);
      const writes = storeLimits.writeRps * USERS_WRITES;
      this.writes.setRate(writes, writes * USERS_BURST_S);
    });
    this.dependencies = new Dependencies(ctx, this.cache, this.confirmations, (id) => this.readJob(id));
  }

  /** Drops what can be read again. */
  dropCaches(): void {
    this.cache.clear();
  }

  /** Sees every job's record change, so that most questions need only a confirmation. */
  async watch(): Promise<void> {
    let after: Revision | null = null;
    for (;;) {
      try {
        after ??= (await this.ctx.store.range(keys.epoch)).revision;
        const read = await this.ctx.store.watch(keys.jobs, after, WATCH_MS);
        after = read?.revision ?? null;
        if (read) this.take(read.changes);
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'jobs not watched');
        await sleep(this.ctx.clock, 300 + this.ctx.random() * 300);
      }
    }
  }

  private take(changes: readonly WatchEvent[]): void {
    const cancelled: ConfirmedCancellation[] = [];
    this.cache.take(changes, (id, record) => {
      if (record.state === 'cancelled') cancelled.push({ id, age: ms(0) });
      return this.bodyOf(id, record);
    });
    this.ctx.cancellations.learn(cancelled);
  }

  /** May throw StateRefused, StateUnknown or Busy: the caller then asks another node or answers 503. */
  async submit(body: unknown): Promise<UserAnswer> {
    const ref = (body as { ref?: unknown } | null | undefined)?.ref;
    const parsed = parseSubmission(body);
    const refusal = parsed.ok
      ? (this.neverRuns(parsed.value) ?? (await this.neverReady(parsed.value)))
      : { status: 400, body: { error: parsed.error } };
    if (refusal) {
      // A known job is answered from its record, whatever the repeat says.
      if (refusal.status !== 503 && typeof ref === 'string' && isJobId(ref)) {
        const found = await this.find(ref);
        if (found) return this.known(ref, found);
      }
      return refusal;
    }
    if (!parsed.ok) return unavailable('not decided');
    return this.accept(this.dependencies.left(parsed.value), parsed.value.dependencies);
  }

  private neverRuns(spec: JobSpec): UserAnswer | null {
    const never = (error: string): UserAnswer => ({ status: 422, body: { error } });
    const team = this.ctx.settings.teams.find((t) => t.id === spec.team);
    if (!team) return never('unknown team');
    const types = [...this.ctx.machineTypes.values()];
    if (types.length === 0) return unavailable('machine types not known yet');
    const { allowedTypes: only, zone } = spec;
    const fit = types.some(
      (t) =>
        (only === null || only.includes(t.id)) && (zone === null || t.zones.includes(zone)) && fits(spec, t),
    );
    if (!fit) return never('a task fits no allowed machine type');
    const room = remainingQuota(team, { cpus: 0, gpus: 0 }, spec);
    if (room < (spec.kind === 'array' ? 1 : spec.taskCount)) return never("more than the team's limit");
    return null;
  }

  /** Why a job that names others can't be taken; null: it can, or names none. */
  private async neverReady(spec: JobSpec): Promise<UserAnswer | null> {
    if (spec.dependencies.length === 0) return null;
    // An acceptance whose dependencies a leader of an earlier version would ignore.
    if (!this.ctx.allPeersSupport(DEPENDENCIES_VERSION))
      return unavailable('awaits is not served yet', NOT_YET_RETRY_S);
    const error = await this.dependencies.fault(spec);
    return error === null ? null : { status: 422, body: { error } };
  }

  private async accept(job: Acceptable, named: readonly JobId[]): Promise<UserAnswer> {
    const { id } = job.spec;
    const ended = this.cache.final(id);
    if (ended) return { status: 200, body: ended };
    // A repeat: a read spares the changes that a failing acceptance would cost.
    const repeated = this.cache.known(id) ? await this.find(id) : null;
    if (repeated) return this.known(id, repeated);
    const acceptance = this.acceptance(job, named);
    if (!acceptance) return unavailable('a submission of this length is not served yet', NOT_YET_RETRY_S);
    const { records, writes } = acceptance;
    const unknown: Compare[] = [{ key: keys.job(id), revision: NO_REVISION }];
    let written = 0;
    for (let tries = 1; ; tries++) {
      // Every node takes its share of what all may write: this one's acceptances cost as many times more.
      if (!this.writes.tryTake((writes.length + records.length - written) * this.sharers())) throw BUSY;
      try {
        // What has no room in the record stands before the job is accepted.
        for (const record of records.slice(written)) {
          const result = await this.ctx.store.txn(unknown, [record]);
          if (!result.ok) break;
          written++;
        }
        const result = await this.ctx.store.txn(unknown, writes);
        if (result.ok) return { status: 201, body: accepted(id) };
        const found = await this.find(id);
        if (found) return this.known(id, found);
      } catch (error) {
        this.ctx.storeLimits.recordFailure(error);
        // The same transaction is tried again: at most one of the two is carried out.
        if (!worthAgain(error) || tries >= TRIES) throw error;
        await sleep(this.ctx.clock, 60 * tries + this.ctx.random() * 60);
      }
      if (tries >= TRIES) return unavailable('not decided');
    }
  }

  /** What one acceptance writes, and the further records that have to stand before it. */
  private acceptance({ spec, state }: Acceptable, named: readonly JobId[]): Acceptance | null {
    const { storeLimits, clock } = this.ctx;
    const acceptedAt = clock.wall();
    const key = keys.job(spec.id);
    if (state === 'cancelled') {
      // A job that is cancelled with one that it needs is nobody's to run.
      const value = encodeEnded({ spec, state, acceptedAt }, storeLimits.valueBytes);
      return { records: [], writes: [{ set: key, value }] };
    }
    const form = this.storedForm(spec, named, acceptedAt);
    if (!form) return null;
    const { spec: stored, records } = form;
    const value = encodeJob({ spec: stored, state, acceptedAt });
    return {
      records,
      writes: [
        { set: key, value },
        { set: keys.openHead(spec.id), value },
      ],
    };
  }

  /** Null: no form that the state service takes would be read by every controller. */
  private storedForm(spec: JobSpec, named: readonly JobId[], acceptedAt: WallTime): StoredInParts | null {
    const { storeLimits, settings } = this.ctx;
    const small = splitJob(spec, named, acceptedAt, storeLimits.valueBytes);
    if (small.spec.descriptionRecordCount === 0 || this.ctx.allPeersSupport(SPLIT_DESCRIPTIONS_VERSION))
      return small;
    // While a controller of an earlier version is about, the limits to come don't hold yet.
    const whole = splitJob(spec, named, acceptedAt, settings.storeLimits.valueBytes);
    return whole.spec.descriptionRecordCount === 0 ? whole : null;
  }

  private async find(id: JobId): Promise<StoredJob | null> {
    for (let tries = 1; ; tries++) {
      try {
        const row = await this.ctx.store.get(keys.job(id));
        return row ? { record: decodeJob(id, row.value), revision: row.revision } : null;
      } catch (error) {
        if (!worthAgain(error) || tries >= TRIES) throw error;
        await sleep(this.ctx.clock, 40 * tries + this.ctx.random() * 40);
      }
    }
  }

  private bodyOf(id: JobId, { state, spec }: JobRecord): object {
    return jobStatus(id, state, spec.taskCount, this.progressOf(id) ?? { done: 0, running: 0 });
  }

  private known(id: JobId, { record, revision }: StoredJob): UserAnswer {
    const body = this.bodyOf(id, record);
    this.cache.learn(id, record, revision, body);
    if (record.state === 'cancelled') this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    return { status: 200, body };
  }

  async query(id: string): Promise<UserAnswer> {
    const askedAt = this.ctx.clock.now();
    const answer = await this.lookUp(id);
    const late = since(this.ctx.clock.now(), askedAt) > MAX_ANSWER_AGE_MS;
    return late && answer.status === 200 ? unavailable('answered too late') : answer;
  }

  private async lookUp(id: string): Promise<UserAnswer> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    const ended = this.cache.final(id);
    if (ended) return { status: 200, body: ended };
    let known = this.cache.known(id);
    if (!known) {
      if (!this.firstQuestions.tryTake()) return unavailable('asked too often', 2);
      const found = await this.find(id);
      if (!found) return { status: 404, body: { error: 'no such job' } };
      const answer = this.known(id, found);
      known = this.cache.known(id);
      if (!known || (known.dependencies.length === 0 && known.dependencyRecords === 0)) return answer;
    }
    if (await this.dependencies.anyCancelled(id)) return this.cancelWithNeeded(id);
    // Its own record last: while the others were asked, it may have been cancelled with one of them.
    if (await this.confirmations.same(keys.job(id), known.revision)) {
      const progress = this.progressOf(id) ?? { done: 0, running: 0 };
      return { status: 200, body: jobStatus(id, 'accepted', known.tasks, progress) };
    }
    const found = await this.find(id);
    return found ? this.known(id, found) : { status: 404, body: { error: 'no such job' } };
  }

  /** What this node has seen or now reads of a job; null: it was never accepted. */
  private async readJob(id: JobId): Promise<JobRecord | null> {
    const found = await this.find(id);
    if (found) this.known(id, found);
    return found?.record ?? null;
  }

  /**
   * A job that it needs was cancelled, and so is this one. Its own record says so before anybody is told:
   * mostly the leader has written it, but a leader may be away for longer than a cancellation has.
   */
  private async cancelWithNeeded(id: JobId): Promise<UserAnswer> {
    const { status, body } = await this.cancel(id);
    if (status !== 200) return unavailable('being cancelled');
    const state = (body as { status: string }).status;
    return { status, body: { ref: id, status: state, done: 0, running: 0 } };
  }

  /** Every other controller hears of it before the user does, the leader among them. */
  private toldCancelled(id: JobId): UserAnswer {
    this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    return { status: 200, body: { ref: id, status: 'cancelled' } };
  }

  /** Durable on the job's record before it is told; the record's revision decides against done. */
  async cancel(id: string): Promise<UserAnswer> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    const told = (status: string): UserAnswer => ({ status: 200, body: { ref: id, status } });
    for (let tries = 1; tries <= TRIES + 2; tries++) {
      const found = await this.find(id);
      if (!found) return { status: 404, body: { error: 'no such job' } };
      const { record } = found;
      if (record.state === 'cancelled') return this.toldCancelled(id);
      if (record.state !== 'accepted') return told(record.state);
      // Cancellations go before submissions.
      this.writes.forceTake(CANCEL_WRITES * this.sharers());
      try {
        const result = await this.ctx.store.txn(
          [{ key: keys.job(id), revision: found.revision }],
          [
            {
              set: keys.job(id),
              value: encodeEnded({ ...record, state: 'cancelled' }, this.ctx.storeLimits.valueBytes),
            },
          ],
        );
        if (result.ok) return this.toldCancelled(id);
      } catch (error) {
        if (!worthAgain(error) || tries > TRIES) throw error;
        await sleep(this.ctx.clock, 60 * tries + this.ctx.random() * 60);
      }
    }
    return unavailable('not decided');
  }
}

/** A 503 is an outage or meant for this node alone: asking again at once does not help. */
function worthAgain(error: unknown): boolean {
  return (
    error instanceof StoreOutcomeUnknownError || (error instanceof StoreRefusedError && error.isRateLimited)
  );
}
