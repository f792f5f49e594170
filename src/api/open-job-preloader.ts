/** Loads the records of all open jobs into the cache, many with each request. */
import type { ControllerContext } from '../core/context.js';
import type { JobId, Revision } from '../model/ids.js';
import { since } from '../model/time.js';
import { InvalidRecordError } from '../store/errors.js';
import { decodeJob } from '../store/job-record.js';
import { keys, parseOpenKey } from '../store/keys.js';
import type { KeyValue } from '../wire/key-value-store.js';
import type { ReadJob } from './job-reader.js';
import type { UserBudgets } from './user-budgets.js';

/** Receives the open jobs that are loaded. */
export interface OpenJobListener {
  /** Called for each head record; the job may have ended since the record was written. */
  onHeadLoaded(id: JobId, job: ReadJob): void;
  /** Called for each progress record, after the head record of its job. */
  onProgressFound(id: JobId): void;
}

/**
 * Reads the head records of the open jobs page by page. A controller that has just started would otherwise read each
 * job by itself, which takes minutes where there are thousands.
 */
export class OpenJobPreloader {
  /** The position of an interrupted load, from which the next call continues. */
  private position: { readonly revision: Revision; readonly after: string } | null = null;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'log' | 'store'>,
    private readonly budgets: Pick<UserBudgets, 'acquireJobRead'>,
    private readonly listener: OpenJobListener,
  ) {}

  /**
   * Loads all pages. Returns the revision from which a watch reports every change that the pages may lack. Rejects with
   * the errors of the store client; the next call then continues after the last page.
   */
  async load(): Promise<Revision> {
    const { clock, log, store } = this.ctx;
    const startedAt = clock.now();
    let jobCount = 0;
    for (let pageCount = 1; ; pageCount++) {
      await this.budgets.acquireJobRead();
      const page = await store.range(keys.open, this.position?.after);
      const revision = this.position?.revision ?? page.revision;
      for (const row of page.rows) if (this.addRow(row)) jobCount++;
      const last = page.rows.at(-1);
      if (!page.more || !last) {
        this.position = null;
        const durationMs = Math.round(since(clock.now(), startedAt));
        log.info({ jobs: jobCount, pages: pageCount, revision, durationMs }, 'open jobs loaded for queries');
        return revision;
      }
      this.position = { revision, after: last.key };
    }
  }

  /** Passes on the job of a head record; false: the row is no readable head record. */
  private addRow({ key, value, revision }: KeyValue): boolean {
    const openKey = parseOpenKey(key);
    if (!openKey) return false;
    if (openKey.chunk !== null) {
      this.listener.onProgressFound(openKey.job);
      return false;
    }
    try {
      // The head record is written once, together with the job's own record, so it has the revision of that record
      // unless the job has ended since; the check of the revision before each answer finds that.
      this.listener.onHeadLoaded(openKey.job, { record: decodeJob(openKey.job, value), revision });
      return true;
    } catch (error) {
      if (!(error instanceof InvalidRecordError)) throw error;
      // Debug level: the leader logs the same unreadable record as an error.
      this.ctx.log.debug({ key }, 'job record unreadable');
      return false;
    }
  }
}
