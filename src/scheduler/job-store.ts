/** All unfinished jobs, as the leader knows them. */
import type { JobId, TeamId } from '../model/ids.js';
import type { FinalState } from '../model/job.js';
import type { ProgressChunk } from './progress-chunk.js';
import type { ActiveJob } from './active-job.js';

/** Ends that are remembered: an old event must not open their jobs again. */
const MOST_ENDED = 20_000;

/** What a team's tasks take that may be on machines. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** Tells which of them have changes to be written, and which are over. */
export class JobStore {
  private readonly open = new Map<JobId, ActiveJob>();
  /** Jobs that ended while we led: an old event must not open them again. */
  private readonly closed = new Map<JobId, FinalState>();
  /** Chunks with changes that are not durable yet. */
  readonly dirtyChunks = new Set<ProgressChunk>();
  /** Raised whenever a job joins or leaves what is unfinished. */
  version = 0;
  /** Jobs whose records wait to be closed. */
  readonly jobsToClose = new Set<ActiveJob>();

  get size(): number {
    return this.open.size;
  }

  get(id: JobId): ActiveJob | undefined {
    return this.open.get(id);
  }

  has(id: JobId): boolean {
    return this.open.has(id);
  }

  values(): Iterable<ActiveJob> {
    return this.open.values();
  }

  /** False: it is known already, or over. */
  add(job: ActiveJob): boolean {
    if (this.open.has(job.spec.id) || this.closed.has(job.spec.id)) return false;
    this.open.set(job.spec.id, job);
    job.store = this;
    this.version++;
    for (const chunk of job.chunks.values()) if (chunk.isDirty) this.dirtyChunks.add(chunk);
    this.onJobChanged(job);
    return true;
  }

  /** How a job ended while we led. */
  finalStateOf(id: JobId): FinalState | undefined {
    return this.closed.get(id);
  }

  onJobChanged(job: ActiveJob): void {
    if (!job.isOver && !job.isCancelled) return;
    this.version++;
    if (job.isOver) this.jobsToClose.add(job);
  }

  close(id: JobId): void {
    const job = this.open.get(id);
    if (job) {
      this.jobsToClose.delete(job);
      for (const chunk of job.chunks.values()) this.dirtyChunks.delete(chunk);
      job.store = null;
    }
    this.version++;
    this.open.delete(id);
    this.closed.set(id, job?.isCancelled ? 'cancelled' : 'done');
    if (this.closed.size > MOST_ENDED) {
      const oldest = this.closed.keys().next().value;
      if (oldest !== undefined) this.closed.delete(oldest);
    }
  }

  teamUsage(): Map<TeamId, TeamUsage> {
    const use = new Map<TeamId, TeamUsage>();
    for (const job of this.open.values()) {
      if (job.assignedCount === 0) continue;
      const team = use.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      team.cpus += job.assignedCount * job.spec.cpus;
      team.gpus += job.assignedCount * job.spec.gpus;
      use.set(job.spec.team, team);
    }
    return use;
  }
}
