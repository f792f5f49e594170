/** The keys under which the controllers keep their records in the key-value store (docs/state.md). */
import type { JobId } from '../model/ids.js';

/** Tasks of one job whose progress shares one record, as every version reads it: under 16 KiB. */
export const DEFAULT_CHUNK_SIZE = 300;

const NUMBER_DIGITS = 4;
const padNumber = (number: number): string => String(number).padStart(NUMBER_DIGITS, '0');

/** Every key, and the prefixes under which keys are listed and watched. */
export const keys = {
  /** The epoch last taken. */
  epoch: 'epoch',
  /** The current leader, bound to its lease. */
  leader: 'leader',
  /** Prefix of all jobs, finished ones included. */
  jobs: 'job/',
  job: (id: JobId): string => `job/${id}`,
  /** Prefix of the unfinished jobs and their progress. */
  open: 'open/',
  /** An unfinished job. */
  openHead: (id: JobId): string => `open/${id}`,
  /**
   * One chunk of an unfinished job's progress. Chunks of another size than the default have it in their key:
   * versions that don't know them leave them unread.
   */
  openChunk: (id: JobId, chunk: number, size: number): string =>
    size === DEFAULT_CHUNK_SIZE ? `open/${id}/${padNumber(chunk)}` : `open/${id}/${size}-${padNumber(chunk)}`,
  /** An overflow record with dependencies that don't fit their job's record. */
  dependencies: (id: JobId, number: number): string => `deps/${id}/${padNumber(number)}`,
  /** An overflow record with a part of a description that doesn't fit its job's record. */
  description: (id: JobId, number: number): string => `desc/${id}/${padNumber(number)}`,
  /** The machine types as last read from the cloud. */
  machineTypes: 'cloud/types',
  /** Prefix of the rented machines. */
  fleet: 'fleet/',
  fleetChunk: (number: number): string => `fleet/${padNumber(number)}`,
  /** Prefix of the forecast's state. */
  forecast: 'forecast/',
  forecastOf: (series: string): string => `forecast/${series}`,
  /** Never written, only compared, to find out how much a transaction may hold (`limitProbe`). */
  probe: (number: number): string => `unused/${number}`,
};

/** A parsed key under `open/`: a job's head (`chunk` is null) or one chunk of its progress. */
export interface OpenKey {
  readonly job: JobId;
  readonly chunk: number | null;
  /** Tasks that share one record. */
  readonly size: number;
}

/** Parses a key under `open/`; null: no version writes such a key. */
export function parseOpenKey(key: string): OpenKey | null {
  const parts = /^open\/(j-\d+)(?:\/(?:(\d+)-)?(\d+))?$/.exec(key);
  if (!parts) return null;
  const [, id, sizeText, chunkText] = parts;
  const job = id as JobId;
  if (chunkText === undefined) return { job, chunk: null, size: DEFAULT_CHUNK_SIZE };
  const chunk = Number(chunkText);
  const size = sizeText === undefined ? DEFAULT_CHUNK_SIZE : Number(sizeText);
  const isCanonical = size > 0 && keys.openChunk(job, chunk, size) === key;
  return isCanonical ? { job, chunk, size } : null;
}

/** The job that a key under `open/` of an unknown form seems to belong to; null: none. */
export function jobOfUnknownOpenKey(key: string): JobId | null {
  return (/^open\/(j-\d+)\//.exec(key)?.[1] ?? null) as JobId | null;
}
