import type { LeaderContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Committer } from './committer.js';
import type { DemandListener, DependencyTracker } from './dependency-tracker.js';
import type { JobCanceller } from './job-canceller.js';
import type { LoadedJobs } from './open-job-loader.js';

/** The parts of the leader that `JobIntake` works with. */
interface JobIntakeParts {
  readonly committer: Committer;
  readonly canceller: JobCanceller;
  readonly dependencies: DependencyTracker;
  readonly demand: DemandListener;
}

/** Takes in what the records say of jobs: once when the state is restored, then as it changes. */
export class JobIntake {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: JobIntakeParts,
  ) {}

  /** A job is not over; it may be known already. */
  addOpenJob(job: ActiveJob): void {
    const { canceller, dependencies, demand } = this.parts;
    if (!this.ctx.jobs.add(job)) return;
    dependencies.add(job);
    if (this.ctx.cancellations.has(job.spec.id)) canceller.cancel(job.spec.id);
    // A job that waits for its dependencies is demand from its release on.
    else if (job.tasks.size === 0 && !job.isBlocked && !job.isCancelled) demand.recordDemand(job);
  }

  /** A job's cancellation is confirmed; the job may be unknown. */
  cancel(id: JobId): void {
    this.parts.canceller.cancel(id);
  }

  /**
   * Drops the remaining records of jobs that are over, and cancels jobs that were cancelled since they were accepted.
   */
  processFinishedJobs({ staleKeys, cancelled }: LoadedJobs): void {
    this.parts.committer.deleteStaleKeys(staleKeys);
    for (const id of cancelled) this.parts.canceller.cancel(id);
  }
}
