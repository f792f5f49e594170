/** Detects jobs that might never be served by their rank alone. */
import { type JobSpec, Priority } from '../model/job.js';
import { type MonotonicTime, since } from '../model/time.js';

/** The time without a placement after which a job without placed tasks goes ahead of its rank. */
const STARVATION_THRESHOLD_MS = 120_000;

/**
 * Whether a job has waited for longer than the starvation threshold without a placement. Production jobs and jobs with
 * a task that may be on a machine are never starving. Work whose targets are lost is served last within its rank, and
 * low priorities are served after high ones; on a full cluster both could otherwise wait forever.
 */
export function isStarving(
  job: {
    readonly spec: JobSpec;
    readonly lastPlacedAt: MonotonicTime | null;
    readonly assignedCount: number;
  },
  ageMs: number,
  now: MonotonicTime,
): boolean {
  if (job.spec.priority === Priority.Production) return false;
  if (job.assignedCount > 0 || ageMs <= STARVATION_THRESHOLD_MS) return false;
  return job.lastPlacedAt === null || since(now, job.lastPlacedAt) > STARVATION_THRESHOLD_MS;
}
