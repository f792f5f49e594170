/** An in-memory cache of the job records that this controller has read. */
import type { JobId, Revision } from '../model/ids.js';
import type { FinalState, JobKind, JobRecord } from '../model/job.js';
import type { Clock } from '../model/time.js';
import { RecencyMap } from './recency-map.js';

/** The cached fields of an accepted job, from the newest record that this controller has read. */
export interface ObservedJob {
  readonly revision: Revision;
  readonly tasks: number;
  readonly kind: JobKind;
  /** Whether the job had to wait for other jobs when it was accepted. */
  readonly hasDependencies: boolean;
}

interface FinalAnswer {
  readonly state: FinalState;
  readonly body: object;
}

const MAX_OPEN_JOB_COUNT = 20_000;
const MAX_FINAL_JOB_COUNT = 4000;
/**
 * The time after which an entry counts as idle, for each controller of the site: twelve times the interval at which
 * users poll, as a user may poll any of the controllers.
 */
const IDLE_MS_PER_CONTROLLER = 60_000;

/**
 * Caches what user requests need of job records. Final states never change, so a cached final state is returned without
 * a request to the store. For an accepted job the cache holds the record's last known revision: before every answer the
 * store must confirm that the record still has this revision (`RevisionConfirmations`).
 */
export class JobCache {
  private readonly openJobs: RecencyMap<JobId, ObservedJob>;
  private readonly finalJobs: RecencyMap<JobId, FinalAnswer>;

  constructor(
    clock: Clock,
    private readonly controllerCount: number,
  ) {
    this.openJobs = new RecencyMap(clock, MAX_OPEN_JOB_COUNT);
    this.finalJobs = new RecencyMap(clock, MAX_FINAL_JOB_COUNT);
  }

  /** The number of cached jobs. */
  get size(): number {
    return this.openJobs.size + this.finalJobs.size;
  }

  /**
   * Removes the jobs that nobody has asked about for long, to free memory, and returns their number. The jobs that users
   * poll stay: reading all of them again would take minutes where there are thousands.
   */
  evictIdle(): number {
    const idleMs = IDLE_MS_PER_CONTROLLER * this.controllerCount;
    return this.openJobs.evictIdle(idleMs) + this.finalJobs.evictIdle(idleMs);
  }

  /** Whether a state of the job is cached. */
  has(id: JobId): boolean {
    return this.openJobs.has(id) || this.finalJobs.has(id);
  }

  /** Returns the cached fields of an accepted job; undefined if the job is not cached or has ended. */
  observed(id: JobId): ObservedJob | undefined {
    return this.openJobs.get(id);
  }

  /** Returns the response body for a job that has ended; undefined if no final state of the job is cached. */
  finalBody(id: JobId): object | undefined {
    return this.finalJobs.get(id)?.body;
  }

  finalState(id: JobId): FinalState | undefined {
    return this.finalJobs.get(id)?.state;
  }

  /**
   * Caches a job record. The record of an accepted job is ignored if the same or a newer revision, or a final state, is
   * cached. `body` is the response body that user requests get once the job has ended.
   */
  update(id: JobId, record: JobRecord, revision: Revision, body: object): void {
    if (record.state === 'accepted') {
      const cached = this.openJobs.get(id);
      if (!this.finalJobs.has(id) && (!cached || cached.revision < revision)) {
        const { taskCount, kind, dependencies, dependencyRecordCount } = record.spec;
        const hasDependencies = dependencies.length > 0 || dependencyRecordCount > 0;
        this.openJobs.set(id, { revision, tasks: taskCount, kind, hasDependencies });
      }
      return;
    }
    this.openJobs.delete(id);
    this.finalJobs.set(id, { state: record.state, body });
  }
}
