/** Blocks jobs until every job that they depend on is durably done. */
import type { Mutex } from 'async-mutex';
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { DependencyGraph } from '../scheduler/dependency-graph.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { JobCanceller } from './job-canceller.js';
import { readDependencies } from './record-loader.js';
import { retryUntilTermEnds } from './retry.js';

/** Delay before the retry after a failed read of a job's dependency records. */
const DEPENDENCIES_RETRY_DELAY_MS = 300;
/**
 * Minimum delay before the retry after a failed read of a dependency's job record; jitter adds up to the same again.
 */
const LOOKUP_RETRY_DELAY_MS = 100;

/** Receives each job that has become ready to start. */
export interface DemandListener {
  /** Records the demand of a job that may start from now on. */
  recordDemand(job: ActiveJob): void;
}

/** The leader components that `DependencyTracker` uses. */
interface DependencyTrackerParts {
  readonly graph: DependencyGraph;
  readonly canceller: JobCanceller;
  readonly demand: DemandListener;
  readonly lock: Mutex;
}

/**
 * Tracks the dependencies between jobs. A job is blocked while one of its dependencies is not known to be done. The
 * state `done` is final, so no transaction has to compare a dependency that is done. The tracker's state follows from
 * the stored records alone.
 */
export class DependencyTracker {
  /** Dependencies that are not in the job store, because they have ended or have not been loaded yet. */
  private readonly unresolvedIds = new Set<JobId>();
  private isLookingUp = false;
  private isStarted = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: DependencyTrackerParts,
  ) {}

  /** Enables the lookup of unresolved dependencies; called after the stored records have been loaded. */
  start(): void {
    this.isStarted = true;
    void this.lookUpUnresolved();
  }

  /** Adds jobs: records their unmet dependencies and updates the priorities that jobs inherit from their dependents. */
  add(jobs: readonly ActiveJob[]): void {
    for (const job of jobs) this.addDependencies(job);
    this.parts.graph.add(jobs);
    for (const job of jobs) this.cancelIfDependencyCancelled(job);
    void this.lookUpUnresolved();
  }

  private addDependencies(job: ActiveJob): void {
    const { id, dependencies, dependencyRecordCount } = job.spec;
    // All dependencies of a job that has started are done, and `done` is final.
    if (job.tasks.size > 0) return;
    for (const dependency of dependencies) this.addDependency(job, dependency);
    if (dependencyRecordCount === 0) return;
    job.dependencies.hasUnreadRecords = true;
    void this.readFurtherDependencies(id, dependencyRecordCount);
  }

  /** Marks a job as durably done and releases the jobs that have no other unmet dependency. */
  markDone(id: JobId): void {
    this.ctx.steps.run('job completed', id, () => this.releaseJobs(this.parts.graph.complete(id)));
  }

  private addDependency(job: ActiveJob, dependency: JobId): void {
    const { jobs } = this.ctx;
    if (jobs.finalStateOf(dependency) === 'done') return;
    job.dependencies.unmet.add(dependency);
    if (!jobs.has(dependency)) this.unresolvedIds.add(dependency);
  }

  /**
   * Cancels the job if one of its dependencies was cancelled before this leader knew the job, so that the cancellation
   * did not include the job. A controller with an outdated view accepts such a job.
   */
  private cancelIfDependencyCancelled(job: ActiveJob): void {
    if (job.isCancelled) return;
    for (const dependency of job.dependencies.unmet) {
      if (!this.isCancelled(dependency)) continue;
      this.parts.canceller.cancelDependent(job);
      return;
    }
  }

  private isCancelled(id: JobId): boolean {
    const { jobs, cancellations } = this.ctx;
    return (
      jobs.finalStateOf(id) === 'cancelled' || cancellations.has(id) || jobs.get(id)?.isCancelled === true
    );
  }

  private async readFurtherDependencies(id: JobId, recordCount: number): Promise<void> {
    const onFailure = (error: unknown): void =>
      this.ctx.log.debug({ job: id, error: errorMessage(error) }, 'job dependencies read failed');
    await retryUntilTermEnds(this.ctx, { retryDelayMs: DEPENDENCIES_RETRY_DELAY_MS, onFailure }, async () => {
      const dependencies = await readDependencies(this.ctx, id, recordCount);
      await this.parts.lock.runExclusive(() => this.addFurtherDependencies(id, dependencies));
      await this.lookUpUnresolved();
    });
  }

  private addFurtherDependencies(id: JobId, dependencies: readonly JobId[]): void {
    const job = this.ctx.jobs.get(id);
    if (!job || job.isCancelled) return;
    for (const dependency of dependencies) this.addDependency(job, dependency);
    job.dependencies.hasUnreadRecords = false;
    this.parts.graph.add([job]);
    this.cancelIfDependencyCancelled(job);
    if (!job.isBlocked && !job.isCancelled) this.releaseJobs([job]);
  }

  /** Reads the job records of unresolved dependencies, which have ended or were accepted recently. Never throws. */
  private async lookUpUnresolved(): Promise<void> {
    if (this.isLookingUp || !this.isStarted) return;
    this.isLookingUp = true;
    while (this.unresolvedIds.size > 0 && !this.ctx.isEnded()) {
      for (const id of this.unresolvedIds) {
        await this.lookUpDependency(id);
        if (this.ctx.isEnded()) break;
      }
    }
    this.isLookingUp = false;
  }

  private async lookUpDependency(id: JobId): Promise<void> {
    try {
      const row = this.ctx.jobs.has(id) ? null : await this.ctx.store.get(keys.job(id));
      this.unresolvedIds.delete(id);
      // A dependency that is still `accepted` is already in the job store or will be added by the job watch. A
      // dependency without a job record counts as `accepted`.
      const state = row ? decodeJob(id, row.value).state : 'accepted';
      await this.parts.lock.runExclusive(() => {
        if (state === 'done') this.markDone(id);
        else if (state === 'cancelled') this.parts.canceller.cancel([id]);
      });
    } catch (error) {
      this.ctx.log.debug({ job: id, error: errorMessage(error) }, 'dependency lookup failed');
      await sleep(this.ctx.clock, LOOKUP_RETRY_DELAY_MS * (1 + this.ctx.random()));
    }
  }

  /** Releases jobs whose dependencies are all durably done; the waiting time of the jobs counts from now. */
  private releaseJobs(jobs: readonly ActiveJob[]): void {
    if (jobs.length === 0) return;
    for (const job of jobs) {
      job.markReady(this.ctx.clock.wall());
      this.parts.demand.recordDemand(job);
    }
    this.ctx.jobs.version++;
    this.ctx.requestDecision();
  }
}
