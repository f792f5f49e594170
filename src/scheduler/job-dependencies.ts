/** What keeps a job from starting: the jobs that it depends on. */
import type { JobId } from '../model/ids.js';

/** The dependencies of one unfinished job, as far as they are not known to be met. */
export class JobDependencies {
  /** Jobs that have to be done first and are not known to be. */
  readonly unmet = new Set<JobId>();
  /** The list of dependencies has overflow records that are not read yet. */
  hasUnreadRecords = false;

  /** Whether no task of the job may start yet. */
  get isBlocked(): boolean {
    return this.unmet.size > 0 || this.hasUnreadRecords;
  }
}
