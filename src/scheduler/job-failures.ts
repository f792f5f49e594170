/** Failed attempts of one job, and how long the job backs off for them. */
import type { MachineId } from '../model/ids.js';
import { type MonotonicTime, plus } from '../model/time.js';

/** Machines on which a job's tasks fail before the job itself is held to be at fault. */
const FAULTY_JOB_MACHINES = 3;
const FIRST_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;
const MAX_BACKOFF_DOUBLINGS = 6;

const NO_MACHINES: ReadonlySet<MachineId> = new Set();

/**
 * Where a job's tasks failed. Mostly the machine is at fault, and the job avoids it. One that fails on several is
 * more likely at fault itself: it avoids no machine any more, and waits for longer after each further failure.
 */
export class JobFailures {
  private count = 0;
  private readonly machines = new Set<MachineId>();
  private backoffUntil: MonotonicTime | null = null;

  /** On how many machines the job's tasks failed. */
  get machineCount(): number {
    return this.machines.size;
  }

  private get isJobFaulty(): boolean {
    return this.machines.size >= FAULTY_JOB_MACHINES;
  }

  /** Machines on which none of the job's tasks should start. */
  get avoidedMachines(): ReadonlySet<MachineId> {
    return this.isJobFaulty ? NO_MACHINES : this.machines;
  }

  /** Records a task that failed on a machine. */
  record(machine: MachineId, now: MonotonicTime): void {
    this.count++;
    this.machines.add(machine);
    if (!this.isJobFaulty) return;
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.count - 2);
    this.backoffUntil = plus(now, Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings));
  }

  /** Whether none of the job's tasks may start yet. */
  isBackingOff(now: MonotonicTime): boolean {
    return this.backoffUntil !== null && this.backoffUntil > now;
  }
}
