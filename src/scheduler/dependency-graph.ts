import type { JobId } from '../model/ids.js';
import type { WallTime } from '../model/time.js';
import type { OpenJob } from './active-job.js';

/**
 * Which unfinished jobs need which others. Only accepted jobs are named, so the graph has no cycles.
 * What a change costs follows the edges that it touches.
 */
export class DependencyGraph {
  /** Jobs that need this one directly, known or not. */
  private readonly dependents = new Map<JobId, Set<OpenJob>>();

  constructor(
    private readonly open: { get(id: JobId): OpenJob | undefined },
    /** How long a job will take once it may start. */
    private readonly runMs: (job: OpenJob) => number,
  ) {}

  /** A job became known, with or without dependencies; others may have named it before. */
  join(job: OpenJob): void {
    for (const id of job.waitsFor) {
      const dependents = this.dependents.get(id);
      if (dependents) dependents.add(job);
      else this.dependents.set(id, new Set([job]));
    }
    this.weigh(job, true);
  }

  /** Done for good: the jobs that waited for nothing else any more. */
  done(id: JobId): OpenJob[] {
    const released: OpenJob[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.waitsFor.delete(id);
      if (!job.blocked) released.push(job);
    }
    this.dependents.delete(id);
    return released;
  }

  /** All jobs that need this one, directly or through others: with it they are cancelled. */
  below(id: JobId): OpenJob[] {
    const found = new Set<OpenJob>();
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
  leave(job: OpenJob): void {
    for (const id of job.waitsFor) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
      const needed = this.open.get(id);
      if (needed && this.binds(job, needed)) this.weigh(needed, false);
    }
    job.waitsFor.clear();
  }

  /** Whether the needed job has its priority or its latest end from this one. */
  private binds(job: OpenJob, needed: OpenJob): boolean {
    const end = this.endLeftBy(job);
    return (
      job.lifted.priority >= needed.lifted.priority || (end !== null && end <= (needed.lifted.latestEnd ?? 0))
    );
  }

  /** What the jobs that it needs must keep to for this one to be in time. */
  private endLeftBy(job: OpenJob): WallTime | null {
    const { latestEnd } = job.lifted;
    return latestEnd === null ? null : ((latestEnd - this.runMs(job)) as WallTime);
  }

  /** The priority and the latest end that follow from all that need it; changes go on to what it needs. */
  private weigh(job: OpenJob, up: boolean): void {
    let { priority } = up ? job.lifted : job.spec;
    let latestEnd = up ? job.lifted.latestEnd : job.ownEnd;
    for (const other of this.dependents.get(job.spec.id) ?? []) {
      priority = Math.max(priority, other.lifted.priority);
      latestEnd = earlier(latestEnd, this.endLeftBy(other));
    }
    const before = job.lifted;
    if (priority !== before.priority || latestEnd !== before.latestEnd) job.lift(priority, latestEnd);
    for (const id of job.waitsFor) {
      const needed = this.open.get(id);
      if (!needed) continue;
      if (!up) this.weigh(needed, false);
      else if (this.tightens(job, needed)) this.raise(needed, job);
    }
  }

  private raise(needed: OpenJob, by: OpenJob): void {
    needed.lift(
      Math.max(needed.lifted.priority, by.lifted.priority),
      earlier(needed.lifted.latestEnd, this.endLeftBy(by)),
    );
    for (const id of needed.waitsFor) {
      const next = this.open.get(id);
      if (next && this.tightens(needed, next)) this.raise(next, needed);
    }
  }

  private tightens(job: OpenJob, needed: OpenJob): boolean {
    if (job.lifted.priority > needed.lifted.priority) return true;
    return earlier(needed.lifted.latestEnd, this.endLeftBy(job)) !== needed.lifted.latestEnd;
  }
}

function earlier(a: WallTime | null, b: WallTime | null): WallTime | null {
  if (a === null || b === null) return a ?? b;
  return a < b ? a : b;
}
