/** Reads all unfinished jobs with their progress, as earlier leaders have recorded them. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId, Revision } from '../model/ids.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import { InvalidRecordError } from '../store/errors.js';
import { decodeJob } from '../store/job-record.js';
import { DEFAULT_CHUNK_SIZE, jobOfUnknownOpenKey, keys, type OpenKey, parseOpenKey } from '../store/keys.js';
import type { Compare, KeyValue } from '../wire/key-value-store.js';
import { createActiveJob, loadRecords, readDescription, withRateLimitRetry } from './record-loader.js';

/** The log line of a job whose progress was read from records of several chunk sizes. */
export const MIXED_CHUNK_SIZES = 'progress records of several chunk sizes merged';
/** A transaction without writes may carry this many times the compares of one with writes. */
const COMPARES_PER_TXN_OP = 4;

/** All unfinished jobs, as they are recorded. */
export interface LoadedJobs {
  readonly jobs: readonly ActiveJob[];
  /** Those of them that were cancelled since they were accepted. */
  readonly cancelled: readonly JobId[];
  /** Keys of progress whose jobs are over. */
  readonly staleKeys: readonly string[];
  /** Some records cannot be read: tasks may run of which nothing is known. */
  readonly hasUnreadable: boolean;
  /** Changes after this revision are not included. */
  readonly revision: Revision;
}

/** Reads all unfinished jobs with their progress, and which of them were cancelled since. */
export async function loadOpenJobs(ctx: LeaderContext): Promise<LoadedJobs> {
  const { rows, revision } = await loadRecords(ctx, keys.open);
  // A record is only split once every controller can read split records.
  if (rows.some(isSplitProgress)) ctx.storeLimits.allowSmallChunks();
  const loader = new OpenJobLoader(ctx);
  for (const row of rows) await loader.add(row);
  const jobs = loader.finish();
  const { staleKeys, hasUnreadable } = loader;
  return { jobs, cancelled: await findCancelled(ctx, jobs), staleKeys, hasUnreadable, revision };
}

/** Puts the rows under `open/` together. A job's head comes before its progress. */
class OpenJobLoader {
  readonly staleKeys: string[] = [];
  hasUnreadable = false;
  private readonly jobs = new Map<JobId, ActiveJob>();
  private readonly skippedJobIds = new Set<JobId>();

  constructor(private readonly ctx: LeaderContext) {}

  async add(row: KeyValue): Promise<void> {
    const openKey = parseOpenKey(row.key);
    if (!openKey) this.addUnrecognizedKey(row.key);
    else if (openKey.chunk === null) await this.addHead(openKey.job, row);
    else this.addProgress(openKey, row);
  }

  /** All rows were added. */
  finish(): ActiveJob[] {
    const jobs = [...this.jobs.values()];
    for (const job of jobs) applyProgress(this.ctx, job);
    return jobs;
  }

  private async addHead(id: JobId, { key, value, revision }: KeyValue): Promise<void> {
    try {
      const record = await readDescription(this.ctx, decodeJob(id, value));
      // The head is written once, together with the job's record: their revisions are the same.
      this.jobs.set(id, createActiveJob(this.ctx, record, revision));
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      // Its progress stays where it is for whoever repairs the record.
      this.ctx.log.error({ key, error: errorMessage(error) }, 'job record unreadable, job left out');
      this.skippedJobIds.add(id);
      this.hasUnreadable = true;
    }
  }

  private addProgress({ job: id, chunk, size }: OpenKey, { key, value, revision }: KeyValue): void {
    const job = this.jobs.get(id);
    if (!job && !this.skippedJobIds.has(id)) this.staleKeys.push(key);
    if (!job || chunk === null) return;
    try {
      job.addStoredProgress(chunk, size, value, revision);
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      this.holdBackJob(job, key, error);
    }
  }

  /** A key of a form that no version writes: what it says of its job is unknown. */
  private addUnrecognizedKey(key: string): void {
    const id = jobOfUnknownOpenKey(key);
    this.holdBackJob(id === null ? undefined : this.jobs.get(id), key, 'a key of an unknown form');
  }

  private holdBackJob(job: ActiveJob | undefined, key: string, error: unknown): void {
    this.ctx.log.error({ key, error: errorMessage(error) }, 'progress record unreadable, job held back');
    if (!job) return;
    job.holdBack(key);
    this.hasUnreadable = true;
  }
}

function applyProgress({ log, clock }: LeaderContext, job: ActiveJob): void {
  const { chunkSizes, contradictedTasks, unproven } = job.applyStoredProgress();
  if (!job.hasMixedChunkSizes) return;
  job.rewriteOutdatedProgress(clock.now());
  const fields = { job: job.spec.id, chunkSizes, contradictedTasks, unprovenTasks: unproven.size };
  log.info(fields, MIXED_CHUNK_SIZES);
}

function isSplitProgress({ key }: KeyValue): boolean {
  const openKey = parseOpenKey(key);
  return openKey !== null && openKey.size < DEFAULT_CHUNK_SIZE;
}

/** Returns the jobs whose record has changed since they were accepted: they were cancelled. */
async function findCancelled(ctx: LeaderContext, jobs: readonly ActiveJob[]): Promise<JobId[]> {
  const cancelled: JobId[] = [];
  const batchSize = ctx.storeLimits.txnOps * COMPARES_PER_TXN_OP;
  for (let start = 0; start < jobs.length; start += batchSize) {
    const compares: Compare[] = jobs
      .slice(start, start + batchSize)
      .map((job) => ({ key: keys.job(job.spec.id), revision: job.revision }));
    const result = await withRateLimitRetry(ctx, () => ctx.store.txn(compares, []));
    if (!result.ok) cancelled.push(...result.failed.map((key) => key.slice(keys.jobs.length) as JobId));
  }
  return cancelled;
}
