/** All unfinished jobs, as the leader knows them. */
import type { JobId, TeamId } from '../model/ids.js';
import type { FinalState } from '../model/job.js';
import type { Chunk } from './chunk.js';
import type { OpenJob } from './active-job.js';

/** Ends that are remembered: an old event must not open their jobs again. */
const MOST_ENDED = 20_000;

/** What a team's tasks take that may be on machines. */
export interface TeamUse {
  cpus: number;
  gpus: number;
}

/** Tells which of them have changes to be written, and which are over. */
export class JobStore {
  private readonly open = new Map<JobId, OpenJob>();
  /** Jobs that ended while we led: an old event must not open them again. */
  private readonly ended = new Map<JobId, FinalState>();
  /** Chunks with changes that are not durable yet. */
  readonly dirty = new Set<Chunk>();
  /** Raised whenever a job joins or leaves what is unfinished. */
  version = 0;
  /** Jobs whose records wait to be closed. */
  readonly over = new Set<OpenJob>();

  get size(): number {
    return this.open.size;
  }

  get(id: JobId): OpenJob | undefined {
    return this.open.get(id);
  }

  has(id: JobId): boolean {
    return this.open.has(id);
  }

  values(): Iterable<OpenJob> {
    return this.open.values();
  }

  /** False: it is known already, or over. */
  add(job: OpenJob): boolean {
    if (this.open.has(job.spec.id) || this.ended.has(job.spec.id)) return false;
    this.open.set(job.spec.id, job);
    job.store = this;
    this.version++;
    for (const chunk of job.chunks.values()) if (chunk.dirty) this.dirty.add(chunk);
    this.changed(job);
    return true;
  }

  /** How a job ended while we led. */
  endOf(id: JobId): FinalState | undefined {
    return this.ended.get(id);
  }

  changed(job: OpenJob): void {
    if (!job.over && !job.cancelled) return;
    this.version++;
    if (job.over) this.over.add(job);
  }

  end(id: JobId): void {
    const job = this.open.get(id);
    if (job) {
      this.over.delete(job);
      for (const chunk of job.chunks.values()) this.dirty.delete(chunk);
      job.store = null;
    }
    this.version++;
    this.open.delete(id);
    this.ended.set(id, job?.cancelled ? 'cancelled' : 'done');
    if (this.ended.size > MOST_ENDED) {
      const oldest = this.ended.keys().next().value;
      if (oldest !== undefined) this.ended.delete(oldest);
    }
  }

  teamUse(): Map<TeamId, TeamUse> {
    const use = new Map<TeamId, TeamUse>();
    for (const job of this.open.values()) {
      if (job.heldCount === 0) continue;
      const team = use.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      team.cpus += job.heldCount * job.spec.cpus;
      team.gpus += job.heldCount * job.spec.gpus;
      use.set(job.spec.team, team);
    }
    return use;
  }
}
