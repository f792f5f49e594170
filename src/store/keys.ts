/** The keys under which the controllers keep their records in the state service (docs/state.md). */
import type { JobId } from '../model/ids.js';

/** Tasks of one job whose progress shares one record, as every version reads it: under 16 KiB. */
export const DEFAULT_CHUNK_SIZE = 300;

const NUMBER_DIGITS = 4;
const padded = (n: number): string => String(n).padStart(NUMBER_DIGITS, '0');

/** Every key, and the prefixes under which they are listed and watched. */
export const keys = {
  epoch: 'epoch',
  leader: 'leader',
  jobs: 'job/',
  job: (id: JobId): string => `job/${id}`,
  open: 'open/',
  openHead: (id: JobId): string => `open/${id}`,
  /** Chunks of another size than the usual one name it: versions that don't know them leave them unread. */
  openChunk: (id: JobId, chunk: number, size: number): string => {
    return size === DEFAULT_CHUNK_SIZE
      ? `open/${id}/${padded(chunk)}`
      : `open/${id}/${size}-${padded(chunk)}`;
  },
  /** Dependencies that don't fit their job's record. */
  dependencies: (id: JobId, n: number): string => `deps/${id}/${padded(n)}`,
  /** Parts of a description that doesn't fit its job's record. */
  description: (id: JobId, n: number): string => `desc/${id}/${padded(n)}`,
  machineTypes: 'cloud/types',
  fleet: 'fleet/',
  fleetChunk: (n: number): string => `fleet/${padded(n)}`,
  forecast: 'forecast/',
  /** Never written: only compared, to learn how much a transaction may hold. */
  probe: (n: number): string => `unused/${n}`,
  forecastOf: (type: string): string => `forecast/${type}`,
};

/** A key below `open/`: a job's head (`chunk` is null) or one record of its progress. */
export interface OpenKey {
  readonly job: JobId;
  readonly chunk: number | null;
  /** Tasks that share one record. */
  readonly size: number;
}

/** Null: no key that this version writes. */
export function parseOpenKey(key: string): OpenKey | null {
  const parts = /^open\/(j-\d+)(?:\/(?:(\d+)-)?(\d+))?$/.exec(key);
  if (!parts) return null;
  return {
    job: parts[1] as JobId,
    chunk: parts[3] === undefined ? null : Number(parts[3]),
    size: parts[2] === undefined ? DEFAULT_CHUNK_SIZE : Number(parts[2]),
  };
}
