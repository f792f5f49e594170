/** The queue of waiting tasks, and the estimate which of them the current fleet would start too late. */
import { type MonotonicTime, since } from '../model/time.js';
import type { CapacityDemand } from './capacity-plan.js';

/** Waiting tasks of one job that do not fit into the free capacity. */
export interface QueuedWork extends CapacityDemand {
  /** The expected run time of a task, in milliseconds. */
  readonly runMs: number;
  /**
   * How long the job's last task may still wait after the boot of a new machine, in milliseconds; null: no target can
   * be met by then.
   */
  readonly slackMs: number | null;
  /** The multiple of its time limit that the job may take before on-demand machines are requested (`SlackFactors`). */
  readonly slackFactor: number;
}

/** The slack of work that can no longer meet any target, so that the work still completes in bounded time. */
const NO_TARGET_SLACK_MS = 90_000;
/** The part of the CPUs that is assumed to be usable: packing leaves gaps, and some work is lost and repeated. */
const PACKING_EFFICIENCY_RATIO = 0.8;
/** A queue that has been overdue for this time is not a temporary burst: slack factors are no longer applied. */
const SLACK_FACTOR_DECAY_MS = 45_000;

/**
 * Reduces the effect of the jobs' slack factors to zero while the queue stays overdue. Slack factors delay the rental
 * of machines during bursts, most of which end before a machine has booted; a persistent queue needs the machines in
 * any case and gets them sooner.
 */
export class SlackFactorDecay {
  private overdueSince: MonotonicTime | null = null;

  /** Returns the scale to apply to the slack factors, from 1 (fully applied) to 0 (not applied). */
  update(isOverdue: boolean, now: MonotonicTime): number {
    if (!isOverdue) {
      this.overdueSince = null;
      return 1;
    }
    this.overdueSince ??= now;
    return Math.max(0, 1 - since(now, this.overdueSince) / SLACK_FACTOR_DECAY_MS);
  }
}

/** The minimum slack assumed for queued work; a machine requested now cannot start work sooner. */
const MIN_SLACK_MS = 5000;
/** The minimum CPUs that a task counts for, so that tasks without CPU requests do not divide by zero. */
const MIN_TASK_CPUS = 0.01;

/**
 * Returns the part of the queue that the current fleet would not start in time. The estimate assumes that `cpus` CPUs
 * process the queue job by job, after `runningCpuMs` of work that is already running. This corresponds to the expected
 * releases of `CapacityProjection`, but counted until each job's own time limit instead of over one slot.
 *
 * `slackFactorScale` is the scale of the jobs' slack factors, from 1 (fully applied) to 0 (not applied).
 */
export function overdueDemand(
  queue: readonly QueuedWork[],
  cpus: number,
  runningCpuMs: number,
  slackFactorScale = 1,
): CapacityDemand[] {
  const overdue: CapacityDemand[] = [];
  let cpuMsAhead = runningCpuMs;
  let usableCpus = cpus * PACKING_EFFICIENCY_RATIO;
  for (const job of queue) {
    const taskCpus = Math.max(MIN_TASK_CPUS, job.spec.cpus);
    cpuMsAhead += job.tasks * job.runMs * taskCpus;
    // The job's last tasks start one run time before all work up to and including this job is done, and only their
    // start must fall within the slack.
    const deadlineMs = Math.max(MIN_SLACK_MS, job.slackMs ?? NO_TARGET_SLACK_MS) + job.runMs;
    const allowedMs = deadlineMs * (1 + (job.slackFactor - 1) * slackFactorScale);
    const missingCpus = cpuMsAhead / allowedMs - usableCpus;
    if (missingCpus <= 0) continue;
    const tasks = Math.min(job.tasks, Math.ceil(missingCpus / taskCpus));
    overdue.push({ spec: job.spec, tasks, zones: job.zones });
    usableCpus += tasks * taskCpus;
  }
  return overdue;
}
