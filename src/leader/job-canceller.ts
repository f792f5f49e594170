/** Stops the tasks of cancelled jobs and of all jobs that depend on cancelled jobs. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { JobId } from '../model/ids.js';
import { ms, type MonotonicTime, since } from '../model/time.js';
import type { DependencyGraph } from '../scheduler/dependency-graph.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Task } from '../scheduler/task.js';
import type { Committer } from './committer.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { Worker } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/** Share of the cancellation time limit after which a worker that still has a cancelled task is fenced. */
const FENCE_AFTER_RATIO = 0.4;

/** The leader components that `JobCanceller` uses. */
interface JobCancellerParts {
  readonly graph: DependencyGraph;
  readonly lifetimes: Lifetimes;
  readonly dispatcher: CommandDispatcher;
  readonly committer: Committer;
  readonly fleet: FleetManager;
}

/** Applies confirmed cancellations, which are final for this leader and every later leader. */
export class JobCanceller {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: JobCancellerParts,
  ) {}

  /**
   * Applies the confirmed cancellations of jobs. Jobs that depend on the jobs are cancelled too; none of their tasks can
   * have started. All are removed from the dependency graph as one change.
   */
  cancel(ids: readonly JobId[]): void {
    this.ctx.steps.run('jobs cancelled', ids[0], () => this.apply(ids));
  }

  private apply(ids: readonly JobId[]): void {
    const { cancellations, jobs } = this.ctx;
    cancellations.learn(ids.map((id) => ({ id, age: ms(0) })));
    const named = new Set(ids);
    const dependents = this.parts.graph
      .dependentsOf(ids)
      .filter((job) => !job.isCancelled && !named.has(job.spec.id));
    for (const job of dependents) job.isCancelledByDependency = true;
    const cancelled = [...named].flatMap((id) => jobs.get(id) ?? []).filter((job) => !job.isCancelled);
    this.stopJobs([...dependents, ...cancelled]);
  }

  /** Cancels a job because of a cancelled dependency; the job's stored record does not show the cancellation yet. */
  cancelDependent(job: ActiveJob): void {
    job.isCancelledByDependency = true;
    this.stopJobs([job]);
  }

  /**
   * Fences workers that still have a cancelled task after `FENCE_AFTER_RATIO` of the cancellation time limit. Otherwise
   * a hanging machine would keep running the task. Fencing needs no valid leader lease, because no leader has a valid
   * lease while the store is unavailable.
   */
  fenceWorkersWithOverdueStops(now: MonotonicTime): void {
    const maxAgeMs = this.ctx.settings.cancellationLimit * FENCE_AFTER_RATIO;
    const isOverdue = ({ pendingStop }: Task): boolean =>
      pendingStop?.reason === 'cancelled' && since(now, pendingStop.since) > maxAgeMs;
    for (const worker of this.ctx.workers.values()) {
      if ([...worker.tasks].some(isOverdue))
        this.parts.fleet.deleteMachine(worker, 'cancelled task still present', true);
    }
  }

  private stopJobs(jobs: readonly ActiveJob[]): void {
    this.parts.graph.remove(jobs);
    for (const job of jobs) this.stopTasks(job);
  }

  private stopTasks(job: ActiveJob): void {
    const now = this.ctx.clock.now();
    // The time limit runs from the time that `ConfirmedCancellations` holds, which allows for the age that a peer
    // reported, and not from the takeover.
    const cancelledAt = this.ctx.cancellations.learnedAt(job.spec.id) ?? now;
    job.isCancelled = true;
    const stoppingWorkers = new Set<Worker>();
    for (const task of [...job.assignedTasks()]) {
      const worker = task.machine === null ? undefined : this.ctx.workers.get(task.machine);
      if (isStartUnsent(task)) {
        worker?.unassign(task);
        job.releaseTask(task, now);
        continue;
      }
      this.recordLifetime(task, now);
      task.pendingStop = { graceS: 0, reason: 'cancelled', since: cancelledAt };
      if (worker) stoppingWorkers.add(worker);
    }
    this.ctx.jobs.onJobChanged(job);
    for (const worker of stoppingWorkers) this.parts.dispatcher.dispatch(worker);
    this.parts.committer.schedule();
    this.ctx.requestDecision();
  }

  /** Records the lifetime of a service replica, which runs until its service is cancelled. */
  private recordLifetime({ job, runningAt }: Task, now: MonotonicTime): void {
    if (job.spec.kind !== 'service' || runningAt === null) return;
    this.parts.lifetimes.recordRun(job.spec.jobClass, now - runningAt);
  }
}

/** Returns whether no start command was sent, so that the task cannot be on the machine. */
function isStartUnsent(task: Task): boolean {
  return task.phase === 'committing' || (task.startSentIncarnation === null && !task.isInherited);
}
