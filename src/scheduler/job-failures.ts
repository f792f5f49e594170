/** The failed attempts of one job, and the backoff of the job that follows from them. */
import type { MachineId } from '../model/ids.js';
import { type MonotonicTime, plus } from '../model/time.js';

/** The number of machines on which tasks of a job have to fail before the job itself counts as faulty. */
const FAULTY_JOB_MACHINE_COUNT = 3;
/**
 * A faulty job backs off for `BASE_BACKOFF_MS`, doubled once per failure after the second, but at most
 * `MAX_BACKOFF_DOUBLING_COUNT` times and to at most `MAX_BACKOFF_MS`.
 */
const BASE_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;
const MAX_BACKOFF_DOUBLING_COUNT = 6;

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/**
 * Records the machines on which a job's tasks failed. Usually the machine is at fault, and the job avoids it. A job
 * that has failed on `FAULTY_JOB_MACHINE_COUNT` machines is more likely at fault itself: it no longer avoids any
 * machine, and backs off after each further failure, for longer each time up to `MAX_BACKOFF_MS`.
 */
export class JobFailures {
  private failedAttemptCount = 0;
  private readonly failedMachines = new Set<MachineId>();
  private backoffUntil: MonotonicTime | null = null;

  /** The number of the job's failed attempts. */
  get failureCount(): number {
    return this.failedAttemptCount;
  }

  /** The number of machines on which the job's tasks failed. */
  get machineCount(): number {
    return this.failedMachines.size;
  }

  private get isJobFaulty(): boolean {
    return this.failedMachines.size >= FAULTY_JOB_MACHINE_COUNT;
  }

  /** The machines on which no task of the job should start; empty once the job itself counts as faulty. */
  get avoidedMachines(): ReadonlySet<MachineId> {
    return this.isJobFaulty ? NO_MACHINES : this.failedMachines;
  }

  /** Records a task that failed on a machine, and extends the backoff of a faulty job. */
  record(machine: MachineId, now: MonotonicTime): void {
    this.failedAttemptCount++;
    this.failedMachines.add(machine);
    if (!this.isJobFaulty) return;
    const doublings = Math.min(MAX_BACKOFF_DOUBLING_COUNT, this.failedAttemptCount - 2);
    this.backoffUntil = plus(now, Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** doublings));
  }

  /** Whether the job is backing off after failures, so that none of its tasks may start yet. */
  isBackingOff(now: MonotonicTime): boolean {
    return this.backoffUntil !== null && this.backoffUntil > now;
  }
}
