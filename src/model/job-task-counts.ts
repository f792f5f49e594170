/** Task counts of jobs, which the leader sends to the other controllers. */
import type { JobId } from './ids.js';

/** Number of done and of running tasks of one job, for display to users. */
export interface JobTaskCounts {
  readonly id: JobId;
  readonly done: number;
  readonly running: number;
}
