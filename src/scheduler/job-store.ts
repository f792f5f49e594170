/** All unfinished jobs in the leader's memory. */
import type { JobId, TeamId } from '../model/ids.js';
import type { FinalState } from '../model/job.js';
import type { ActiveJob, JobListener } from './active-job.js';
import type { ProgressChunk } from './progress-chunk.js';
import type { Task } from './task.js';
import type { TeamUsage } from './team-usage.js';

/** Ended jobs that are remembered: a late watch event must not open them again. */
const MAX_ENDED_JOBS = 20_000;

/** Lists the unfinished jobs, those of them that are over, and the chunks of progress that have to be written. */
export class JobStore implements JobListener {
  private readonly activeJobs = new Map<JobId, ActiveJob>();
  /** Jobs that ended in this term, in the order of their ends. */
  private readonly endedJobs = new Map<JobId, FinalState>();
  /** Chunks with changes that are not durable yet. */
  readonly dirtyChunks = new Set<ProgressChunk>();
  /** Jobs that are over and whose records are still to be closed. */
  readonly jobsToClose = new Set<ActiveJob>();
  /** Raised whenever the set of jobs that are neither cancelled nor complete changes. */
  version = 0;

  /** `holdOnMachine` is called when a task is held on another machine than before, where it may be running as well. */
  constructor(private readonly holdOnMachine: (task: Task) => void = () => {}) {}

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

  /** Adds an unfinished job; false: it is in the store already, or has ended. */
  add(job: ActiveJob): boolean {
    const { id } = job.spec;
    if (this.activeJobs.has(id) || this.endedJobs.has(id)) return false;
    this.activeJobs.set(id, job);
    job.listener = this;
    this.version++;
    for (const chunk of job.chunks.values()) if (chunk.isDirty) this.dirtyChunks.add(chunk);
    this.onJobChanged(job);
    return true;
  }

  /** How a job ended in this term; undefined: it did not, or is not remembered any more. */
  finalStateOf(id: JobId): FinalState | undefined {
    return this.endedJobs.get(id);
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

  onHeldElsewhere(task: Task): void {
    this.holdOnMachine(task);
  }

  /** Removes a job whose end is durable, and remembers the end. */
  close(id: JobId): void {
    const job = this.activeJobs.get(id);
    if (job) {
      this.jobsToClose.delete(job);
      for (const chunk of job.chunks.values()) this.dirtyChunks.delete(chunk);
      job.listener = null;
    }
    this.version++;
    this.activeJobs.delete(id);
    this.rememberEnd(id, job?.isCancelled ? 'cancelled' : 'done');
  }

  private rememberEnd(id: JobId, state: FinalState): void {
    this.endedJobs.set(id, state);
    if (this.endedJobs.size <= MAX_ENDED_JOBS) return;
    const oldest = this.endedJobs.keys().next().value;
    if (oldest !== undefined) this.endedJobs.delete(oldest);
  }

  /** What the tasks that may be on machines use, by team. */
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
