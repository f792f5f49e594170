/** The dependencies between unfinished jobs, and the priorities and deadlines that dependencies inherit. */
import type { JobId } from '../model/ids.js';
import type { ActiveJob } from './active-job.js';
import { PriorityInheritance } from './priority-inheritance.js';

/**
 * Tracks the dependencies between unfinished jobs. A job can only name accepted jobs as dependencies, so the graph has
 * no cycles. No method is recursive, and each visits a job and each of its edges a bounded number of times, whatever
 * the number of paths: `visitCount` counts these visits.
 *
 * Each job passes its priority, and the latest time at which its dependencies may end, on to its dependencies
 * (`PriorityInheritance`), so that they are not served after work of lower priority.
 */
export class DependencyGraph {
  /** The direct dependents of each job, including jobs that are not in `jobs`. */
  private readonly dependents = new Map<JobId, Set<ActiveJob>>();
  private readonly inheritance: PriorityInheritance;
  private edgeVisitCount = 0;

  constructor(
    jobs: { get(id: JobId): ActiveJob | undefined },
    /** Returns the estimated duration of a job from the start of its tasks, in milliseconds. */
    estimatedDurationMs: (job: ActiveJob) => number,
  ) {
    const dependentsOf = (id: JobId): Iterable<ActiveJob> => this.dependents.get(id) ?? [];
    this.inheritance = new PriorityInheritance({ jobs, dependentsOf, estimatedDurationMs });
  }

  /** The number of visits of jobs and edges since the graph was created. */
  get visitCount(): number {
    return this.edgeVisitCount + this.inheritance.visitCount;
  }

  /**
   * Adds jobs with their unmet dependencies, or the dependencies of jobs that were added before. Other jobs may already
   * depend on the added jobs.
   */
  add(jobs: readonly ActiveJob[]): void {
    for (const job of jobs) {
      for (const id of job.dependencies.unmet) this.addEdge(job, id);
    }
    this.inheritance.addJobs(jobs);
  }

  private addEdge(job: ActiveJob, dependency: JobId): void {
    this.edgeVisitCount++;
    const dependents = this.dependents.get(dependency);
    if (dependents) dependents.add(job);
    else this.dependents.set(dependency, new Set([job]));
  }

  /** Marks a job as durably done. Returns the dependents that have no other unmet dependency and can start. */
  complete(id: JobId): ActiveJob[] {
    const unblockedJobs: ActiveJob[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      this.edgeVisitCount++;
      job.dependencies.unmet.delete(id);
      if (job.dependencies.unmet.size === 0) this.inheritance.forgetDuration(job);
      if (!job.isBlocked) unblockedJobs.push(job);
    }
    this.dependents.delete(id);
    return unblockedJobs;
  }

  /** Returns all jobs that depend on one of the given jobs, directly or transitively; they are cancelled together. */
  dependentsOf(ids: readonly JobId[]): ActiveJob[] {
    const dependents = new Set<ActiveJob>();
    const pending = [...ids];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
      for (const job of this.dependents.get(next) ?? []) {
        this.edgeVisitCount++;
        if (dependents.has(job)) continue;
        dependents.add(job);
        pending.push(job.spec.id);
      }
    }
    return [...dependents];
  }

  /** Removes the dependencies of cancelled jobs, and recomputes what these had inherited from the jobs. */
  remove(jobs: readonly ActiveJob[]): void {
    for (const job of jobs) {
      for (const id of job.dependencies.unmet) this.removeEdge(job, id);
      this.inheritance.withdraw(job);
      job.dependencies.unmet.clear();
    }
    this.inheritance.propagate();
  }

  private removeEdge(job: ActiveJob, dependency: JobId): void {
    this.edgeVisitCount++;
    const dependents = this.dependents.get(dependency);
    dependents?.delete(job);
    if (dependents?.size === 0) this.dependents.delete(dependency);
  }
}
