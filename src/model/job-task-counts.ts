/** The task counts of a job, as the leader sends them to the other controllers. */
import type { JobId } from './ids.js';

/** How many tasks of one job are done and running, for display to users. */
export interface JobTaskCounts {
  readonly id: JobId;
  readonly done: number;
  readonly running: number;
}
