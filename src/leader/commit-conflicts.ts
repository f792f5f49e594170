/** Updates the leader's state after a compare of a group commit transaction has failed. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import { decodeJob } from '../store/job-record.js';
import { keys } from '../store/keys.js';
import type { CommitBatch } from './commit-batch.js';
import { fetchRevision, stepDownIfDeposed } from './write-conflicts.js';

/** Delay after a conflicting key could not be read. */
const CONFLICT_RETRY_DELAY_MS = 100;

/** Resolves the failed compares of a batch. A later batch writes the changes again from the updated state. */
export class CommitConflictResolver {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly closeJob: (job: ActiveJob) => void,
  ) {}

  /** Reads the keys whose compares failed. A key that cannot be read now fails again with the next batch. */
  async resolve(failedKeys: readonly string[], batch: CommitBatch): Promise<void> {
    if (stepDownIfDeposed(this.ctx, failedKeys, 'a commit found a newer epoch')) return;
    for (const key of failedKeys) {
      try {
        await this.resolveKey(key, batch);
      } catch (error) {
        this.ctx.log.debug({ key, error: errorMessage(error) }, 'commit conflict not resolved');
        await sleep(this.ctx.clock, CONFLICT_RETRY_DELAY_MS);
      }
    }
  }

  private async resolveKey(key: string, batch: CommitBatch): Promise<void> {
    const chunk = batch.chunks.find((write) => write.chunk.key === key)?.chunk;
    // An earlier commit whose answer was lost has been applied.
    if (chunk) chunk.revision = await fetchRevision(this.ctx.store, key);
    else await this.refreshJob(key.slice(keys.jobs.length) as JobId);
  }

  /** Applies a changed job record: the job was cancelled, or a commit whose answer was lost has closed the job. */
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
