/** Priority inheritance: the priorities and deadlines that jobs pass on to the jobs that they depend on. */
import TinyQueue from 'tinyqueue';
import type { JobId } from '../model/ids.js';
import type { WallTime } from '../model/time.js';
import type { ActiveJob } from './active-job.js';
import type { InheritedPriority } from './job-priority.js';

/** The graph along which jobs inherit. */
interface InheritanceGraph {
  readonly jobs: { get(id: JobId): ActiveJob | undefined };
  /** Returns the direct dependents of a job. */
  readonly dependentsOf: (id: JobId) => Iterable<ActiveJob>;
  /** Returns the estimated duration of a job from the start of its tasks, in milliseconds. */
  readonly estimatedDurationMs: (job: ActiveJob) => number;
}

/** A job whose inherited value may be outdated. */
interface PendingUpdate {
  readonly job: ActiveJob;
  /** What dependents that have become stricter pass on to the job; null: none has. */
  offered: InheritedPriority | null;
  /** Whether the value may have become less strict, so that it has to be merged anew from all dependents. */
  mustRecompute: boolean;
  /** Whether dependencies of the job may not have received its value yet. */
  hasNewEdges: boolean;
}

/**
 * Keeps the inherited value of each job equal to the strictest of its own value and the values that its direct
 * dependents pass on.
 *
 * A change is propagated in the reverse order of acceptance. A job is accepted after all its dependencies, so every
 * dependent of a job has its final value before the job is visited: one change visits each affected job once, and each
 * of its edges at most twice. An edge to a job that was not accepted earlier, which only a damaged record can contain,
 * passes nothing on; a cycle of such edges therefore ends.
 */
export class PriorityInheritance {
  /** The jobs to visit, the latest accepted one first. */
  private readonly queue = new TinyQueue<PendingUpdate>(
    [],
    (first, second) => second.job.revision - first.job.revision,
  );
  private readonly pending = new Map<ActiveJob, PendingUpdate>();
  /**
   * The estimated durations of the jobs with unmet dependencies. Estimates change while jobs run, but the value that a
   * job has passed on must be known when the job is removed.
   */
  private readonly durationsMs = new Map<ActiveJob, number>();
  private visits = 0;

  constructor(private readonly graph: InheritanceGraph) {}

  /** The number of visits of jobs and edges so far. */
  get visitCount(): number {
    return this.visits;
  }

  /** Merges the values of dependents into the added jobs, and passes the values of the jobs on. */
  addJobs(jobs: readonly ActiveJob[]): void {
    for (const job of jobs) {
      if (job.dependencies.unmet.size > 0 && !this.durationsMs.has(job))
        this.durationsMs.set(job, this.graph.estimatedDurationMs(job));
      const update = this.updateOf(job);
      update.mustRecompute = true;
      update.hasNewEdges = true;
    }
    this.propagate();
  }

  /**
   * Withdraws what a job has passed on to its unmet dependencies, before these are cleared. Call `propagate` after the
   * last job of a change.
   */
  withdraw(job: ActiveJob): void {
    this.passOn(job, job.inheritedPriority, null);
    this.forgetDuration(job);
  }

  /** Called when a job has no unmet dependency any more, so that it passes nothing on. */
  forgetDuration(job: ActiveJob): void {
    this.durationsMs.delete(job);
  }

  private updateOf(job: ActiveJob): PendingUpdate {
    const existing = this.pending.get(job);
    if (existing) return existing;
    const update: PendingUpdate = { job, offered: null, mustRecompute: false, hasNewEdges: false };
    this.pending.set(job, update);
    this.queue.push(update);
    return update;
  }

  /** Updates all jobs whose inherited values may be outdated. */
  propagate(): void {
    for (let update = this.queue.pop(); update !== undefined; update = this.queue.pop()) {
      this.pending.delete(update.job);
      this.apply(update);
    }
  }

  private apply({ job, offered, mustRecompute, hasNewEdges }: PendingUpdate): void {
    this.visits++;
    const previous = job.inheritedPriority;
    const value = mustRecompute ? this.mergeDependents(job) : stricter(previous, offered);
    const isChanged = value.priority !== previous.priority || value.latestEnd !== previous.latestEnd;
    if (isChanged) job.inheritPriority(value.priority, value.latestEnd);
    if (isChanged || hasNewEdges) this.passOn(job, previous, value);
  }

  private mergeDependents(job: ActiveJob): InheritedPriority {
    let value: InheritedPriority = { priority: job.spec.priority, latestEnd: job.ownDeadline };
    for (const dependent of this.graph.dependentsOf(job.spec.id)) {
      this.visits++;
      if (mayInherit(job, dependent))
        value = stricter(value, this.passedOnBy(dependent, dependent.inheritedPriority));
    }
    return value;
  }

  /** Notifies the dependencies of a job whose value has changed; `value` is null if the job is removed. */
  private passOn(job: ActiveJob, previous: InheritedPriority, value: InheritedPriority | null): void {
    if (job.dependencies.unmet.size === 0) return;
    const before = this.passedOnBy(job, previous);
    const after = value && this.passedOnBy(job, value);
    for (const id of job.dependencies.unmet) {
      this.visits++;
      const dependency = this.graph.jobs.get(id);
      if (!dependency || !mayInherit(dependency, job)) continue;
      if (mayLoosen(dependency.inheritedPriority, before, after))
        this.updateOf(dependency).mustRecompute = true;
      if (after && isStricter(after, dependency.inheritedPriority)) {
        const update = this.updateOf(dependency);
        update.offered = stricter(after, update.offered);
      }
    }
  }

  /** Returns what a job with the given value passes on to its dependencies. */
  private passedOnBy(job: ActiveJob, { priority, latestEnd }: InheritedPriority): InheritedPriority {
    if (latestEnd === null) return { priority, latestEnd };
    const durationMs = this.durationsMs.get(job) ?? 0;
    return { priority, latestEnd: (latestEnd - durationMs) as WallTime };
  }
}

/** Whether a job inherits from a dependent: the dependent was accepted later. */
function mayInherit(job: ActiveJob, dependent: ActiveJob): boolean {
  return job.revision < dependent.revision;
}

/** Merges two values: the higher priority and the earlier latest end. */
function stricter(left: InheritedPriority, right: InheritedPriority | null): InheritedPriority {
  if (right === null) return left;
  return {
    priority: Math.max(left.priority, right.priority),
    latestEnd: earlierDeadline(left.latestEnd, right.latestEnd),
  };
}

/** Whether `value` has a higher priority or an earlier latest end than `other`. */
function isStricter(value: InheritedPriority, other: InheritedPriority): boolean {
  return value.priority > other.priority || isEarlier(value.latestEnd, other.latestEnd);
}

/**
 * Whether a job's value may have rested on what a dependent passed on `before`, and the dependent passes on less now;
 * `after` is null if the dependent passes nothing on any more.
 */
function mayLoosen(
  value: InheritedPriority,
  before: InheritedPriority,
  after: InheritedPriority | null,
): boolean {
  const lowersPriority = after === null || after.priority < before.priority;
  if (lowersPriority && before.priority >= value.priority) return true;
  const postponesEnd = after === null || isEarlier(before.latestEnd, after.latestEnd);
  return postponesEnd && before.latestEnd !== null && !isEarlier(value.latestEnd, before.latestEnd);
}

/** Whether a deadline is earlier than another one; null stands for no deadline. */
function isEarlier(left: WallTime | null, right: WallTime | null): boolean {
  if (left === null) return false;
  return right === null || left < right;
}

function earlierDeadline(left: WallTime | null, right: WallTime | null): WallTime | null {
  return isEarlier(right, left) ? right : left;
}
