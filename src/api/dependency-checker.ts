/** Validates the dependencies between jobs (a DAG) for user requests. */
import type { ControllerContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import type { JobKind, JobSpec } from '../model/job.js';
import { type MonotonicTime, plus, since, withTimeout } from '../model/time.js';
import type { DependencyIndex, DependencyVerdict } from './dependency-index.js';
import { DependencyLimitError } from './dependency-limit.js';
import type { DependencyResolver } from './dependency-resolver.js';
import type { FoundRecord, JobBatchReader } from './job-batch-reader.js';
import type { JobCache } from './job-cache.js';
import { LookupDelayedError } from './job-lookups.js';
import type { JobWatch } from './job-watch.js';
import type { UserBudgets } from './user-budgets.js';

/** A job as it is stored on acceptance: without dependencies that are done; a cancelled job has no dependencies. */
export interface AcceptableJob {
  readonly spec: JobSpec;
  readonly state: 'accepted' | 'cancelled';
}

/** The time for which a query waits for the records that it lacks; a user waits 2 s for an answer (PROTOCOL). */
const MAX_QUERY_WAIT_MS = 1000;
/** The time for which a submission reads the jobs that it names; a user waits 5 s for an answer (PROTOCOL). */
const MAX_SUBMISSION_WAIT_MS = 3000;
/** The number of named jobs that one request of a submission may cover. */
const MAX_JOBS_PER_READ = 500;
const RETRY_AFTER_S = 1;

/** Thrown when the records of a job's dependencies are not read in time. They are read further for the next query. */
export class DependenciesUnresolvedError extends Error {
  override readonly name = 'DependenciesUnresolvedError';
  readonly code = 'DEPENDENCIES_UNRESOLVED';
  readonly retryAfterS = RETRY_AFTER_S;

  constructor() {
    super("the job's dependencies are being read; retry later");
  }
}

/** The collaborators of `DependencyChecker`. */
interface DependencyCheckerParts {
  readonly cache: JobCache;
  readonly index: DependencyIndex;
  readonly jobWatch: Pick<JobWatch, 'catchUp'>;
  readonly resolver: Pick<DependencyResolver, 'start'>;
  readonly batchReader: JobBatchReader;
  readonly budgets: Pick<UserBudgets, 'acquireJobRead'>;
  /** How many dependencies all open jobs together may have. */
  readonly maxDependencyCount: number;
}

/** Checks the states of the jobs that a job depends on. */
export class DependencyChecker {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'steps'>,
    private readonly parts: DependencyCheckerParts,
  ) {}

  /**
   * Returns why the job's dependencies are invalid: one of them is the job itself, a service, or a job that was never
   * accepted. Null: the dependencies are valid; a cancelled job is a valid dependency (`withoutDoneDependencies`).
   *
   * Rejects with `DependencyLimitError` if a new job would add too many dependencies, and with `LookupDelayedError` if
   * too many of the named jobs are neither open nor cached. Those that were read are cached, so that a repeated
   * submission continues with the others.
   */
  async findInvalidDependency(spec: JobSpec): Promise<string | null> {
    if (spec.dependencies.includes(spec.id)) return 'awaits must not name the job itself';
    this.checkLimit(spec);
    const unknownIds: JobId[] = [];
    for (const id of spec.dependencies) {
      const kind = this.knownKindOf(id);
      if (kind === 'service') return isServiceMessage(id);
      if (kind === undefined && this.parts.cache.finalState(id) !== 'done') unknownIds.push(id);
    }
    return this.findInvalidAmong(unknownIds.sort());
  }

  private checkLimit({ id, dependencies }: JobSpec): void {
    const { index, maxDependencyCount } = this.parts;
    const isKnown = index.kindOf(id) !== undefined;
    if (!isKnown && index.edgeCount + dependencies.length > maxDependencyCount)
      throw new DependencyLimitError();
  }

  private knownKindOf(id: JobId): JobKind | undefined {
    return this.parts.index.kindOf(id) ?? this.parts.cache.observed(id)?.kind;
  }

  private async findInvalidAmong(sortedIds: readonly JobId[]): Promise<string | null> {
    const { batchReader, budgets } = this.parts;
    const deadline = plus(this.ctx.clock.now(), MAX_SUBMISSION_WAIT_MS);
    for (let ids = sortedIds; ids.length > 0;) {
      if (this.remainingMs(deadline) <= 0) throw new LookupDelayedError(RETRY_AFTER_S);
      await budgets.acquireJobRead();
      const found = await batchReader.readSome(ids.slice(0, MAX_JOBS_PER_READ));
      for (const [id, record] of found) {
        const invalidity = invalidityOf(id, record);
        if (invalidity !== null) return invalidity;
      }
      ids = ids.filter((id) => !found.has(id));
    }
    return null;
  }

  private remainingMs(deadline: MonotonicTime): number {
    return since(deadline, this.ctx.clock.now());
  }

  /**
   * Returns the job without its done dependencies; if one of its dependencies is cancelled, the job is cancelled and
   * has no dependencies.
   * Call `findInvalidDependency` first, which loads the states of the dependencies into the cache.
   */
  withoutDoneDependencies(spec: JobSpec): AcceptableJob {
    const { cache } = this.parts;
    const dependencies = spec.dependencies.filter((id) => cache.finalState(id) !== 'done');
    const isCancelled = dependencies.some((id) => cache.finalState(id) === 'cancelled');
    if (isCancelled) return { spec: { ...spec, dependencies: [] }, state: 'cancelled' };
    return { spec: { ...spec, dependencies }, state: 'accepted' };
  }

  /**
   * Reports whether any direct or transitive dependency of the job is cancelled; false if the job has ended, which its
   * own record tells.
   * Every answer that reports a waiting job as pending needs this check: a job must not be reported as pending after
   * one of its dependencies was cancelled, even if no leader has yet written the resulting cancellation to the job's
   * own record.
   *
   * The index holds every change that was made before the call, as `catchUp` proves, so the verdict is that of a time
   * after the call. Rejects with `DependenciesUnresolvedError` if records are missing for too long, and with the errors
   * of the store client.
   */
  async hasCancelledDependency(id: JobId): Promise<boolean> {
    const { index, jobWatch, resolver } = this.parts;
    const deadline = plus(this.ctx.clock.now(), MAX_QUERY_WAIT_MS);
    let verdict: DependencyVerdict = 'unresolved';
    while (verdict === 'unresolved') {
      const waitMs = this.remainingMs(deadline);
      const hasCaughtUp = waitMs > 0 && (await withTimeout(this.ctx.clock, jobWatch.catchUp(), waitMs));
      if (!hasCaughtUp) throw new DependenciesUnresolvedError();
      verdict = this.ctx.steps.run('dependencies judged', id, () => index.judge(id));
      if (verdict === 'unresolved') resolver.start();
    }
    return verdict === 'cancelled';
  }
}

function isServiceMessage(id: JobId): string {
  return `awaits names ${id}, which is a service and never becomes done`;
}

/** Returns why a job with the found record cannot be a dependency; null: it can. */
function invalidityOf(id: JobId, found: FoundRecord): string | null {
  if (found.kind === 'absent') return `awaits names ${id}, which is not an accepted job`;
  if (found.kind === 'unreadable') throw found.error;
  return found.job.record.spec.kind === 'service' ? isServiceMessage(id) : null;
}
