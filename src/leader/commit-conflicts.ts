/** Brings the leader's view up to date after a transaction of the group commit was refused. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { CommitBatch } from './commit-batch.js';
import { fetchRevision, stepDownIfDeposed } from './write-conflicts.js';

const CONFLICT_RETRY_MS = 100;

/** Resolves the failed compares of a batch; the batch's changes are written again as things then stand. */
export class CommitConflictResolver {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly closeJob: (job: ActiveJob) => void,
  ) {}

  /** Reads what another writer has changed. A key that can't be read now fails again with the next batch. */
  async resolve(failedKeys: readonly string[], batch: CommitBatch): Promise<void> {
    if (stepDownIfDeposed(this.ctx, failedKeys, 'a commit found a newer epoch')) return;
    for (const key of failedKeys) {
      try {
        await this.resolveKey(key, batch);
      } catch (error) {
        this.ctx.log.debug({ key, error: errorMessage(error) }, 'commit conflict not resolved');
        await sleep(this.ctx.clock, CONFLICT_RETRY_MS);
      }
    }
  }

  private async resolveKey(key: string, batch: CommitBatch): Promise<void> {
    const chunk = batch.chunks.find((write) => write.chunk.key === key)?.chunk;
    // An earlier commit without an answer was carried out after all.
    if (chunk) chunk.revision = await fetchRevision(this.ctx.store, key);
    else await this.refreshJob(key.slice(keys.jobs.length) as JobId);
  }

  /** The job's record was changed: it was cancelled, or a commit without an answer has closed it. */
  private async refreshJob(id: JobId): Promise<void> {
    const row = await this.ctx.store.get(keys.job(id));
    const job = this.ctx.jobs.get(id);
    if (!job || !row) return;
    const { state } = decodeJob(id, row.value);
    if (state === 'cancelled') {
      job.isCancelledByDependency = false;
      this.ctx.cancelJob(id);
    } else if (state === 'done') this.closeJob(job);
  }
}
