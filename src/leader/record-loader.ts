/** Reads what earlier leaders have recorded: unfinished jobs, machines, forecasts. */
import type { LeaderContext } from '../core/context.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import { errorMessage } from '../log/logger.js';
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';
import { ActiveJob } from '../scheduler/active-job.js';
import { decodeJob, withDescription } from '../store/job-record.js';
import { InvalidProgressRecordError } from '../store/errors.js';
import { DEFAULT_CHUNK_SIZE, jobOfUnknownOpenKey, keys, type OpenKey, parseOpenKey } from '../store/keys.js';
import { decodeFleetChunk, type MachineRecord } from '../store/machine-record.js';
import { type RecordSet, readRecords, retryWhileRateLimited } from '../store/records.js';
import type { Compare, KeyValue } from '../wire/key-value-store.js';

/** A rate-limited request is repeated after this and up to as long again as the jitter. */
const RATE_LIMITED_RETRY_MS = 40;
const RATE_LIMITED_JITTER_MS = 60;
/** A transaction without writes may carry this many times the compares of one with writes. */
const COMPARES_PER_TXN_OP = 4;

/** A rate-limited request is no reason to begin the whole takeover again: it alone waits a moment. */
function withRateLimitRetry<T>(ctx: LeaderContext, request: () => Promise<T>): Promise<T> {
  const retryDelayMs = (): number => RATE_LIMITED_RETRY_MS + ctx.random() * RATE_LIMITED_JITTER_MS;
  return retryWhileRateLimited(
    { clock: ctx.clock, retryDelayMs, isStillWanted: () => !ctx.isEnded() },
    request,
  );
}

/** Returns the records under a prefix: those that were read ahead of the takeover, or else the store's. */
async function loadRecords(ctx: LeaderContext, prefix: string): Promise<RecordSet> {
  const prefetched = await withRateLimitRetry(ctx, () => ctx.prefetchedRecords(prefix));
  return prefetched ?? readRecords(ctx.store, prefix, (request) => withRateLimitRetry(ctx, request));
}

/** Creates an unfinished job, with its progress in chunks of the size that the store's limits allow. */
export function createActiveJob(ctx: LeaderContext, record: JobRecord, revision: Revision): ActiveJob {
  const { spec, acceptedAt } = record;
  return new ActiveJob(spec, revision, acceptedAt, ctx.storeLimits.chunkSize(spec.taskCount));
}

/** Reads the parts of what doesn't fit the job's own record. */
async function readParts<T>(
  ctx: LeaderContext,
  id: JobId,
  count: number,
  keyOf: (id: JobId, index: number) => string,
): Promise<T[]> {
  const parts: T[] = [];
  for (let index = 0; index < count; index++) {
    const key = keyOf(id, index);
    const row = await withRateLimitRetry(ctx, () => ctx.store.get(key));
    if (!row) throw new Error(`${key} is missing`);
    parts.push(row.value as T);
  }
  return parts;
}

/** Reads the dependencies of a job whose own record has no room for them. Throws if a record is missing. */
export async function readDependencies(ctx: LeaderContext, id: JobId, recordCount: number): Promise<JobId[]> {
  return (await readParts<JobId[]>(ctx, id, recordCount, keys.dependencies)).flat();
}

/** Completes a job's record with the names that didn't fit it. Throws if a record is missing. */
export async function readDescription(ctx: LeaderContext, record: JobRecord): Promise<JobRecord> {
  const { id, descriptionRecordCount } = record.spec;
  if (descriptionRecordCount === 0) return record;
  const parts = await readParts<string>(ctx, id, descriptionRecordCount, keys.description);
  return withDescription(record, parts);
}

/** All unfinished jobs, as they are recorded. */
export interface LoadedJobs {
  readonly jobs: readonly ActiveJob[];
  /** Those of them that were cancelled since they were accepted. */
  readonly cancelled: readonly JobId[];
  /** Keys of progress whose jobs are over. */
  readonly staleKeys: readonly string[];
  /** Changes after this revision are not included. */
  readonly revision: Revision;
}

/** Reads all unfinished jobs with their progress, and which of them were cancelled since. */
export async function loadOpenJobs(ctx: LeaderContext): Promise<LoadedJobs> {
  const { rows, revision } = await loadRecords(ctx, keys.open);
  // A record is only split once every controller can read split records.
  if (rows.some(isSplitProgress)) ctx.storeLimits.allowSmallChunks();
  const jobs = new Map<JobId, ActiveJob>();
  const staleKeys: string[] = [];
  for (const row of rows) {
    const openKey = parseOpenKey(row.key);
    if (!openKey) holdBackJobOf(ctx, jobs, row.key);
    else if (openKey.chunk !== null) addProgress(ctx, jobs.get(openKey.job), openKey, row);
    else jobs.set(openKey.job, await loadJob(ctx, openKey.job, row));
    if (openKey && !jobs.has(openKey.job)) staleKeys.push(row.key);
  }
  for (const job of jobs.values()) applyProgress(ctx, job);
  const loaded = [...jobs.values()];
  return { jobs: loaded, cancelled: await findCancelled(ctx, loaded), staleKeys, revision };
}

async function loadJob(ctx: LeaderContext, id: JobId, { value, revision }: KeyValue): Promise<ActiveJob> {
  const record = await readDescription(ctx, decodeJob(id, value));
  // The head is written once, together with the job's record: their revisions are the same.
  return createActiveJob(ctx, record, revision);
}

/** Adds a record of progress to its job; undefined: the job is over. */
function addProgress(
  ctx: LeaderContext,
  job: ActiveJob | undefined,
  { chunk, size }: OpenKey,
  { key, value, revision }: KeyValue,
): void {
  if (!job || chunk === null) return;
  try {
    job.addStoredProgress(chunk, size, value, revision);
  } catch (error) {
    if (!(error instanceof InvalidProgressRecordError)) throw error;
    ctx.log.error({ key, error: errorMessage(error) }, 'progress record unreadable, job held back');
    job.holdBack(key);
  }
}

/** A key of a form that no version writes: what it says of its job is unknown. */
function holdBackJobOf(ctx: LeaderContext, jobs: ReadonlyMap<JobId, ActiveJob>, key: string): void {
  ctx.log.error({ key, error: 'a key of an unknown form' }, 'progress record unreadable, job held back');
  const id = jobOfUnknownOpenKey(key);
  if (id !== null) jobs.get(id)?.holdBack(key);
}

function applyProgress({ log, clock }: LeaderContext, job: ActiveJob): void {
  const { chunkSizes, contradictedTasks, unproven } = job.applyStoredProgress();
  if (!job.hasMixedChunkSizes) return;
  job.rewriteOutdatedProgress(clock.now());
  const fields = { job: job.spec.id, chunkSizes, contradictedTasks, unprovenTasks: unproven.size };
  log.info(fields, 'progress records of several chunk sizes merged');
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

/** A machine of an earlier leader's record. */
interface LoadedMachine {
  readonly record: MachineRecord;
  /** When it was rented, by this process's clock. */
  readonly rentedAt: MonotonicTime;
}

/** The recorded machines, and the records of machines and forecasts that a new leader takes over. */
export interface LoadedFleet {
  readonly machines: readonly LoadedMachine[];
  readonly records: readonly KeyValue[];
}

/** Reads the recorded machines, and hands the stored forecasts to the fleet. */
export async function loadFleet(ctx: LeaderContext, fleet: FleetManager): Promise<LoadedFleet> {
  const { rows } = await loadRecords(ctx, keys.fleet);
  const machines = rows.flatMap(({ value }) =>
    decodeFleetChunk(value).map((record) => loadedMachine(ctx, record)),
  );
  const forecasts = (await loadRecords(ctx, keys.forecast)).rows;
  for (const { key, value } of forecasts) fleet.restoreForecast(key.slice(keys.forecast.length), value);
  return { machines, records: [...rows, ...forecasts] };
}

function loadedMachine({ clock }: LeaderContext, record: MachineRecord): LoadedMachine {
  const age = Math.max(0, clock.wall() - record.rentedAt);
  return { record, rentedAt: (clock.now() - age) as MonotonicTime };
}
