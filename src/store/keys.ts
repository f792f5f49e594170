/** Keys of the controllers' records in the key-value store (docs/state.md). */
import type { JobId } from '../model/ids.js';

/**
 * Default number of a job's tasks whose progress shares one record. Every version reads chunks of this size; the
 * record stays under 16 KiB.
 */
export const DEFAULT_CHUNK_SIZE = 300;

const RECORD_NUMBER_DIGITS = 4;
const formatRecordNumber = (number: number): string => String(number).padStart(RECORD_NUMBER_DIGITS, '0');

/** Keys, and the prefixes under which keys are listed and watched. */
export const keys = {
  /** The record of the latest epoch in which a controller became leader. */
  epoch: 'epoch',
  /** The record of the current leader, bound to the leader's lease. */
  leader: 'leader',
  /** Prefix of the records of all jobs, including finished jobs. */
  jobs: 'job/',
  job: (id: JobId): string => `job/${id}`,
  /** Prefix of the records of unfinished jobs and of their progress. */
  open: 'open/',
  /** Head record of an unfinished job, listed before the chunks of the job's progress. */
  openHead: (id: JobId): string => `open/${id}`,
  /**
   * One chunk of an unfinished job's progress. The key of a chunk with a size other than the default includes the
   * size: a version that supports only the default size ignores such a key.
   */
  openChunk: (id: JobId, chunk: number, size: number): string =>
    size === DEFAULT_CHUNK_SIZE
      ? `open/${id}/${formatRecordNumber(chunk)}`
      : `open/${id}/${size}-${formatRecordNumber(chunk)}`,
  /** Overflow record with dependencies that do not fit in the job's record. */
  dependencies: (id: JobId, number: number): string => `deps/${id}/${formatRecordNumber(number)}`,
  /** Overflow record with a segment of the description's names that do not fit in the job's record. */
  description: (id: JobId, number: number): string => `desc/${id}/${formatRecordNumber(number)}`,
  /** The machine types as most recently read from the cloud. */
  machineTypes: 'cloud/types',
  /** Prefix of the records of rented machines. */
  fleet: 'fleet/',
  fleetChunk: (number: number): string => `fleet/${formatRecordNumber(number)}`,
  /** Prefix of the records of the forecast's state, one per time series. */
  forecast: 'forecast/',
  forecastOf: (series: string): string => `forecast/${series}`,
  /** A key that is never written, only compared, to probe the maximum number of operations in a transaction. */
  probe: (number: number): string => `unused/${number}`,
};

/** A parsed key under `open/`: a job's head record (`chunk` is null) or one chunk of the job's progress. */
export interface OpenKey {
  readonly job: JobId;
  readonly chunk: number | null;
  /** Number of tasks whose progress shares one record; the default size for a head record. */
  readonly size: number;
}

/** Parses a key under `open/`. Returns null if no version writes such a key. */
export function parseOpenKey(key: string): OpenKey | null {
  const match = /^open\/(j-\d+)(?:\/(?:(\d+)-)?(\d+))?$/.exec(key);
  if (!match) return null;
  const [, id, sizeText, chunkText] = match;
  const job = id as JobId;
  if (chunkText === undefined) return { job, chunk: null, size: DEFAULT_CHUNK_SIZE };
  const chunk = Number(chunkText);
  const size = sizeText === undefined ? DEFAULT_CHUNK_SIZE : Number(sizeText);
  const isCanonical = size > 0 && keys.openChunk(job, chunk, size) === key;
  return isCanonical ? { job, chunk, size } : null;
}

/**
 * Returns the job named in a key under `open/` that `parseOpenKey` rejects, or null if the key names no job. The job's
 * progress is then partly unreadable.
 */
export function jobIdOfInvalidOpenKey(key: string): JobId | null {
  return (/^open\/(j-\d+)\//.exec(key)?.[1] ?? null) as JobId | null;
}
