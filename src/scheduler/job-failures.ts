/** The failed attempts of one job, the machines that the job avoids because of them, and the backoff of the job. */
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
/**
 * How long a job avoids a machine after its first failure there; doubled with each further one. Longer than the pauses
 * of a machine's quarantine, so that a job that fails everywhere leaves the next trial to other jobs.
 */
const BASE_AVOIDANCE_MS = 40_000;
const MAX_AVOIDANCE_MS = 60_000;

/** The number of machines that are remembered for one job; of more, those of the earliest failures are forgotten. */
const MAX_REMEMBERED_MACHINE_COUNT = 64;

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/** The failures of one job on one machine. */
interface MachineFailures {
  readonly count: number;
  readonly avoidedUntil: MonotonicTime;
}

/**
 * Records the machines on which a job's tasks failed. Usually the machine is at fault, and the job avoids it for some
 * time. A job that has failed on `FAULTY_JOB_MACHINE_COUNT` machines is more likely at fault itself, until one of its
 * tasks succeeds: it no longer avoids any machine, and backs off after each further failure, for longer each time up to
 * `MAX_BACKOFF_MS`.
 */
export class JobFailures {
  /** The number of failed attempts since a task of the job last succeeded. */
  private failedAttemptCount = 0;
  /** The machines on which attempts failed, and count against the job, since a task of the job last succeeded. */
  private readonly machinesAgainstJob = new Set<MachineId>();
  /** By machine, the one with the earliest last failure first. */
  private readonly byMachine = new Map<MachineId, MachineFailures>();
  private backoffUntil: MonotonicTime | null = null;

  /** The number of the job's failed attempts since one of its tasks last succeeded. */
  get failureCount(): number {
    return this.failedAttemptCount;
  }

  /** The number of machines whose failures count against the job, up to the number at which the job counts as faulty. */
  get machineCount(): number {
    return this.machinesAgainstJob.size;
  }

  /** Whether the job itself is likely at fault. */
  get isJobFaulty(): boolean {
    return this.machineCount >= FAULTY_JOB_MACHINE_COUNT;
  }

  /** The machines on which the job's tasks failed. */
  get failedMachines(): Pick<ReadonlySet<MachineId>, 'has' | 'size'> {
    return this.byMachine;
  }

  /** Returns the machines on which no task of the job should start yet; none once the job itself counts as faulty. */
  avoidedMachines(now: MonotonicTime): ReadonlySet<MachineId> {
    if (this.byMachine.size === 0 || this.isJobFaulty) return NO_MACHINES;
    const avoided = new Set<MachineId>();
    for (const [machine, { avoidedUntil }] of this.byMachine) if (avoidedUntil > now) avoided.add(machine);
    return avoided;
  }

  /**
   * Records a task that failed on a machine, and extends the backoff of a faulty job. `countsAgainstJob` is false for a
   * machine that is known to fail tasks.
   */
  record(machine: MachineId, now: MonotonicTime, { countsAgainstJob = true } = {}): void {
    this.failedAttemptCount++;
    this.recordMachine(machine, now);
    if (!countsAgainstJob) return;
    if (!this.isJobFaulty) this.machinesAgainstJob.add(machine);
    if (!this.isJobFaulty) return;
    const doublings = Math.min(MAX_BACKOFF_DOUBLING_COUNT, this.failedAttemptCount - 2);
    this.backoffUntil = plus(now, Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** doublings));
  }

  /** Records a task of the job that succeeded: the job is not at fault, and ends its backoff. */
  recordSuccess(): void {
    if (this.failedAttemptCount === 0) return;
    this.failedAttemptCount = 0;
    this.machinesAgainstJob.clear();
    this.backoffUntil = null;
  }

  private recordMachine(machine: MachineId, now: MonotonicTime): void {
    const earlierCount = this.byMachine.get(machine)?.count ?? 0;
    const avoidanceMs = Math.min(MAX_AVOIDANCE_MS, BASE_AVOIDANCE_MS * 2 ** earlierCount);
    this.byMachine.delete(machine);
    this.byMachine.set(machine, { count: earlierCount + 1, avoidedUntil: plus(now, avoidanceMs) });
    const [oldest] = this.byMachine.keys();
    if (this.byMachine.size > MAX_REMEMBERED_MACHINE_COUNT && oldest !== undefined)
      this.byMachine.delete(oldest);
  }

  /** Whether the job is backing off after failures, so that none of its tasks may start yet. */
  isBackingOff(now: MonotonicTime): boolean {
    return this.backoffUntil !== null && this.backoffUntil > now;
  }
}
