/**
 * Accepts jobs: validates a submission, writes the job's overflow records, and then creates the job's own record and
 * its open-job record in one compare-and-swap transaction.
 */
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
import type { AcceptableJob, DependencyChecker } from './dependency-checker.js';
import type { JobCache } from './job-cache.js';
import type { JobReader } from './job-reader.js';
import { OverflowRecords } from './overflow-records.js';
import { backOff, isRetryable, MAX_ATTEMPT_COUNT } from './store-retry.js';
import { BusyError, unavailable, unprocessable, type UserAnswer } from './user-answer.js';
import type { UserBudgets } from './user-budgets.js';

const WRITE_RETRY_DELAY_MS = 60;
/** The `retry-after` of a request that is refused until controllers of an earlier version have been upgraded. */
const UPGRADE_RETRY_S = 5;

/**
 * A shared error instance: under load the error is thrown hundreds of times a second, and its stack trace is unused.
 */
const BUSY_ERROR = new BusyError('too many requests; retry later');

/** The writes of a job acceptance, and the overflow records that must be written before them. */
interface Acceptance {
  readonly records: readonly SetOperation[];
  readonly writes: readonly WriteOperation[];
}

/** The collaborators of `Submissions`. */
interface SubmissionServices {
  readonly cache: JobCache;
  readonly reader: JobReader;
  readonly dependencies: DependencyChecker;
  readonly budgets: UserBudgets;
}

/** Handles job submissions. Submissions are idempotent: a repeated one is answered from the job's record. */
export class Submissions {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly services: SubmissionServices,
  ) {}

  /**
   * Handles a submission. Throws StoreRefusedError, StoreOutcomeUnknownError or BusyError; the caller then forwards the
   * request to another controller or answers 503.
   */
  async submit(body: unknown): Promise<UserAnswer> {
    const ref = (body as { ref?: unknown } | null | undefined)?.ref;
    const parsed = parseSubmission(body);
    const refusal = parsed.ok
      ? (this.checkResources(parsed.value) ?? (await this.checkDependencies(parsed.value)))
      : { status: 400, body: { error: parsed.error } };
    if (refusal) {
      // A job that was accepted before is answered from its record even if the repeated submission is invalid, but not
      // if the refusal is temporary (503).
      if (refusal.status !== 503 && typeof ref === 'string' && isJobId(ref)) {
        const job = await this.services.reader.read(ref);
        if (job) return this.services.reader.cacheAndAnswer(ref, job);
      }
      return refusal;
    }
    if (!parsed.ok) return unavailable('submission not processed; retry later');
    return this.accept(
      this.services.dependencies.withoutDoneDependencies(parsed.value),
      parsed.value.dependencies,
    );
  }

  /**
   * Returns the refusal of a job whose team is not configured, or that can never run with the team's quota and the
   * machine types, or of any job while the machine types are not loaded; null: the job can run.
   */
  private checkResources(spec: JobSpec): UserAnswer | null {
    const team = this.ctx.settings.teams.find(({ id }) => id === spec.team);
    if (!team) return unprocessable("the submission's team is not configured");
    const machineTypes = [...this.ctx.machineTypes.values()];
    if (machineTypes.length === 0) return unavailable('machine types not loaded yet; retry later');
    const { allowedTypes, zone } = spec;
    const fitsSomeType = machineTypes.some(
      (type) =>
        (allowedTypes === null || allowedTypes.includes(type.id)) &&
        (zone === null || type.zones.includes(zone)) &&
        fits(spec, type),
    );
    if (!fitsSomeType) return unprocessable('a task fits on none of the machine types that the job allows');
    const maxTasks = remainingQuota(team, { cpus: 0, gpus: 0 }, spec);
    const minTasks = spec.kind === 'array' ? 1 : spec.taskCount;
    return maxTasks < minTasks ? unprocessable("the job needs more resources than the team's limit") : null;
  }

  /** Returns the refusal of a job because of its dependencies; null: the job has none, or all of them are valid. */
  private async checkDependencies(spec: JobSpec): Promise<UserAnswer | null> {
    if (spec.dependencies.length === 0) return null;
    // A leader of an earlier version would ignore the job's dependencies and start the job too early.
    if (!this.ctx.allPeersSupport(DEPENDENCIES_VERSION))
      return unavailable(
        'awaits is not supported until all controllers are upgraded; retry later',
        UPGRADE_RETRY_S,
      );
    const invalidity = await this.services.dependencies.findInvalidDependency(spec);
    return invalidity === null ? null : unprocessable(invalidity);
  }

  private async accept(job: AcceptableJob, namedJobs: readonly JobId[]): Promise<UserAnswer> {
    const { cache, reader } = this.services;
    const { id } = job.spec;
    const finalBody = cache.finalBody(id);
    if (finalBody) return { status: 200, body: finalBody };
    // For a repeated submission, one read saves the writes of an acceptance that would fail.
    const existing = cache.observed(id) ? await reader.read(id) : null;
    if (existing) return reader.cacheAndAnswer(id, existing);
    const acceptance = this.acceptanceOf(job, namedJobs);
    if (!acceptance)
      return unavailable(
        'a submission of this length is not supported until all controllers are upgraded; retry later',
        UPGRADE_RETRY_S,
      );
    return this.write(id, acceptance);
  }

  private async write(id: JobId, { records, writes }: Acceptance): Promise<UserAnswer> {
    const { reader, budgets } = this.services;
    const jobIsAbsent: Compare = { key: keys.job(id), revision: NO_REVISION };
    const overflow = new OverflowRecords(this.ctx, records, jobIsAbsent);
    for (let attempts = 1; ; attempts++) {
      if (!budgets.tryTakeWrites(writes.length + overflow.unwrittenCount)) throw BUSY_ERROR;
      try {
        if ((await overflow.write()) && (await this.tryAccept([jobIsAbsent, ...overflow.compares], writes)))
          return { status: 201, body: accepted(id) };
        const existing = await reader.read(id);
        if (existing) return reader.cacheAndAnswer(id, existing);
        // Another controller is processing the same submission, and may have accepted the job by the next attempt.
        overflow.restart();
      } catch (error) {
        this.ctx.storeLimits.recordFailure(error);
        // A retry is safe: both attempts compare the absence of the job's record, so at most one of them is committed.
        if (!isRetryable(error) || attempts >= MAX_ATTEMPT_COUNT) throw error;
      }
      if (attempts >= MAX_ATTEMPT_COUNT)
        return unavailable('submission not confirmed by the key-value store; retry later');
      await backOff(this.ctx, attempts, WRITE_RETRY_DELAY_MS);
    }
  }

  private async tryAccept(compares: readonly Compare[], writes: readonly WriteOperation[]): Promise<boolean> {
    return (await this.ctx.store.txn(compares, writes)).ok;
  }

  /**
   * Returns the writes that accept the job; null: no stored form of the job both fits the store's limits and is
   * readable by every controller.
   */
  private acceptanceOf({ spec, state }: AcceptableJob, namedJobs: readonly JobId[]): Acceptance | null {
    const { storeLimits, clock } = this.ctx;
    const acceptedAt = clock.wall();
    const key = keys.job(spec.id);
    if (state === 'cancelled') {
      // A job that depends on a cancelled job is stored as cancelled and without an open-job record, since no leader
      // has to run it.
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
    const splitByCurrentLimits = splitJob(spec, namedJobs, acceptedAt, storeLimits.valueBytes);
    const isReadableByAll =
      splitByCurrentLimits.spec.descriptionRecordCount === 0 ||
      this.ctx.allPeersSupport(SPLIT_DESCRIPTIONS_VERSION);
    if (isReadableByAll) return splitByCurrentLimits;
    // Announced store limits are not in effect while a controller of an earlier version runs: the settings' limits
    // apply.
    const splitBySettingsLimits = splitJob(spec, namedJobs, acceptedAt, settings.storeLimits.valueBytes);
    return splitBySettingsLimits.spec.descriptionRecordCount === 0 ? splitBySettingsLimits : null;
  }
}
