/** Stops the work of cancelled jobs, and of everything that needs them. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { JobId } from '../model/ids.js';
import { ms, type Steady, since } from '../model/time.js';
import type { DependencyGraph } from '../scheduler/dependency-graph.js';
import type { OpenJob } from '../scheduler/active-job.js';
import type { Task } from '../scheduler/task.js';
import type { Committer } from './committer.js';
import type { Dispatcher } from '../workers/command-dispatcher.js';
import type { Host } from '../workers/state/worker.js';
import type { LeaderContext } from '../core/context.js';

/** The part of a cancellation's limit after which a host that keeps its task is fenced. */
const FENCE_AFTER = 0.4;

/** What a cancelled job's tasks are stopped with. */
interface StopParts {
  readonly graph: DependencyGraph;
  readonly lifetimes: Lifetimes;
  readonly dispatcher: Dispatcher;
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
    const dependents = this.parts.graph.below(id);
    const job = this.ctx.jobs.get(id);
    for (const dependent of dependents) if (!dependent.cancelled) this.cancelDependent(dependent);
    if (job && !job.cancelled) this.stop(job);
  }

  /** Cancelled with a job that it needs; its own record is still to say so. */
  cancelDependent(job: OpenJob): void {
    job.doomed = true;
    this.stop(job);
  }

  /**
   * A host that keeps a cancelled task is fenced well before the cancellation's limit, sure or not: a
   * machine that hangs goes on with the task otherwise, and while the state service is out nobody is sure.
   */
  fenceOverdue(now: Steady): void {
    const limit = this.ctx.settings.cancelWithin * FENCE_AFTER;
    const overdue = ({ kill }: Task): boolean => kill?.why === 'cancelled' && since(now, kill.at) > limit;
    for (const host of this.ctx.hosts.values()) {
      if ([...host.tasks].some(overdue)) this.parts.fleet.remove(host, 'cancelled task not gone', true);
    }
  }

  private stop(job: OpenJob): void {
    const now = this.ctx.clock.now();
    this.parts.graph.leave(job);
    // Counted from when it was first heard of here, not from our takeover.
    const at = this.ctx.cancellations.at(job.spec.id) ?? now;
    job.cancelled = true;
    const wake = new Set<Host>();
    for (const task of [...job.held()]) {
      const host = task.host === null ? undefined : this.ctx.hosts.get(task.host);
      if (neverSent(task)) {
        host?.drop(task);
        job.release(task, now);
        continue;
      }
      this.learnLifetime(task, now);
      task.kill = { graceS: 0, why: 'cancelled', at };
      if (host) wake.add(host);
    }
    this.ctx.jobs.changed(job);
    for (const host of wake) this.parts.dispatcher.wake(host);
    this.parts.committer.schedule();
    this.ctx.requestDecision();
  }

  /** A service's replicas run until it is cancelled. */
  private learnLifetime({ job, runningAt }: Task, now: Steady): void {
    if (job.spec.kind !== 'service' || runningAt === null) return;
    this.parts.lifetimes.add(job.spec.jobClass, now - runningAt);
  }
}

/** No order has left: the task cannot be on the machine. */
function neverSent(task: Task): boolean {
  return task.phase === 'deciding' || (task.sentSession === null && !task.inherited);
}
