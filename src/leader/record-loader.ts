import type { FleetManager } from '../fleet/fleet-manager.js';
import type { MachineId, JobId, Revision, MachineTypeId, ZoneId } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import type { MonotonicTime } from '../model/time.js';
import { ActiveJob } from '../scheduler/active-job.js';
import { decodeJob, withDescription } from '../store/job-record.js';
import { DEFAULT_CHUNK_SIZE, keys, parseOpenKey } from '../store/keys.js';
import { type RecordSet, readRecords, retryWhileRateLimited } from '../store/records.js';
import type { Compare, KeyValue } from '../wire/key-value-store.js';
import type { LeaderContext } from '../core/context.js';
import type { StoredMachine } from '../leader/fleet-record-writer.js';

/** A request that is refused for too many waits this long and up to as long again. */
const REFUSED_PAUSE_MS = 40;
const REFUSED_JITTER_MS = 60;

/** Asked too often is no reason to begin the whole takeover again: this one request waits a moment. */
function patiently<T>(ctx: LeaderContext, ask: () => Promise<T>): Promise<T> {
  const pauseMs = (): number => REFUSED_PAUSE_MS + ctx.random() * REFUSED_JITTER_MS;
  return retryWhileRateLimited(
    { clock: ctx.clock, retryDelayMs: pauseMs, isStillWanted: () => !ctx.isEnded() },
    ask,
  );
}

async function readAll(ctx: LeaderContext, prefix: string): Promise<RecordSet> {
  const ahead = await patiently(ctx, () => ctx.prefetchedRecords(prefix));
  return ahead ?? readRecords(ctx.store, prefix, (ask) => patiently(ctx, ask));
}

/** A job that is not over, as the limits of the state service want its progress kept. */
export function openJob(ctx: LeaderContext, record: JobRecord, revision: Revision): ActiveJob {
  const { spec, acceptedAt } = record;
  return new ActiveJob(spec, revision, acceptedAt, ctx.storeLimits.chunkSize(spec.taskCount));
}

async function readParts<T>(
  ctx: LeaderContext,
  id: JobId,
  records: number,
  key: (id: JobId, n: number) => string,
): Promise<T[]> {
  const parts: T[] = [];
  for (let n = 0; n < records; n++) {
    const row = await patiently(ctx, () => ctx.store.get(key(id, n)));
    if (!row) throw new Error(`${key(id, n)} is missing`);
    parts.push(row.value as T);
  }
  return parts;
}

/** The dependencies of a job whose record has no room for them. */
export async function readDependencies(ctx: LeaderContext, id: JobId, records: number): Promise<JobId[]> {
  return (await readParts<JobId[]>(ctx, id, records, keys.dependencies)).flat();
}

/** A job's record with all its names, wherever they are. */
export async function readDescription(ctx: LeaderContext, record: JobRecord): Promise<JobRecord> {
  const { id, descriptionRecordCount } = record.spec;
  if (descriptionRecordCount === 0) return record;
  return withDescription(record, await readParts<string>(ctx, id, descriptionRecordCount, keys.description));
}

/** All unfinished work, as the records tell of it. */
export interface LoadedJobs {
  readonly jobs: readonly ActiveJob[];
  /** Those of them that were cancelled meanwhile. */
  readonly cancelled: readonly JobId[];
  /** Keys of progress whose jobs are over. */
  readonly orphans: readonly string[];
  /** Changes after this revision are not in it. */
  readonly revision: Revision;
}

/** Reads all unfinished work, and which of it was cancelled meanwhile. */
export async function loadOpenJobs(ctx: LeaderContext): Promise<LoadedJobs> {
  const { rows, revision } = await readAll(ctx, keys.open);
  // Whoever split a record knew that no version is left which couldn't read it.
  if (rows.some((row) => (parseOpenKey(row.key)?.size ?? DEFAULT_CHUNK_SIZE) < DEFAULT_CHUNK_SIZE))
    ctx.storeLimits.allowSmallChunks();
  const jobs = new Map<JobId, ActiveJob>();
  const orphans: string[] = [];
  for (const row of rows) {
    const at = parseOpenKey(row.key);
    if (!at) continue;
    if (at.chunk === null) {
      const record = await readDescription(ctx, decodeJob(at.job, row.value));
      // The head is written once, together with the job's record: their revisions are the same.
      jobs.set(at.job, openJob(ctx, record, row.revision));
    } else {
      const job = jobs.get(at.job);
      if (job) job.addStoredProgress(at.chunk, at.size, row.value, row.revision);
      else orphans.push(row.key);
    }
  }
  for (const job of jobs.values()) job.applyStoredProgress();
  const all = [...jobs.values()];
  return { jobs: all, cancelled: await findChanged(ctx, all), orphans, revision };
}

/** Jobs whose record has changed since they were accepted: they were cancelled. */
async function findChanged(ctx: LeaderContext, jobs: ActiveJob[]): Promise<JobId[]> {
  const changed: JobId[] = [];
  const most = ctx.storeLimits.txnOps * 4;
  for (let i = 0; i < jobs.length; i += most) {
    const conditions: Compare[] = jobs
      .slice(i, i + most)
      .map((job) => ({ key: keys.job(job.spec.id), revision: job.revision }));
    const result = await patiently(ctx, () => ctx.store.txn(conditions, []));
    if (!result.ok) changed.push(...result.failed.map((key) => key.slice(keys.jobs.length) as JobId));
  }
  return changed;
}

/** A machine of an earlier leader's record. */
interface RestoredMachine {
  readonly machine: Machine;
  /** Recorded by a version that records nothing else. */
  readonly confirmed: boolean;
  readonly address: string;
  readonly at: MonotonicTime;
  /** It was up when the record was written. */
  readonly up: boolean;
}

/** The machines that the records tell of, and these records. */
export interface RestoredFleet {
  readonly machines: readonly RestoredMachine[];
  readonly records: readonly KeyValue[];
}

/** Reads the machines, and hands the stored forecasts to the fleet. */
export async function restoreFleet(ctx: LeaderContext, fleet: FleetManager): Promise<RestoredFleet> {
  const known: RestoredMachine[] = [];
  const { rows } = await readAll(ctx, keys.fleet);
  for (const row of rows) {
    for (const stored of (row.value as { m: StoredMachine[] }).m) {
      const [id, type, zone, spot, address, rentedAt, up, confirmed] = stored;
      const age = Math.max(0, ctx.clock.wall() - rentedAt);
      known.push({
        machine: { id: id as MachineId, type: type as MachineTypeId, zone: zone as ZoneId, spot: spot === 1 },
        confirmed: confirmed === 1,
        address,
        at: (ctx.clock.now() - age) as MonotonicTime,
        up: up === 1,
      });
    }
  }
  const forecasts = (await readAll(ctx, keys.forecast)).rows;
  for (const row of forecasts) {
    fleet.restoreForecast(row.key.slice(keys.forecast.length), row.value);
  }
  return { machines: known, records: [...rows, ...forecasts] };
}
