/** The dependencies that block the start of one job. */
import type { JobId } from '../model/ids.js';

/** The dependencies of one unfinished job that are not known to be met. */
export class JobDependencies {
  /** Jobs that have to be done before this job may start, and are not known to be done. */
  readonly unmet = new Set<JobId>();
  /** Whether the job's list of dependencies has overflow records that have not been read yet. */
  hasUnreadRecords = false;

  /** Whether a dependency is unmet or still unread, so that no task of the job may start. */
  get isBlocked(): boolean {
    return this.unmet.size > 0 || this.hasUnreadRecords;
  }
}
