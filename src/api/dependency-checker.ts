/** Validates the dependencies between jobs (a DAG) for user requests. */
import type { ControllerContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import { keys } from '../store/keys.js';
import type { JobCache } from './job-cache.js';
import type { JobReader } from './job-reader.js';
import type { RevisionConfirmations } from './revision-confirmations.js';

/** A job as it is stored on acceptance: without dependencies that are done; a cancelled job has no dependencies. */
export interface AcceptableJob {
  readonly spec: JobSpec;
  readonly state: 'accepted' | 'cancelled';
}

/** The maximum number of job records that one dependency check reads from the store concurrently. */
const MAX_CONCURRENT_READ_COUNT = 8;

/**
 * Checks the states of the jobs that a job depends on. `done` and `cancelled` are final states: they are not read again
 * while the cache holds them.
 */
export class DependencyChecker {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cache: JobCache,
    private readonly confirmations: RevisionConfirmations,
    private readonly reader: JobReader,
  ) {}

  /**
   * Returns why the job's dependencies are invalid: one of them is the job itself, a service, or a job that was never
   * accepted. Null: the dependencies are valid; a cancelled job is a valid dependency (`withoutDoneDependencies`).
   */
  async findInvalidDependency(spec: JobSpec): Promise<string | null> {
    if (spec.dependencies.includes(spec.id)) return 'awaits must not name the job itself';
    const unknownIds: JobId[] = [];
    for (const id of spec.dependencies) {
      const observed = this.cache.observed(id);
      if (observed?.kind === 'service')
        return `awaits names ${id}, which is a service and never becomes done`;
      if (!observed && this.cache.finalState(id) !== 'done') unknownIds.push(id);
    }
    for (let start = 0; start < unknownIds.length; start += MAX_CONCURRENT_READ_COUNT) {
      const ids = unknownIds.slice(start, start + MAX_CONCURRENT_READ_COUNT);
      const records = await Promise.all(ids.map((id) => this.reader.readAndCache(id)));
      for (const [index, record] of records.entries()) {
        if (!record) return `awaits names ${ids[index]}, which is not an accepted job`;
        if (record.spec.kind === 'service')
          return `awaits names ${ids[index]}, which is a service and never becomes done`;
      }
    }
    return null;
  }

  /**
   * Returns the job without its done dependencies; if one of its dependencies is cancelled, the job is cancelled and
   * has no dependencies.
   * Call `findInvalidDependency` first, which loads the states of the dependencies into the cache.
   */
  withoutDoneDependencies(spec: JobSpec): AcceptableJob {
    const dependencies = spec.dependencies.filter((id) => this.cache.finalState(id) !== 'done');
    const isCancelled = dependencies.some((id) => this.cache.finalState(id) === 'cancelled');
    if (isCancelled) return { spec: { ...spec, dependencies: [] }, state: 'cancelled' };
    return { spec: { ...spec, dependencies }, state: 'accepted' };
  }

  /**
   * Reports whether any direct or transitive dependency of the job is cancelled; false if the job is not in the cache.
   * Every answer that reports a waiting job as pending needs this check: a job must not be reported as pending after
   * one of its dependencies was cancelled, even if no leader has yet written the resulting cancellation to the job's
   * own record.
   */
  async hasCancelledDependency(id: JobId): Promise<boolean> {
    const visited = new Set<JobId>([id]);
    let level = await this.unfinishedDependencies(id);
    while (level.length > 0) {
      const nextLevel: JobId[] = [];
      const ids = level.filter((dependency) => !visited.has(dependency));
      for (const dependency of ids) visited.add(dependency);
      const states = await Promise.all(ids.map((dependency) => this.stateOf(dependency)));
      if (states.includes('cancelled')) return true;
      for (const [index, dependency] of ids.entries())
        if (states[index] === 'accepted') nextLevel.push(...(await this.unfinishedDependencies(dependency)));
      level = nextLevel;
    }
    return false;
  }

  private async stateOf(id: JobId): Promise<JobRecord['state']> {
    const finalState = this.cache.finalState(id);
    if (finalState) return finalState;
    const observed = this.cache.observed(id);
    if (observed && (await this.confirmations.hasRevision(keys.job(id), observed.revision)))
      return 'accepted';
    return (await this.reader.readAndCache(id))?.state ?? 'accepted';
  }

  /** Returns the job's direct dependencies that are not known to be done; none if the job is not in the cache. */
  private async unfinishedDependencies(id: JobId): Promise<JobId[]> {
    const observed = this.cache.observed(id);
    if (!observed) return [];
    const ids = [...observed.dependencies];
    for (let index = 0; index < observed.dependencyRecordCount; index++) {
      const row = await this.ctx.store.get(keys.dependencies(id, index));
      if (row) ids.push(...(row.value as JobId[]));
    }
    return ids.filter((dependency) => this.cache.finalState(dependency) !== 'done');
  }
}
