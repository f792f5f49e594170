/** Stops the tasks of cancelled jobs, and of all jobs that depend on them. */
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

/** The share of a cancellation's limit after which a worker that still has the task is fenced. */
const FENCE_AFTER_RATIO = 0.4;

/** The parts of the leader that cancellations are carried out with. */
interface JobCancellerParts {
  readonly graph: DependencyGraph;
  readonly lifetimes: Lifetimes;
  readonly dispatcher: CommandDispatcher;
  readonly committer: Committer;
  readonly fleet: FleetManager;
}

/** Carries out confirmed cancellations, which are final whoever leads. */
export class JobCanceller {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: JobCancellerParts,
  ) {}

  /**
   * Carries out a confirmed cancellation. The jobs that depend on it are cancelled, too: nothing of them can have
   * started.
   */
  cancel(id: JobId): void {
    this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    const dependents = this.parts.graph.dependentsOf(id);
    const job = this.ctx.jobs.get(id);
    for (const dependent of dependents) if (!dependent.isCancelled) this.cancelDependent(dependent);
    if (job && !job.isCancelled) this.stopTasks(job);
  }

  /** Cancels a job with one that it depends on; its own record doesn't say so yet. */
  cancelDependent(job: ActiveJob): void {
    job.isCancelledByDependency = true;
    this.stopTasks(job);
  }

  /**
   * Fences workers that still have a cancelled task well before the cancellation's limit, with or without a valid
   * lease: a machine that hangs goes on with the task otherwise, and while the store is unavailable no leader's lease
   * is valid.
   */
  fenceWorkersWithOverdueStops(now: MonotonicTime): void {
    const maxAgeMs = this.ctx.settings.cancellationLimit * FENCE_AFTER_RATIO;
    const isOverdue = ({ pendingStop }: Task): boolean =>
      pendingStop?.reason === 'cancelled' && since(now, pendingStop.since) > maxAgeMs;
    for (const worker of this.ctx.workers.values()) {
      if ([...worker.tasks].some(isOverdue))
        this.parts.fleet.remove(worker, 'cancelled task still present', true);
    }
  }

  private stopTasks(job: ActiveJob): void {
    const now = this.ctx.clock.now();
    this.parts.graph.remove(job);
    // Counted from when this process learned of it, not from our takeover.
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

  /** The replicas of a service run until it is cancelled: that is their lifetime. */
  private recordLifetime({ job, runningAt }: Task, now: MonotonicTime): void {
    if (job.spec.kind !== 'service' || runningAt === null) return;
    this.parts.lifetimes.recordRun(job.spec.jobClass, now - runningAt);
  }
}

/** Whether no start command has left: the task cannot be on the machine. */
function isStartUnsent(task: Task): boolean {
  return task.phase === 'committing' || (task.startSentIncarnation === null && !task.isInherited);
}
