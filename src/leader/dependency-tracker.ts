/** Holds jobs back until every job that they need is durably done. */
import type { Mutex } from 'async-mutex';
import { errorMessage } from '../log/logger.js';
import type { JobId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { DependencyGraph } from '../scheduler/dependency-graph.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { LeaderContext } from '../core/context.js';
import type { JobCanceller } from './job-canceller.js';
import { readDependencies } from './record-loader.js';

/** A further record of a job that could not be read is asked for again after this. */
const READ_AGAIN_MS = 300;
/** The same for a dependency's record. */
const LOOK_AGAIN_MS = 100;

/** Is told of each job that has just become able to start. */
export interface DemandListener {
  recordDemand(job: ActiveJob): void;
}

/**
 * What a leader knows of dependencies. A job is blocked while one of them is not known to be done; `done` is
 * final, so once seen it needs no condition. All of it follows from the records alone.
 */
export class DependencyTracker {
  /** Jobs that others need and that we don't know: over, or not seen yet. */
  private readonly unknown = new Set<JobId>();
  private lookingUp = false;
  private started = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly graph: DependencyGraph,
    private readonly canceller: JobCanceller,
    private readonly demand: DemandListener,
    private readonly lock: Mutex,
  ) {}

  /** Records have been read: what is still unknown is asked for. */
  start(): void {
    this.started = true;
    void this.lookUp();
  }

  /** A job became known: what it has to wait for, and what others that wait for it ask of it. */
  add(job: ActiveJob): void {
    const { id, dependencies, dependencyRecordCount } = job.spec;
    // Once begun, all that it needs was done: that is final.
    if (job.tasks.size === 0) {
      for (const needed of dependencies) this.need(job, needed);
      if (dependencyRecordCount > 0) {
        job.dependencies.hasUnreadRecords = true;
        void this.readRest(id, dependencyRecordCount);
      }
    }
    this.graph.add(job);
    this.followCancelled(job);
    void this.lookUp();
  }

  /** Durably done: what waited for nothing else may start. */
  done(id: JobId): void {
    this.release(this.graph.complete(id));
  }

  private need(job: ActiveJob, id: JobId): void {
    const { jobs } = this.ctx;
    if (jobs.finalStateOf(id) === 'done') return;
    job.dependencies.unmet.add(id);
    if (!jobs.has(id)) this.unknown.add(id);
  }

  /**
   * A job that it needs was cancelled before this one became known: the cancellation found no dependent to
   * take along. A node whose view is a moment old accepts such a job as one that waits.
   */
  private followCancelled(job: ActiveJob): void {
    if (job.isCancelled) return;
    for (const id of job.dependencies.unmet) {
      if (!this.isCancelled(id)) continue;
      this.canceller.cancelDependent(job);
      return;
    }
  }

  private isCancelled(id: JobId): boolean {
    const { jobs, cancellations } = this.ctx;
    return (
      jobs.finalStateOf(id) === 'cancelled' || cancellations.has(id) || jobs.get(id)?.isCancelled === true
    );
  }

  private async readRest(id: JobId, records: number): Promise<void> {
    while (!this.ctx.isEnded()) {
      try {
        const rest = await readDependencies(this.ctx, id, records);
        await this.lock.runExclusive(() => this.addRest(id, rest));
        await this.lookUp();
        return;
      } catch (error) {
        this.ctx.log.debug({ job: id, error: errorMessage(error) }, 'dependencies not read yet');
        await sleep(this.ctx.clock, READ_AGAIN_MS);
      }
    }
  }

  private addRest(id: JobId, rest: readonly JobId[]): void {
    const job = this.ctx.jobs.get(id);
    if (!job || job.isCancelled) return;
    for (const needed of rest) this.need(job, needed);
    job.dependencies.hasUnreadRecords = false;
    this.graph.add(job);
    this.followCancelled(job);
    if (!job.isBlocked && !job.isCancelled) this.release([job]);
  }

  /** Asks the records about jobs that others need and that are over, or were accepted a moment ago. */
  private async lookUp(): Promise<void> {
    if (this.lookingUp || !this.started) return;
    this.lookingUp = true;
    while (this.unknown.size > 0 && !this.ctx.isEnded()) {
      for (const id of this.unknown) {
        await this.lookUpOne(id);
        if (this.ctx.isEnded()) break;
      }
    }
    this.lookingUp = false;
  }

  private async lookUpOne(id: JobId): Promise<void> {
    try {
      const row = this.ctx.jobs.has(id) ? null : await this.ctx.store.get(keys.job(id));
      this.unknown.delete(id);
      // One that is still accepted is known by now, or its watch brings it.
      const state = row ? decodeJob(id, row.value).state : 'accepted';
      await this.lock.runExclusive(() => {
        if (state === 'done') this.done(id);
        else if (state === 'cancelled') this.canceller.cancel(id);
      });
    } catch (error) {
      this.ctx.log.debug({ job: id, error: errorMessage(error) }, 'dependency not read yet');
      await sleep(this.ctx.clock, LOOK_AGAIN_MS * (1 + this.ctx.random()));
    }
  }

  /** All that they need is done, durably: they may start, and their times count from now. */
  private release(jobs: readonly ActiveJob[]): void {
    if (jobs.length === 0) return;
    for (const job of jobs) {
      job.markReady(this.ctx.clock.wall());
      this.demand.recordDemand(job);
    }
    this.ctx.jobs.version++;
    this.ctx.requestDecision();
  }
}
