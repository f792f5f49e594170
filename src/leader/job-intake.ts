import type { LeaderContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Committer } from './committer.js';
import type { DemandListener, DependencyTracker } from './dependency-tracker.js';
import type { JobCanceller } from './job-canceller.js';
import type { LoadedJobs } from './open-job-loader.js';

/** The leader components that `JobIntake` uses. */
interface JobIntakeParts {
  readonly committer: Committer;
  readonly canceller: JobCanceller;
  readonly dependencies: DependencyTracker;
  readonly demand: DemandListener;
}

/** Applies stored job records to the leader's state: once during state restore, then after each change of a record. */
export class JobIntake {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: JobIntakeParts,
  ) {}

  /** Adds unfinished jobs, except those that the leader already knows. */
  addOpenJobs(jobs: readonly ActiveJob[]): void {
    this.ctx.steps.run('jobs added', jobs[0]?.spec.id, () => this.addUnknown(jobs));
  }

  private addUnknown(jobs: readonly ActiveJob[]): void {
    const { canceller, dependencies, demand } = this.parts;
    const added = jobs.filter((job) => this.ctx.jobs.add(job));
    dependencies.add(added);
    const isConfirmedCancelled = (id: JobId): boolean => this.ctx.cancellations.has(id);
    canceller.cancel(added.map(({ spec }) => spec.id).filter(isConfirmedCancelled));
    for (const job of added) {
      // The demand of a blocked job is recorded when its dependencies are done.
      if (job.tasks.size === 0 && !job.isBlocked && !job.isCancelled) demand.recordDemand(job);
    }
  }

  /** Applies the confirmed cancellations of jobs, which may be unknown to the leader. */
  cancel(ids: readonly JobId[]): void {
    this.parts.canceller.cancel(ids);
  }

  /** Deletes the remaining records of ended jobs and cancels loaded jobs whose stored record is already cancelled. */
  processFinishedJobs({ staleKeys, cancelled }: LoadedJobs): void {
    this.parts.committer.deleteStaleKeys(staleKeys);
    this.parts.canceller.cancel(cancelled);
  }
}
