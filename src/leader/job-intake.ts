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

  /** Adds an unfinished job; does nothing if the leader already knows the job. */
  addOpenJob(job: ActiveJob): void {
    const { canceller, dependencies, demand } = this.parts;
    if (!this.ctx.jobs.add(job)) return;
    dependencies.add(job);
    if (this.ctx.cancellations.has(job.spec.id)) canceller.cancel(job.spec.id);
    // The demand of a blocked job is recorded when its dependencies are done.
    else if (job.tasks.size === 0 && !job.isBlocked && !job.isCancelled) demand.recordDemand(job);
  }

  /** Applies the confirmed cancellation of a job, which may be unknown to the leader. */
  cancel(id: JobId): void {
    this.parts.canceller.cancel(id);
  }

  /** Deletes the remaining records of ended jobs and cancels loaded jobs whose stored record is already cancelled. */
  processFinishedJobs({ staleKeys, cancelled }: LoadedJobs): void {
    this.parts.committer.deleteStaleKeys(staleKeys);
    for (const id of cancelled) this.parts.canceller.cancel(id);
  }
}
