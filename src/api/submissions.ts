/** Accepts jobs: checks a submission, and creates the job's records in one compare-and-swap. */
import type { ControllerContext } from '../core/context.js';
import { isJobId, type JobId, NO_REVISION } from '../model/ids.js';
import { fits, type JobSpec } from '../model/job.js';
import { DEPENDENCIES_VERSION, SPLIT_DESCRIPTIONS_VERSION } from '../model/protocol.js';
import type { WallTime } from '../model/time.js';
import { remainingQuota } from '../scheduler/queue.js';
import { encodeEndedJob, encodeJob, splitJob, type SplitJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { Compare, SetOperation, WriteOperation } from '../wire/key-value-store.js';
import { accepted, parseSubmission } from '../wire/users.js';
import type { AcceptableJob, Dependencies } from './dependencies.js';
import type { JobCache } from './job-cache.js';
import type { JobReader } from './job-reader.js';
import { OverflowRecords } from './overflow-records.js';
import { backOff, isRetryable, MAX_ATTEMPTS } from './store-retry.js';
import { BusyError, unavailable, unprocessable, type UserAnswer } from './user-answer.js';
import type { UserBudgets } from './user-budgets.js';

const WRITE_RETRY_MS = 60;
/** Seconds after which it is worth asking again for what a controller of an earlier version does not support. */
const UPGRADE_RETRY_S = 5;

/** One error for all: it is thrown hundreds of times a second under load, and nobody reads its stack. */
const BUSY = new BusyError('asked too often');

/** The writes of an acceptance, and the further records that have to be there before it. */
interface Acceptance {
  readonly records: readonly SetOperation[];
  readonly writes: readonly WriteOperation[];
}

/** The parts that submissions are handled with. */
interface SubmissionParts {
  readonly cache: JobCache;
  readonly reader: JobReader;
  readonly dependencies: Dependencies;
  readonly budgets: UserBudgets;
}

/** Handles submissions; a repeated one is answered from the job's record (idempotent request). */
export class Submissions {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly parts: SubmissionParts,
  ) {}

  /** May throw StoreRefusedError, StoreOutcomeUnknownError or BusyError: the caller asks another controller or answers 503. */
  async submit(body: unknown): Promise<UserAnswer> {
    const ref = (body as { ref?: unknown } | null | undefined)?.ref;
    const parsed = parseSubmission(body);
    const refusal = parsed.ok
      ? (this.checkResources(parsed.value) ?? (await this.checkDependencies(parsed.value)))
      : { status: 400, body: { error: parsed.error } };
    if (refusal) {
      // A job that is known is answered from its record, whatever the repeated submission says.
      if (refusal.status !== 503 && typeof ref === 'string' && isJobId(ref)) {
        const job = await this.parts.reader.read(ref);
        if (job) return this.parts.reader.remember(ref, job);
      }
      return refusal;
    }
    if (!parsed.ok) return unavailable('not decided');
    return this.accept(this.parts.dependencies.remaining(parsed.value), parsed.value.dependencies);
  }

  /** Why the job can never run; null: it can. */
  private checkResources(spec: JobSpec): UserAnswer | null {
    const team = this.ctx.settings.teams.find(({ id }) => id === spec.team);
    if (!team) return unprocessable('unknown team');
    const machineTypes = [...this.ctx.machineTypes.values()];
    if (machineTypes.length === 0) return unavailable('machine types not known yet');
    const { allowedTypes, zone } = spec;
    const fitsSomeType = machineTypes.some(
      (type) =>
        (allowedTypes === null || allowedTypes.includes(type.id)) &&
        (zone === null || type.zones.includes(zone)) &&
        fits(spec, type),
    );
    if (!fitsSomeType) return unprocessable('a task fits no allowed machine type');
    const maxTasks = remainingQuota(team, { cpus: 0, gpus: 0 }, spec);
    const minTasks = spec.kind === 'array' ? 1 : spec.taskCount;
    return maxTasks < minTasks ? unprocessable("more than the team's limit") : null;
  }

  /** Why a job with dependencies cannot be accepted; null: it can, or has none. */
  private async checkDependencies(spec: JobSpec): Promise<UserAnswer | null> {
    if (spec.dependencies.length === 0) return null;
    // A leader of an earlier version would ignore the dependencies.
    if (!this.ctx.allPeersSupport(DEPENDENCIES_VERSION))
      return unavailable('awaits is not served yet', UPGRADE_RETRY_S);
    const fault = await this.parts.dependencies.findFault(spec);
    return fault === null ? null : unprocessable(fault);
  }

  private async accept(job: AcceptableJob, namedJobs: readonly JobId[]): Promise<UserAnswer> {
    const { cache, reader } = this.parts;
    const { id } = job.spec;
    const finalBody = cache.finalBody(id);
    if (finalBody) return { status: 200, body: finalBody };
    // A repeated submission: a read spares the writes that a failing acceptance would cost.
    const repeated = cache.observed(id) ? await reader.read(id) : null;
    if (repeated) return reader.remember(id, repeated);
    const acceptance = this.acceptanceOf(job, namedJobs);
    if (!acceptance) return unavailable('a submission of this length is not served yet', UPGRADE_RETRY_S);
    return this.write(id, acceptance);
  }

  private async write(id: JobId, { records, writes }: Acceptance): Promise<UserAnswer> {
    const { reader, budgets } = this.parts;
    const isUnknown: Compare = { key: keys.job(id), revision: NO_REVISION };
    const overflow = new OverflowRecords(this.ctx, records, isUnknown);
    for (let attempts = 1; ; attempts++) {
      if (!budgets.tryTakeWrites(writes.length + overflow.missing)) throw BUSY;
      try {
        if ((await overflow.write()) && (await this.tryAccept([isUnknown, ...overflow.compares], writes)))
          return { status: 201, body: accepted(id) };
        const existing = await reader.read(id);
        if (existing) return reader.remember(id, existing);
        // Another controller takes the same submission in: it may be done with it by the next attempt.
        overflow.begin();
      } catch (error) {
        this.ctx.storeLimits.recordFailure(error);
        // The same transaction is tried again: at most one of the two is carried out.
        if (!isRetryable(error) || attempts >= MAX_ATTEMPTS) throw error;
      }
      if (attempts >= MAX_ATTEMPTS) return unavailable('not decided');
      await backOff(this.ctx, attempts, WRITE_RETRY_MS);
    }
  }

  private async tryAccept(compares: readonly Compare[], writes: readonly WriteOperation[]): Promise<boolean> {
    return (await this.ctx.store.txn(compares, writes)).ok;
  }

  /** Null: the job has no stored form that both the store takes and every controller reads. */
  private acceptanceOf({ spec, state }: AcceptableJob, namedJobs: readonly JobId[]): Acceptance | null {
    const { storeLimits, clock } = this.ctx;
    const acceptedAt = clock.wall();
    const key = keys.job(spec.id);
    if (state === 'cancelled') {
      // A job that is cancelled with one of its dependencies never gets a head: no leader reads it.
      const value = encodeEndedJob({ spec, state, acceptedAt }, storeLimits.valueBytes);
      return { records: [], writes: [{ set: key, value }] };
    }
    const stored = this.storedForm(spec, namedJobs, acceptedAt);
    if (!stored) return null;
    const value = encodeJob({ spec: stored.spec, state, acceptedAt });
    return {
      records: stored.records,
      writes: [
        { set: key, value },
        { set: keys.openHead(spec.id), value },
      ],
    };
  }

  private storedForm(spec: JobSpec, namedJobs: readonly JobId[], acceptedAt: WallTime): SplitJob | null {
    const { storeLimits, settings } = this.ctx;
    const small = splitJob(spec, namedJobs, acceptedAt, storeLimits.valueBytes);
    const isReadByAll =
      small.spec.descriptionRecordCount === 0 || this.ctx.allPeersSupport(SPLIT_DESCRIPTIONS_VERSION);
    if (isReadByAll) return small;
    // While a controller of an earlier version is running, the announced limits don't hold yet.
    const whole = splitJob(spec, namedJobs, acceptedAt, settings.storeLimits.valueBytes);
    return whole.spec.descriptionRecordCount === 0 ? whole : null;
  }
}
