/** Checks the DAG dependencies of jobs for users' requests. */
import type { ControllerContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/job.js';
import { keys } from '../store/keys.js';
import type { JobCache } from './job-cache.js';
import type { JobReader } from './job-reader.js';
import type { RevisionConfirmations } from './revision-confirmations.js';

/** A job in the form in which it is accepted: with the dependencies that remain. */
export interface AcceptableJob {
  readonly spec: JobSpec;
  readonly state: 'accepted' | 'cancelled';
}

/** Records of unknown jobs that are read at a time. */
const MAX_CONCURRENT_READS = 8;

/** What is known of the jobs that a job depends on. Done and cancelled are final: once seen they are not read again. */
export class Dependencies {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cache: JobCache,
    private readonly confirmations: RevisionConfirmations,
    private readonly reader: JobReader,
  ) {}

  /** Returns why the job can never run; null: each of its dependencies was accepted and can be done. */
  async findFault(spec: JobSpec): Promise<string | null> {
    if (spec.dependencies.includes(spec.id)) return 'awaits names the job itself';
    const unknown: JobId[] = [];
    for (const id of spec.dependencies) {
      const observed = this.cache.observed(id);
      if (observed?.kind === 'service') return `awaits names the service ${id}`;
      if (!observed && this.cache.finalState(id) !== 'done') unknown.push(id);
    }
    for (let start = 0; start < unknown.length; start += MAX_CONCURRENT_READS) {
      const ids = unknown.slice(start, start + MAX_CONCURRENT_READS);
      const records = await Promise.all(ids.map((id) => this.reader.readAndRemember(id)));
      for (const [index, record] of records.entries()) {
        if (!record) return `awaits names ${ids[index]}, which was never accepted`;
        if (record.spec.kind === 'service') return `awaits names the service ${ids[index]}`;
      }
    }
    return null;
  }

  /** Drops the dependencies that are done; the job is cancelled if one of them is. To be called after `findFault`. */
  remaining(spec: JobSpec): AcceptableJob {
    const dependencies = spec.dependencies.filter((id) => this.cache.finalState(id) !== 'done');
    const isCancelled = dependencies.some((id) => this.cache.finalState(id) === 'cancelled');
    if (isCancelled) return { spec: { ...spec, dependencies: [] }, state: 'cancelled' };
    return { spec: { ...spec, dependencies }, state: 'accepted' };
  }

  /**
   * Reports whether a job that this one depends on, directly or through others, is cancelled. Checked for every answer
   * that calls a waiting job pending: it must not be called so long after one before it was cancelled, even when no
   * leader could write that yet.
   */
  async isAnyCancelled(id: JobId): Promise<boolean> {
    const visited = new Set<JobId>([id]);
    let level = await this.directDependencies(id);
    while (level.length > 0) {
      const nextLevel: JobId[] = [];
      const ids = level.filter((dependency) => !visited.has(dependency));
      for (const dependency of ids) visited.add(dependency);
      const states = await Promise.all(ids.map((dependency) => this.stateOf(dependency)));
      if (states.includes('cancelled')) return true;
      for (const [index, dependency] of ids.entries())
        if (states[index] === 'accepted') nextLevel.push(...(await this.directDependencies(dependency)));
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
    return (await this.reader.readAndRemember(id))?.state ?? 'accepted';
  }

  /** The job's own dependencies that are not known to be done. */
  private async directDependencies(id: JobId): Promise<JobId[]> {
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
