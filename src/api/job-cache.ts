/** An in-memory cache of the job records that this controller has read. */
import type { JobId, Revision } from '../model/ids.js';
import type { FinalState, JobKind, JobRecord } from '../model/job.js';

/** The cached fields of an accepted job, from the newest record that this controller has read. */
export interface ObservedJob {
  readonly revision: Revision;
  readonly tasks: number;
  readonly kind: JobKind;
  readonly dependencies: readonly JobId[];
  /** The number of separate records that hold dependencies of the job, besides `dependencies`. */
  readonly dependencyRecordCount: number;
}

interface FinalAnswer {
  readonly state: FinalState;
  readonly body: object;
}

const MAX_OPEN_JOB_COUNT = 20_000;
const MAX_FINAL_JOB_COUNT = 4000;

/** A map of bounded size that evicts the entry inserted first (FIFO). */
class BoundedMap<K, V> extends Map<K, V> {
  constructor(private readonly maxSize: number) {
    super();
  }

  override set(key: K, value: V): this {
    super.set(key, value);
    if (this.size > this.maxSize) this.delete(this.keys().next().value as K);
    return this;
  }
}

/**
 * Caches what user requests need of job records. Final states never change, so a cached final state is returned without
 * a request to the store. For an accepted job the cache holds the record's last known revision: before every answer the
 * store must confirm that the record still has this revision (`RevisionConfirmations`).
 */
export class JobCache {
  private readonly openJobs = new BoundedMap<JobId, ObservedJob>(MAX_OPEN_JOB_COUNT);
  private readonly finalJobs = new BoundedMap<JobId, FinalAnswer>(MAX_FINAL_JOB_COUNT);

  /** Removes all entries, to free memory; later requests read the records from the store again. */
  clear(): void {
    this.openJobs.clear();
    this.finalJobs.clear();
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
        this.openJobs.set(id, { revision, tasks: taskCount, kind, dependencies, dependencyRecordCount });
      }
      return;
    }
    this.openJobs.delete(id);
    this.finalJobs.set(id, { state: record.state, body });
  }
}
