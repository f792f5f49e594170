/** The leader's in-memory store of all unfinished jobs. */
import type { JobId, TeamId } from '../model/ids.js';
import type { FinalState } from '../model/job.js';
import type { ActiveJob, JobListener } from './active-job.js';
import type { ProgressChunk } from './progress-chunk.js';
import type { Task } from './task.js';
import type { TeamUsage } from './team-usage.js';

/**
 * Bounds the number of ended jobs whose final state is kept, so that a late watch event does not reopen an ended job.
 */
const MAX_FINAL_STATE_COUNT = 20_000;

/** Holds the unfinished jobs, the jobs whose records can be closed, and the progress chunks that have to be written. */
export class JobStore implements JobListener {
  private readonly activeJobs = new Map<JobId, ActiveJob>();
  /** Final states of the jobs that ended in this leadership term, in the order of their ends. */
  private readonly finalStates = new Map<JobId, FinalState>();
  /** Progress chunks with changes that are not durable yet. */
  readonly dirtyChunks = new Set<ProgressChunk>();
  /** Jobs that are complete, or cancelled without a task on a machine, and whose records have not been closed yet. */
  readonly jobsToClose = new Set<ActiveJob>();
  /**
   * The version of the set of jobs that are neither blocked, cancelled nor complete, incremented at least whenever this
   * set changes. `DependencyTracker` increments the version when jobs are no longer blocked.
   */
  version = 0;

  /**
   * @param restoreAssignment Called when a released task counts as placed again, on the next machine on which an
   * earlier leader may have started the task.
   */
  constructor(private readonly restoreAssignment: (task: Task) => void = () => {}) {}

  get size(): number {
    return this.activeJobs.size;
  }

  get(id: JobId): ActiveJob | undefined {
    return this.activeJobs.get(id);
  }

  has(id: JobId): boolean {
    return this.activeJobs.has(id);
  }

  values(): Iterable<ActiveJob> {
    return this.activeJobs.values();
  }

  /** Adds an unfinished job; false: the job is in the store already, or has ended. */
  add(job: ActiveJob): boolean {
    const { id } = job.spec;
    if (this.activeJobs.has(id) || this.finalStates.has(id)) return false;
    this.activeJobs.set(id, job);
    job.listener = this;
    this.version++;
    for (const chunk of job.chunks.values()) if (chunk.isDirty) this.dirtyChunks.add(chunk);
    this.onJobChanged(job);
    return true;
  }

  /**
   * The final state of a job that ended in this leadership term; undefined: the job has not ended, or its end is no
   * longer kept.
   */
  finalStateOf(id: JobId): FinalState | undefined {
    return this.finalStates.get(id);
  }

  onJobChanged(job: ActiveJob): void {
    if (!job.isOver && !job.isCancelled) return;
    this.version++;
    if (job.isOver) this.jobsToClose.add(job);
  }

  onChunkDirty(chunk: ProgressChunk): void {
    this.dirtyChunks.add(chunk);
  }

  onChunkSuperseded(chunk: ProgressChunk): void {
    this.dirtyChunks.delete(chunk);
  }

  onPlacementRestored(task: Task): void {
    this.restoreAssignment(task);
  }

  /** Removes a job whose end is durable, and keeps the job's final state. */
  close(id: JobId): void {
    const job = this.activeJobs.get(id);
    if (job) {
      this.jobsToClose.delete(job);
      for (const chunk of job.chunks.values()) this.dirtyChunks.delete(chunk);
      job.listener = null;
    }
    this.version++;
    this.activeJobs.delete(id);
    this.recordFinalState(id, job?.isCancelled ? 'cancelled' : 'done');
  }

  private recordFinalState(id: JobId, state: FinalState): void {
    this.finalStates.set(id, state);
    if (this.finalStates.size <= MAX_FINAL_STATE_COUNT) return;
    const oldest = this.finalStates.keys().next().value;
    if (oldest !== undefined) this.finalStates.delete(oldest);
  }

  /** Returns the resources used by tasks that may be on machines, by team. */
  teamUsage(): Map<TeamId, TeamUsage> {
    const usageByTeam = new Map<TeamId, TeamUsage>();
    for (const job of this.activeJobs.values()) {
      if (job.assignedCount === 0) continue;
      const { team, cpus, gpus } = job.spec;
      const usage = usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
      usage.cpus += job.assignedCount * cpus;
      usage.gpus += job.assignedCount * gpus;
      usageByTeam.set(team, usage);
    }
    return usageByTeam;
  }
}
