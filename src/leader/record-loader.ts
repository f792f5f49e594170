/**
 * Reads what earlier leaders have recorded: descriptions of jobs, machines, forecasts (`open-job-loader`: open jobs).
 */
import type { LeaderContext } from '../core/context.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import { errorMessage } from '../log/logger.js';
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import type { MonotonicTime } from '../model/time.js';
import { ActiveJob } from '../scheduler/active-job.js';
import { InvalidRecordError } from '../store/errors.js';
import { withDescription } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import { decodeFleetChunk, type MachineRecord } from '../store/machine-record.js';
import { type RecordSet, readRecords, retryWhileRateLimited } from '../store/records.js';
import type { KeyValue } from '../wire/key-value-store.js';

/** A rate-limited request is repeated after this and up to as long again as the jitter. */
const RATE_LIMITED_RETRY_MS = 40;
const RATE_LIMITED_RETRY_JITTER_MS = 60;

/** A rate-limited request is no reason to begin the whole takeover again: it alone waits a moment. */
export function withRateLimitRetry<T>(ctx: LeaderContext, request: () => Promise<T>): Promise<T> {
  const retryDelayMs = (): number => RATE_LIMITED_RETRY_MS + ctx.random() * RATE_LIMITED_RETRY_JITTER_MS;
  return retryWhileRateLimited(
    { clock: ctx.clock, retryDelayMs, isStillWanted: () => !ctx.isEnded() },
    request,
  );
}

/** Returns the records under a prefix: those that were read ahead of the takeover, or else the store's. */
export async function loadRecords(ctx: LeaderContext, prefix: string): Promise<RecordSet> {
  const prefetched = await withRateLimitRetry(ctx, () => ctx.prefetchedRecords(prefix));
  return prefetched ?? readRecords(ctx.store, prefix, (request) => withRateLimitRetry(ctx, request));
}

/** Creates an unfinished job, with its progress in chunks of the size that the store's limits allow. */
export function createActiveJob(ctx: LeaderContext, record: JobRecord, revision: Revision): ActiveJob {
  const { spec, acceptedAt } = record;
  return new ActiveJob(spec, revision, acceptedAt, ctx.storeLimits.chunkSize(spec.taskCount));
}

/** Reads the parts of what doesn't fit the job's own record. */
async function readRecordValues<T>(
  ctx: LeaderContext,
  id: JobId,
  count: number,
  keyOf: (id: JobId, index: number) => string,
): Promise<T[]> {
  const values: T[] = [];
  for (let index = 0; index < count; index++) {
    const key = keyOf(id, index);
    const row = await withRateLimitRetry(ctx, () => ctx.store.get(key));
    if (!row) throw new InvalidRecordError(`${key} is missing`);
    values.push(row.value as T);
  }
  return values;
}

/** Reads the dependencies of a job whose own record has no room for them. Throws if a record is missing. */
export async function readDependencies(ctx: LeaderContext, id: JobId, recordCount: number): Promise<JobId[]> {
  return (await readRecordValues<JobId[]>(ctx, id, recordCount, keys.dependencies)).flat();
}

/** Completes a job's record with the names that didn't fit it. Throws if a record is missing. */
export async function readDescription(ctx: LeaderContext, record: JobRecord): Promise<JobRecord> {
  const { id, descriptionRecordCount } = record.spec;
  if (descriptionRecordCount === 0) return record;
  const parts = await readRecordValues<string>(ctx, id, descriptionRecordCount, keys.description);
  return withDescription(record, parts);
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
  const machines = rows
    .flatMap((row) => readMachines(ctx, row))
    .map((record) => toLoadedMachine(ctx, record));
  const forecasts = (await loadRecords(ctx, keys.forecast)).rows;
  for (const { key, value } of forecasts) fleet.restoreForecast(key.slice(keys.forecast.length), value);
  return { machines, records: [...rows, ...forecasts] };
}

/**
 * The machines of a record; none of one that cannot be read: heartbeats, tasks and the cloud's list name them as well.
 */
function readMachines({ log }: LeaderContext, { key, value }: KeyValue): MachineRecord[] {
  try {
    return decodeFleetChunk(value);
  } catch (error) {
    if (!(error instanceof InvalidRecordError)) throw error;
    log.error({ key, error: errorMessage(error) }, 'machine record unreadable, left out');
    return [];
  }
}

function toLoadedMachine({ clock }: LeaderContext, record: MachineRecord): LoadedMachine {
  const ageMs = Math.max(0, clock.wall() - record.rentedAt);
  return { record, rentedAt: (clock.now() - ageMs) as MonotonicTime };
}
