/** Detects jobs that would never be served by their rank alone. */
import { type JobSpec, Priority } from '../model/job.js';
import { type MonotonicTime, since } from '../model/time.js';

/** A job none of whose tasks was placed for this long goes ahead of its rank. */
const STARVATION_MS = 120_000;

/**
 * Whether a job has waited without being served for too long. Work whose targets are lost goes last, and low
 * priorities go behind high ones; on a full cluster both could wait for ever.
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
  if (job.assignedCount > 0 || ageMs <= STARVATION_MS) return false;
  return job.lastPlacedAt === null || since(now, job.lastPlacedAt) > STARVATION_MS;
}
