/**
 * Loads job descriptions and dependencies, machines and forecasts from the stored records; `open-job-loader` loads open
 * jobs.
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

/** Minimum delay before the retry of a rate-limited request. */
const RATE_LIMIT_RETRY_DELAY_MS = 40;
/** Maximum random addition to the retry delay of a rate-limited request. */
const RATE_LIMIT_RETRY_JITTER_MS = 60;

/**
 * Sends a request and, until the term ends, retries it after a delay while it is rate limited, so that rate limiting
 * does not restart the whole takeover.
 */
export function withRateLimitRetry<T>(ctx: LeaderContext, request: () => Promise<T>): Promise<T> {
  const retryDelayMs = (): number => RATE_LIMIT_RETRY_DELAY_MS + ctx.random() * RATE_LIMIT_RETRY_JITTER_MS;
  return retryWhileRateLimited(
    { clock: ctx.clock, retryDelayMs, shouldRetry: () => !ctx.isEnded() },
    request,
  );
}

/** Returns the records under a prefix, either prefetched before the takeover or read from the store. */
export async function loadRecords(ctx: LeaderContext, prefix: string): Promise<RecordSet> {
  const prefetched = await withRateLimitRetry(ctx, () => ctx.takePrefetchedRecords(prefix));
  return prefetched ?? readRecords(ctx.store, prefix, (request) => withRateLimitRetry(ctx, request));
}

/** Creates an unfinished job. The store's limits determine how many of its tasks share one progress record. */
export function createActiveJob(ctx: LeaderContext, record: JobRecord, revision: Revision): ActiveJob {
  const { spec, acceptedAt } = record;
  return new ActiveJob(spec, revision, acceptedAt, ctx.storeLimits.chunkSize(spec.taskCount));
}

/** Reads the values of a job's overflow records, which hold data that does not fit into the job record. */
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
    if (!row) throw new InvalidRecordError(`record ${key} is missing from the store`);
    values.push(row.value as T);
  }
  return values;
}

/**
 * Reads all submitted dependencies of a job from its overflow records, which hold them if they do not fit into the job
 * record. Throws `InvalidRecordError` if a record is missing.
 */
export async function readDependencies(ctx: LeaderContext, id: JobId, recordCount: number): Promise<JobId[]> {
  return (await readRecordValues<JobId[]>(ctx, id, recordCount, keys.dependencies)).flat();
}

/**
 * Completes a job record with its class, team, image, allowed machine types and zone, if overflow records hold them.
 * Throws `InvalidRecordError` if a record is missing.
 */
export async function readDescription(ctx: LeaderContext, record: JobRecord): Promise<JobRecord> {
  const { id, descriptionRecordCount } = record.spec;
  if (descriptionRecordCount === 0) return record;
  const parts = await readRecordValues<string>(ctx, id, descriptionRecordCount, keys.description);
  return withDescription(record, parts);
}

/** A machine loaded from a fleet record of an earlier leader. */
interface LoadedMachine {
  readonly record: MachineRecord;
  /** Rental time of the machine on this process's clock. */
  readonly rentedAt: MonotonicTime;
}

/** The loaded machines, and the stored fleet and forecast records, which a new leader overwrites with its own. */
export interface LoadedFleet {
  readonly machines: readonly LoadedMachine[];
  readonly records: readonly KeyValue[];
}

/** Loads the machines from the fleet records and restores the stored forecasts in the fleet manager. */
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
 * Returns the machines of a fleet record, or none if the record cannot be read: heartbeats, tasks and the cloud's
 * machine list identify the machines as well.
 */
function readMachines({ log }: LeaderContext, { key, value }: KeyValue): MachineRecord[] {
  try {
    return decodeFleetChunk(value);
  } catch (error) {
    if (!(error instanceof InvalidRecordError)) throw error;
    log.error({ key, error: errorMessage(error) }, 'machine record unreadable; record skipped');
    return [];
  }
}

function toLoadedMachine({ clock }: LeaderContext, record: MachineRecord): LoadedMachine {
  const ageMs = Math.max(0, clock.wall() - record.rentedAt);
  return { record, rentedAt: (clock.now() - ageMs) as MonotonicTime };
}
