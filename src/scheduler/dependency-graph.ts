/** Which unfinished jobs depend on which others, and what they inherit from them. */
import type { JobId } from '../model/ids.js';
import type { Priority } from '../model/job.js';
import type { WallTime } from '../model/time.js';
import type { ActiveJob } from './active-job.js';

/**
 * The dependencies between unfinished jobs. Only accepted jobs can be named as dependencies, so the graph has no
 * cycles. The cost of a change is that of the edges that it affects.
 *
 * Along the edges a job passes on its priority and the latest time at which its dependencies may end (priority
 * inheritance), so that they are not served behind work of lower rank.
 */
export class DependencyGraph {
  /** The direct dependents of each job, whether or not the job itself is known. */
  private readonly dependents = new Map<JobId, Set<ActiveJob>>();

  constructor(
    private readonly jobs: { get(id: JobId): ActiveJob | undefined },
    /** How long a job is estimated to take once it may start. */
    private readonly estimatedDurationMs: (job: ActiveJob) => number,
  ) {}

  /** Adds a job with its unmet dependencies; others may have named it before. */
  add(job: ActiveJob): void {
    for (const id of job.dependencies.unmet) {
      const dependents = this.dependents.get(id);
      if (dependents) dependents.add(job);
      else this.dependents.set(id, new Set([job]));
    }
    this.tightenPriority(job);
  }

  /** A job is done for good. Returns the jobs that are not blocked any more. */
  complete(id: JobId): ActiveJob[] {
    const released: ActiveJob[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.dependencies.unmet.delete(id);
      if (!job.isBlocked) released.push(job);
    }
    this.dependents.delete(id);
    return released;
  }

  /** All jobs that depend on this one, directly or through others: they are cancelled together with it. */
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

  /** Removes the dependencies of a job that was cancelled. */
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

  /** Whether the dependency may have its priority or its latest end from this dependent. */
  private mayHaveInheritedFrom(dependent: ActiveJob, dependency: ActiveJob): boolean {
    const latestEnd = this.latestEndOfDependencies(dependent);
    const inherited = dependency.inheritedPriority;
    return (
      dependent.inheritedPriority.priority >= inherited.priority ||
      (latestEnd !== null && latestEnd <= (inherited.latestEnd ?? 0))
    );
  }

  /** When the jobs that this one depends on have to end for this one to be in time. */
  private latestEndOfDependencies(job: ActiveJob): WallTime | null {
    const { latestEnd } = job.inheritedPriority;
    return latestEnd === null ? null : ((latestEnd - this.estimatedDurationMs(job)) as WallTime);
  }

  /** Lets the job inherit from all its dependents, besides what it has; stricter values go on to its dependencies. */
  private tightenPriority(job: ActiveJob): void {
    const { priority, latestEnd } = job.inheritedPriority;
    this.inheritFromDependents(job, priority, latestEnd);
    for (const id of job.dependencies.unmet) {
      const dependency = this.jobs.get(id);
      if (dependency && this.isStricter(job, dependency)) this.passOn(job, dependency);
    }
  }

  /** Derives the job's priority anew from its own and that of all its dependents, and goes on to its dependencies. */
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
      latestEnd = earlier(latestEnd, this.latestEndOfDependencies(dependent));
    }
    const previous = job.inheritedPriority;
    if (priority === previous.priority && latestEnd === previous.latestEnd) return;
    job.inheritPriority(priority, latestEnd);
  }

  private passOn(dependent: ActiveJob, dependency: ActiveJob): void {
    const inherited = dependency.inheritedPriority;
    dependency.inheritPriority(
      Math.max(inherited.priority, dependent.inheritedPriority.priority),
      earlier(inherited.latestEnd, this.latestEndOfDependencies(dependent)),
    );
    for (const id of dependency.dependencies.unmet) {
      const next = this.jobs.get(id);
      if (next && this.isStricter(dependency, next)) this.passOn(dependency, next);
    }
  }

  /** Whether the dependency has to inherit a higher priority or an earlier end from this dependent. */
  private isStricter(dependent: ActiveJob, dependency: ActiveJob): boolean {
    const inherited = dependency.inheritedPriority;
    if (dependent.inheritedPriority.priority > inherited.priority) return true;
    return earlier(inherited.latestEnd, this.latestEndOfDependencies(dependent)) !== inherited.latestEnd;
  }
}

function earlier(a: WallTime | null, b: WallTime | null): WallTime | null {
  if (a === null || b === null) return a ?? b;
  return a < b ? a : b;
}
