/** Reads what a watch of the jobs' records has brought. */
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import type { WatchEvent } from '../wire/key-value-store.js';
import { InvalidRecordError } from './errors.js';
import { decodeJob } from './job-record.js';
import { keys } from './keys.js';

/** A job's record as it is now. */
export interface JobChange {
  readonly id: JobId;
  readonly record: JobRecord;
  readonly revision: Revision;
}

/** Returns the changed records; one that cannot be read is reported and left out: those of other jobs count all the same. */
export function decodeJobChanges(
  events: readonly WatchEvent[],
  onUnreadable: (key: string, error: InvalidRecordError) => void,
): JobChange[] {
  const changes: JobChange[] = [];
  for (const { key, value, revision } of events) {
    if (value === undefined) continue;
    const id = key.slice(keys.jobs.length) as JobId;
    try {
      changes.push({ id, record: decodeJob(id, value), revision });
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      onUnreadable(key, error);
    }
  }
  return changes;
}
