import type { JobId } from '../model/ids.js';
import type { WallTime } from '../model/time.js';
import type { ActiveJob } from './active-job.js';

/**
 * Which unfinished jobs need which others. Only accepted jobs are named, so the graph has no cycles.
 * What a change costs follows the edges that it touches.
 */
export class DependencyGraph {
  /** Jobs that need this one directly, known or not. */
  private readonly dependents = new Map<JobId, Set<ActiveJob>>();

  constructor(
    private readonly open: { get(id: JobId): ActiveJob | undefined },
    /** How long a job will take once it may start. */
    private readonly runMs: (job: ActiveJob) => number,
  ) {}

  /** A job became known, with or without dependencies; others may have named it before. */
  add(job: ActiveJob): void {
    for (const id of job.dependencies.unmet) {
      const dependents = this.dependents.get(id);
      if (dependents) dependents.add(job);
      else this.dependents.set(id, new Set([job]));
    }
    this.updatePriority(job, true);
  }

  /** Done for good: the jobs that waited for nothing else any more. */
  complete(id: JobId): ActiveJob[] {
    const released: ActiveJob[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.dependencies.unmet.delete(id);
      if (!job.isBlocked) released.push(job);
    }
    this.dependents.delete(id);
    return released;
  }

  /** All jobs that need this one, directly or through others: with it they are cancelled. */
  dependentsOf(id: JobId): ActiveJob[] {
    const found = new Set<ActiveJob>();
    const ids: JobId[] = [id];
    for (let next = ids.pop(); next !== undefined; next = ids.pop()) {
      for (const job of this.dependents.get(next) ?? []) {
        if (found.has(job)) continue;
        found.add(job);
        ids.push(job.spec.id);
      }
    }
    return [...found];
  }

  /** It no longer needs anything: it was cancelled. */
  remove(job: ActiveJob): void {
    for (const id of job.dependencies.unmet) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
      const needed = this.open.get(id);
      if (needed && this.binds(job, needed)) this.updatePriority(needed, false);
    }
    job.dependencies.unmet.clear();
  }

  /** Whether the needed job has its priority or its latest end from this one. */
  private binds(job: ActiveJob, needed: ActiveJob): boolean {
    const end = this.endLeftBy(job);
    return (
      job.inheritedPriority.priority >= needed.inheritedPriority.priority ||
      (end !== null && end <= (needed.inheritedPriority.latestEnd ?? 0))
    );
  }

  /** What the jobs that it needs must keep to for this one to be in time. */
  private endLeftBy(job: ActiveJob): WallTime | null {
    const { latestEnd } = job.inheritedPriority;
    return latestEnd === null ? null : ((latestEnd - this.runMs(job)) as WallTime);
  }

  /** The priority and the latest end that follow from all that need it; changes go on to what it needs. */
  private updatePriority(job: ActiveJob, up: boolean): void {
    let { priority } = up ? job.inheritedPriority : job.spec;
    let latestEnd = up ? job.inheritedPriority.latestEnd : job.ownDeadline;
    for (const other of this.dependents.get(job.spec.id) ?? []) {
      priority = Math.max(priority, other.inheritedPriority.priority);
      latestEnd = earlier(latestEnd, this.endLeftBy(other));
    }
    const before = job.inheritedPriority;
    if (priority !== before.priority || latestEnd !== before.latestEnd)
      job.inheritPriority(priority, latestEnd);
    for (const id of job.dependencies.unmet) {
      const needed = this.open.get(id);
      if (!needed) continue;
      if (!up) this.updatePriority(needed, false);
      else if (this.tightens(job, needed)) this.raise(needed, job);
    }
  }

  private raise(needed: ActiveJob, by: ActiveJob): void {
    needed.inheritPriority(
      Math.max(needed.inheritedPriority.priority, by.inheritedPriority.priority),
      earlier(needed.inheritedPriority.latestEnd, this.endLeftBy(by)),
    );
    for (const id of needed.dependencies.unmet) {
      const next = this.open.get(id);
      if (next && this.tightens(needed, next)) this.raise(next, needed);
    }
  }

  private tightens(job: ActiveJob, needed: ActiveJob): boolean {
    if (job.inheritedPriority.priority > needed.inheritedPriority.priority) return true;
    return (
      earlier(needed.inheritedPriority.latestEnd, this.endLeftBy(job)) !== needed.inheritedPriority.latestEnd
    );
  }
}

function earlier(a: WallTime | null, b: WallTime | null): WallTime | null {
  if (a === null || b === null) return a ?? b;
  return a < b ? a : b;
}
