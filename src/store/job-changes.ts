/** Decodes the watch events of job records. */
import type { JobId, Revision } from '../model/ids.js';
import type { JobRecord } from '../model/job.js';
import type { WatchEvent } from '../wire/key-value-store.js';
import { InvalidRecordError } from './errors.js';
import { decodeJob } from './job-record.js';
import { keys } from './keys.js';

/** A job record that was created or updated, as of `revision`. */
export interface JobChange {
  readonly id: JobId;
  readonly record: JobRecord;
  readonly revision: Revision;
}

/**
 * Decodes the job records that were created or updated; deletions are ignored. A record that cannot be decoded is
 * passed to `onUnreadable` and skipped, so that the changes of other jobs still take effect.
 */
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
