/** Loads all unfinished jobs and their progress from the records of earlier leaders. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId, Revision } from '../model/ids.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import { InvalidRecordError } from '../store/errors.js';
import { decodeJob } from '../store/job-record.js';
import {
  DEFAULT_CHUNK_SIZE,
  jobIdOfInvalidOpenKey,
  keys,
  type OpenKey,
  parseOpenKey,
} from '../store/keys.js';
import type { Compare, KeyValue } from '../wire/key-value-store.js';
import { createActiveJob, loadRecords, readDescription, withRateLimitRetry } from './record-loader.js';

/** Message logged for a job whose progress was read from records of several chunk sizes. */
export const MIXED_CHUNK_SIZES_MESSAGE = 'progress records of several chunk sizes merged';

/** The unfinished jobs that were loaded from the stored records. */
export interface LoadedJobs {
  readonly jobs: readonly ActiveJob[];
  /** IDs of loaded jobs whose job record was changed by a cancellation after the job was accepted. */
  readonly cancelled: readonly JobId[];
  /** Keys of progress records whose jobs have ended. */
  readonly staleKeys: readonly string[];
  /**
   * Whether the record of an unfinished job or of a loaded job's progress cannot be read, so that unknown tasks may be
   * running.
   */
  readonly hasUnreadable: boolean;
  /** The revision up to which changes are included. */
  readonly revision: Revision;
}

/** Loads all unfinished jobs with their progress, and determines which of the jobs have been cancelled. */
export async function loadOpenJobs(ctx: LeaderContext): Promise<LoadedJobs> {
  const { rows, revision } = await loadRecords(ctx, keys.open);
  // Progress records are split only after every controller can read split records.
  if (rows.some(isSplitProgress)) ctx.storeLimits.allowSmallChunks();
  const loader = new OpenJobLoader(ctx);
  for (const row of rows) await loader.add(row);
  const jobs = loader.finish();
  const { staleKeys, hasUnreadable } = loader;
  return { jobs, cancelled: await findCancelled(ctx, jobs), staleKeys, hasUnreadable, revision };
}

/** Builds jobs from the rows under `open/`. The head record of a job precedes its progress records. */
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

  /** Applies the stored progress and returns the jobs; called after all rows have been added. */
  finish(): ActiveJob[] {
    const jobs = [...this.jobs.values()];
    for (const job of jobs) applyProgress(this.ctx, job);
    return jobs;
  }

  private async addHead(id: JobId, { key, value, revision }: KeyValue): Promise<void> {
    try {
      const record = await readDescription(this.ctx, decodeJob(id, value));
      // The head record is written once, in the same transaction as the job record, so both have the same revision.
      this.jobs.set(id, createActiveJob(this.ctx, record, revision));
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      // The progress records of the skipped job are kept, so that an operator can repair the job record.
      this.ctx.log.error({ key, error: errorMessage(error) }, 'job record unreadable; job skipped');
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

  /**
   * Holds back the job of a key whose format no version known to this controller writes, because the meaning of the
   * record is unknown.
   */
  private addUnrecognizedKey(key: string): void {
    const id = jobIdOfInvalidOpenKey(key);
    this.holdBackJob(
      id === null ? undefined : this.jobs.get(id),
      key,
      'the key does not have a known format',
    );
  }

  private holdBackJob(job: ActiveJob | undefined, key: string, error: unknown): void {
    this.ctx.log.error({ key, error: errorMessage(error) }, 'progress record unreadable, job held back');
    if (!job) return;
    job.markProgressUnreadable(key);
    this.hasUnreadable = true;
  }
}

function applyProgress({ log, clock }: LeaderContext, job: ActiveJob): void {
  const { chunkSizes, contradictedTasks, unproven } = job.applyStoredProgress();
  if (!job.hasMixedChunkSizes) return;
  job.rewriteOutdatedProgress(clock.now());
  const fields = { job: job.spec.id, chunkSizes, contradictedTasks, unprovenTasks: unproven.size };
  log.info(fields, MIXED_CHUNK_SIZES_MESSAGE);
}

function isSplitProgress({ key }: KeyValue): boolean {
  const openKey = parseOpenKey(key);
  return openKey !== null && openKey.size < DEFAULT_CHUNK_SIZE;
}

/** Returns the IDs of cancelled jobs: the jobs whose job record has changed since the job was accepted. */
async function findCancelled(ctx: LeaderContext, jobs: readonly ActiveJob[]): Promise<JobId[]> {
  const cancelled: JobId[] = [];
  const batchSize = ctx.storeLimits.maxCompares;
  for (let start = 0; start < jobs.length; start += batchSize) {
    const compares: Compare[] = jobs
      .slice(start, start + batchSize)
      .map((job) => ({ key: keys.job(job.spec.id), revision: job.revision }));
    const result = await withRateLimitRetry(ctx, () => ctx.store.txn(compares, []));
    if (!result.ok) cancelled.push(...result.failed.map((key) => key.slice(keys.jobs.length) as JobId));
  }
  return cancelled;
}
