/** Reads the records that the dependency index lacks, many with each request, at the rate of reads for users. */
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { JobId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import { keys } from '../store/keys.js';
import type { DependencyIndex, IndexedJob } from './dependency-index.js';
import type { FoundRecord, JobBatchReader } from './job-batch-reader.js';
import type { UserBudgets } from './user-budgets.js';

const RETRY_DELAY_MS = 300;
/** Delay before records that cannot be decoded are read again: an operator may have repaired them. */
const UNREADABLE_RETRY_DELAY_MS = 5000;
/** The number of jobs that one request may cover, in the order in which they became unresolved. */
const MAX_JOBS_PER_READ = 500;

/** The collaborators of `DependencyResolver`. */
interface ResolverParts {
  readonly index: DependencyIndex;
  readonly batchReader: JobBatchReader;
  readonly budgets: Pick<UserBudgets, 'acquireJobRead'>;
}

/**
 * Resolves the unresolved jobs of the index, in the order in which they came, whoever has asked about them: the work for
 * a query that was refused is not repeated for the next one.
 */
export class DependencyResolver {
  private isRunning = false;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'log' | 'store' | 'storeLimits'>,
    private readonly parts: ResolverParts,
  ) {}

  /** Starts reading unless it is under way; the reading ends when nothing is unresolved. */
  start(): void {
    // The loop handles its own errors.
    if (!this.isRunning) void this.run();
  }

  private async run(): Promise<void> {
    const { index, budgets } = this.parts;
    const { clock, log } = this.ctx;
    this.isRunning = true;
    while (index.unresolvedCount > 0) {
      await budgets.acquireJobRead();
      try {
        await this.sendNextRequest();
      } catch (error) {
        log.debug({ error: errorMessage(error) }, 'dependencies read failed');
        await sleep(clock, RETRY_DELAY_MS);
      }
    }
    this.isRunning = false;
  }

  private async sendNextRequest(): Promise<void> {
    const { index } = this.parts;
    const unconfirmed = index.jobsToConfirm(this.ctx.storeLimits.maxCompares);
    if (unconfirmed.length > 0) return this.confirm(unconfirmed);
    const jobs = index.jobsToRead(MAX_JOBS_PER_READ);
    const [first] = jobs;
    if (first && first.unreadRecordCount > 0) await this.readDependencies(first);
    else await this.readRecords(jobs.filter(({ unreadRecordCount }) => unreadRecordCount === 0));
  }

  private async confirm(jobs: readonly IndexedJob[]): Promise<void> {
    const compares = jobs.flatMap(({ id, revision }) => (revision ? [{ key: keys.job(id), revision }] : []));
    const result = await this.ctx.store.txn(compares, []);
    const failedKeys = new Set(result.ok ? [] : result.failed);
    for (const job of jobs) this.parts.index.recordComparison(job, !failedKeys.has(keys.job(job.id)));
  }

  private async readRecords(jobs: readonly IndexedJob[]): Promise<void> {
    const jobById = new Map(jobs.map((job) => [job.id, job]));
    const found = await this.parts.batchReader.readSome([...jobById.keys()]);
    let hasProgress = false;
    for (const [id, record] of found) {
      const job = jobById.get(id);
      if (job && this.recordFound(job, record)) hasProgress = true;
    }
    if (!hasProgress) await sleep(this.ctx.clock, UNREADABLE_RETRY_DELAY_MS);
  }

  /** Applies what was read; false: the job is as unresolved as before. */
  private recordFound(job: IndexedJob, found: FoundRecord): boolean {
    const { index } = this.parts;
    // A job that left the index meanwhile has ended, and what was read may be older.
    if (!index.contains(job)) return true;
    if (found.kind === 'unreadable') {
      const fields = { key: keys.job(job.id), error: errorMessage(found.error) };
      this.ctx.log.error(fields, 'dependency unreadable; queries for its dependents refused');
      index.postponeRead(job);
      return false;
    }
    if (found.kind === 'absent') index.recordAbsent(job);
    else if (found.job.record.state === 'accepted')
      index.addAccepted(found.job.record, found.job.revision, true);
    else index.applyEnded(job.id, found.job.record.state);
    return true;
  }

  private async readDependencies(job: IndexedJob): Promise<void> {
    const dependencies: JobId[] = [];
    for (let number = 0; number < job.unreadRecordCount; number++) {
      if (number > 0) await this.parts.budgets.acquireJobRead();
      const row = await this.ctx.store.get(keys.dependencies(job.id, number));
      // The records of a job that has ended are deleted; the watch reports its end.
      if (row) dependencies.push(...(row.value as JobId[]));
    }
    this.parts.index.addDependencies(job, dependencies);
  }
}
