/** Stops the work of cancelled jobs, and of everything that needs them. */
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

/** The part of a cancellation's limit after which a host that keeps its task is fenced. */
const FENCE_AFTER = 0.4;

/** What a cancelled job's tasks are stopped with. */
interface StopParts {
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
    private readonly parts: StopParts,
  ) {}

  /** The job's cancellation is confirmed; the jobs that need it go with it: nothing of them can have started. */
  cancel(id: JobId): void {
    this.ctx.cancellations.learn([{ id, age: ms(0) }]);
    const dependents = this.parts.graph.dependentsOf(id);
    const job = this.ctx.jobs.get(id);
    for (const dependent of dependents) if (!dependent.isCancelled) this.cancelDependent(dependent);
    if (job && !job.isCancelled) this.stop(job);
  }

  /** Cancelled with a job that it needs; its own record is still to say so. */
  cancelDependent(job: ActiveJob): void {
    job.isCancelledByDependency = true;
    this.stop(job);
  }

  /**
   * A host that keeps a cancelled task is fenced well before the cancellation's limit, sure or not: a
   * machine that hangs goes on with the task otherwise, and while the state service is out nobody is sure.
   */
  fenceOverdue(now: MonotonicTime): void {
    const limit = this.ctx.settings.cancellationLimit * FENCE_AFTER;
    const overdue = ({ pendingStop }: Task): boolean =>
      pendingStop?.reason === 'cancelled' && since(now, pendingStop.since) > limit;
    for (const worker of this.ctx.workers.values()) {
      if ([...worker.tasks].some(overdue)) this.parts.fleet.remove(worker, 'cancelled task not gone', true);
    }
  }

  private stop(job: ActiveJob): void {
    const now = this.ctx.clock.now();
    this.parts.graph.remove(job);
    // Counted from when it was first heard of here, not from our takeover.
    const at = this.ctx.cancellations.learnedAt(job.spec.id) ?? now;
    job.isCancelled = true;
    const wake = new Set<Worker>();
    for (const task of [...job.assignedTasks()]) {
      const worker = task.machine === null ? undefined : this.ctx.workers.get(task.machine);
      if (neverSent(task)) {
        worker?.unassign(task);
        job.releaseTask(task, now);
        continue;
      }
      this.learnLifetime(task, now);
      task.pendingStop = { graceS: 0, reason: 'cancelled', since: at };
      if (worker) wake.add(worker);
    }
    this.ctx.jobs.onJobChanged(job);
    for (const worker of wake) this.parts.dispatcher.dispatch(worker);
    this.parts.committer.schedule();
    this.ctx.requestDecision();
  }

  /** A service's replicas run until it is cancelled. */
  private learnLifetime({ job, runningAt }: Task, now: MonotonicTime): void {
    if (job.spec.kind !== 'service' || runningAt === null) return;
    this.parts.lifetimes.recordRun(job.spec.jobClass, now - runningAt);
  }
}

/** No order has left: the task cannot be on the machine. */
function neverSent(task: Task): boolean {
  return task.phase === 'committing' || (task.startSentIncarnation === null && !task.isInherited);
}
