/** What this controller has seen of jobs. */
import type { JobId, Revision } from '../model/ids.js';
import type { FinalState, JobKind, JobRecord } from '../model/job.js';

/** What was last seen of an accepted job. */
export interface ObservedJob {
  readonly revision: Revision;
  readonly tasks: number;
  readonly kind: JobKind;
  readonly dependencies: readonly JobId[];
  /** Number of further records that hold its dependencies. */
  readonly dependencyRecordCount: number;
}

interface FinalAnswer {
  readonly state: FinalState;
  readonly body: object;
}

const MAX_OPEN_JOBS = 20_000;
const MAX_FINAL_JOBS = 4000;

/** A map of bounded size: the entry that was inserted first goes first. */
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
 * Final states never change and may be answered from here. Of an accepted job only the revision is known that its
 * record had: whether it still has it, the store must confirm for every answer (`RevisionConfirmations`).
 */
export class JobCache {
  private readonly openJobs = new BoundedMap<JobId, ObservedJob>(MAX_OPEN_JOBS);
  private readonly finalJobs = new BoundedMap<JobId, FinalAnswer>(MAX_FINAL_JOBS);

  /** Drops everything: it can be read again. */
  clear(): void {
    this.openJobs.clear();
    this.finalJobs.clear();
  }

  /** What was last seen of a job that is not known to have ended. */
  observed(id: JobId): ObservedJob | undefined {
    return this.openJobs.get(id);
  }

  /** The answer for a job that has ended. */
  finalBody(id: JobId): object | undefined {
    return this.finalJobs.get(id)?.body;
  }

  finalState(id: JobId): FinalState | undefined {
    return this.finalJobs.get(id)?.state;
  }

  /** Remembers a record, unless a newer one was seen; `body` is what a user is answered with once the job has ended. */
  learn(id: JobId, record: JobRecord, revision: Revision, body: object): void {
    if (record.state === 'accepted') {
      const before = this.openJobs.get(id);
      if (!this.finalJobs.has(id) && (!before || before.revision < revision)) {
        const { taskCount, kind, dependencies, dependencyRecordCount } = record.spec;
        this.openJobs.set(id, { revision, tasks: taskCount, kind, dependencies, dependencyRecordCount });
      }
      return;
    }
    this.openJobs.delete(id);
    this.finalJobs.set(id, { state: record.state, body });
  }
}
