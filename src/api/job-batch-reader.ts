/** Reads the records of many jobs with few requests. */
import type { ControllerContext } from '../core/context.js';
import type { JobId } from '../model/ids.js';
import { InvalidRecordError } from '../store/errors.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { KeyValue } from '../wire/key-value-store.js';
import type { JobReader, ReadJob } from './job-reader.js';

/** Below this number of jobs, a record is read by itself: a page also holds the records of the jobs between them. */
const MIN_JOBS_PER_PAGE = 3;

/** What was found under the key of a job; `unreadable`: a record that no version writes. */
export type FoundRecord =
  | { readonly kind: 'read'; readonly job: ReadJob }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unreadable'; readonly error: InvalidRecordError };

/** Reads job records, and adds them to the cache. */
export class JobBatchReader {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'store'>,
    private readonly reader: Pick<JobReader, 'read' | 'cacheAndAnswer'>,
  ) {}

  /**
   * Reads the records of some of the given jobs, at least of one: the first one in the order of keys, and those that
   * share its page of the store. One request; a second one only if the page does not reach the first job. Rejects with
   * the errors of the store client.
   */
  async readSome(ids: readonly JobId[]): Promise<Map<JobId, FoundRecord>> {
    const sortedIds = [...ids].sort();
    const [first] = sortedIds;
    if (first === undefined) return new Map();
    const found = sortedIds.length < MIN_JOBS_PER_PAGE ? new Map() : await this.readPage(first, sortedIds);
    if (found.size === 0) found.set(first, await this.readOne(first));
    return found;
  }

  private async readOne(id: JobId): Promise<FoundRecord> {
    try {
      const job = await this.reader.read(id);
      if (!job) return { kind: 'absent' };
      this.reader.cacheAndAnswer(id, job);
      return { kind: 'read', job };
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      return { kind: 'unreadable', error };
    }
  }

  private async readPage(first: JobId, sortedIds: readonly JobId[]): Promise<Map<JobId, FoundRecord>> {
    // A page begins after the given key: a prefix of the first job's key stands before it.
    const page = await this.ctx.store.range(keys.jobs, keys.job(first).slice(0, -1));
    const lastKey = page.more ? page.rows.at(-1)?.key : undefined;
    const rows = new Map(page.rows.map((row) => [row.key, row]));
    const found = new Map<JobId, FoundRecord>();
    for (const id of sortedIds) {
      const key = keys.job(id);
      if (lastKey !== undefined && key > lastKey) break;
      found.set(id, this.decode(id, rows.get(key)));
    }
    return found;
  }

  private decode(id: JobId, row: KeyValue | undefined): FoundRecord {
    if (!row) return { kind: 'absent' };
    try {
      const job = { record: decodeJob(id, row.value), revision: row.revision };
      this.reader.cacheAndAnswer(id, job);
      return { kind: 'read', job };
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      return { kind: 'unreadable', error };
    }
  }
}
