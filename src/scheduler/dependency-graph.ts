/** The dependencies between unfinished jobs, and the priorities and deadlines that dependencies inherit. */
import type { JobId } from '../model/ids.js';
import type { Priority } from '../model/job.js';
import type { WallTime } from '../model/time.js';
import type { ActiveJob } from './active-job.js';

/**
 * Tracks the dependencies between unfinished jobs. A job can only name accepted jobs as dependencies, so the graph has
 * no cycles. The cost of a change is proportional to the number of affected edges.
 *
 * Each job passes its priority, and the latest time at which its dependencies may end, on to its dependencies (priority
 * inheritance), so that they are not served after work of lower priority.
 */
export class DependencyGraph {
  /** The direct dependents of each job, including jobs that are not in `jobs`. */
  private readonly dependents = new Map<JobId, Set<ActiveJob>>();

  constructor(
    private readonly jobs: { get(id: JobId): ActiveJob | undefined },
    /** Returns the estimated duration of a job from the start of its tasks, in milliseconds. */
    private readonly estimatedDurationMs: (job: ActiveJob) => number,
  ) {}

  /** Adds a job with its unmet dependencies. Other jobs may already depend on the added job. */
  add(job: ActiveJob): void {
    for (const id of job.dependencies.unmet) {
      const dependents = this.dependents.get(id);
      if (dependents) dependents.add(job);
      else this.dependents.set(id, new Set([job]));
    }
    this.tightenPriority(job);
  }

  /** Marks a job as durably done. Returns the dependents that have no other unmet dependency and can start. */
  complete(id: JobId): ActiveJob[] {
    const unblockedJobs: ActiveJob[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.dependencies.unmet.delete(id);
      if (!job.isBlocked) unblockedJobs.push(job);
    }
    this.dependents.delete(id);
    return unblockedJobs;
  }

  /** Returns all jobs that depend on the given job, directly or transitively; they are cancelled together with it. */
  dependentsOf(id: JobId): ActiveJob[] {
    const dependents = new Set<ActiveJob>();
    const pending: JobId[] = [id];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      for (const job of this.dependents.get(next) ?? []) {
        if (dependents.has(job)) continue;
        dependents.add(job);
        pending.push(job.spec.id);
      }
    }
    return [...dependents];
  }

  /** Removes the dependencies of a cancelled job, and recomputes what these had inherited from the job. */
  remove(job: ActiveJob): void {
    for (const id of job.dependencies.unmet) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
      const dependency = this.jobs.get(id);
      if (dependency && this.mayHaveInheritedFrom(job, dependency)) this.recomputePriority(dependency);
    }
    job.dependencies.unmet.clear();
  }

  /** Whether the dependency may have inherited its priority or its latest end from this dependent. */
  private mayHaveInheritedFrom(dependent: ActiveJob, dependency: ActiveJob): boolean {
    const latestEnd = this.latestEndOfDependencies(dependent);
    const inherited = dependency.inheritedPriority;
    return (
      dependent.inheritedPriority.priority >= inherited.priority ||
      (latestEnd !== null && latestEnd <= (inherited.latestEnd ?? 0))
    );
  }

  /** The time by which the dependencies of a job have to end for the job to meet its own latest end; null: no limit. */
  private latestEndOfDependencies(job: ActiveJob): WallTime | null {
    const { latestEnd } = job.inheritedPriority;
    return latestEnd === null ? null : ((latestEnd - this.estimatedDurationMs(job)) as WallTime);
  }

  /**
   * Merges the priorities and deadlines of all dependents into those that the job already has. Stricter values
   * propagate to the job's dependencies.
   */
  private tightenPriority(job: ActiveJob): void {
    const { priority, latestEnd } = job.inheritedPriority;
    this.inheritFromDependents(job, priority, latestEnd);
    for (const id of job.dependencies.unmet) {
      const dependency = this.jobs.get(id);
      if (dependency && this.tightensPriorityOf(job, dependency)) this.propagatePriority(job, dependency);
    }
  }

  /**
   * Recomputes the inherited priority and deadline of a job from its own and those of all its dependents, then those of
   * the job's dependencies.
   */
  private recomputePriority(job: ActiveJob): void {
    this.inheritFromDependents(job, job.spec.priority, job.ownDeadline);
    for (const id of job.dependencies.unmet) {
      const dependency = this.jobs.get(id);
      if (dependency) this.recomputePriority(dependency);
    }
  }

  private inheritFromDependents(job: ActiveJob, ownPriority: Priority, ownLatestEnd: WallTime | null): void {
    let priority = ownPriority;
    let latestEnd = ownLatestEnd;
    for (const dependent of this.dependents.get(job.spec.id) ?? []) {
      priority = Math.max(priority, dependent.inheritedPriority.priority);
      latestEnd = earlierDeadline(latestEnd, this.latestEndOfDependencies(dependent));
    }
    const previous = job.inheritedPriority;
    if (priority === previous.priority && latestEnd === previous.latestEnd) return;
    job.inheritPriority(priority, latestEnd);
  }

  private propagatePriority(dependent: ActiveJob, dependency: ActiveJob): void {
    const inherited = dependency.inheritedPriority;
    dependency.inheritPriority(
      Math.max(inherited.priority, dependent.inheritedPriority.priority),
      earlierDeadline(inherited.latestEnd, this.latestEndOfDependencies(dependent)),
    );
    for (const id of dependency.dependencies.unmet) {
      const next = this.jobs.get(id);
      if (next && this.tightensPriorityOf(dependency, next)) this.propagatePriority(dependency, next);
    }
  }

  /** Whether this dependent gives the dependency a higher priority or an earlier latest end. */
  private tightensPriorityOf(dependent: ActiveJob, dependency: ActiveJob): boolean {
    const inherited = dependency.inheritedPriority;
    if (dependent.inheritedPriority.priority > inherited.priority) return true;
    return (
      earlierDeadline(inherited.latestEnd, this.latestEndOfDependencies(dependent)) !== inherited.latestEnd
    );
  }
}

function earlierDeadline(left: WallTime | null, right: WallTime | null): WallTime | null {
  if (left === null || right === null) return left ?? right;
  return left < right ? left : right;
}
