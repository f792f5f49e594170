/** Targets for single jobs, derived from service-level objectives (SLOs), and the slack that these targets leave. */
import type { JobSpec } from '../model/job.js';
import type { Objective } from '../wire/settings.js';

/** Allowances for a task that runs longer than expected (a factor), and for the fetch of its image (milliseconds). */
const RUN_TIME_MARGIN_FACTOR = 1.25;
const IMAGE_FETCH_ALLOWANCE_MS = 4000;
/**
 * The share of a class's jobs that should meet a target if the objective does not specify a share, or meet their own
 * deadline if the class has no deadline objective.
 */
const DEFAULT_TARGET_SHARE = 0.9;

/** A time limit for the completion of a job, or for the start of its tasks. */
export interface Target {
  /** The time limit in milliseconds, counted from when the job became ready. */
  readonly withinMs: number;
  /** The share of the class's jobs that may miss the target. */
  readonly allowedMissRatio: number;
}

/** The first of a job's targets that can still be met. */
export interface NextTarget extends Target {
  /** How long the start of the job's tasks may still be delayed without missing the target, in milliseconds. */
  readonly slackMs: number;
}

type TargetsByClass = Map<string, Target[]>;

function addTarget(targets: TargetsByClass, jobClass: string, target: Target): void {
  const classTargets = targets.get(jobClass);
  if (classTargets) classTargets.push(target);
  else targets.set(jobClass, [target]);
}

/**
 * Computes how long a job may still wait, from its own deadline and the objectives of its class. A target that can no
 * longer be met is replaced by the next one, so that work whose target is lost does not displace work whose target can
 * still be met.
 */
export class SloTargets {
  private readonly completionTargets: TargetsByClass = new Map();
  private readonly startTargets: TargetsByClass = new Map();
  /** The share of jobs that may miss their own deadline, by job class. */
  private readonly deadlineMissRatios = new Map<string, number>();

  constructor(objectives: readonly Objective[]) {
    for (const { kind, jobClass, target, share } of objectives) {
      if (jobClass === null) continue;
      const allowedMissRatio = 1 - (share ?? DEFAULT_TARGET_SHARE);
      if (kind === 'deadline') this.deadlineMissRatios.set(jobClass, allowedMissRatio);
      if (target === null) continue;
      const classTarget = { withinMs: target, allowedMissRatio };
      if (kind === 'finished') addTarget(this.completionTargets, jobClass, classTarget);
      if (kind === 'wait') addTarget(this.startTargets, jobClass, classTarget);
    }
  }

  /** Returns all targets for the job's completion, earliest first. */
  private completionTargetsOf(spec: JobSpec): Target[] {
    const targets = [...(this.completionTargets.get(spec.jobClass) ?? [])];
    if (spec.deadlineS !== null) {
      const allowedMissRatio = this.deadlineMissRatios.get(spec.jobClass) ?? 1 - DEFAULT_TARGET_SHARE;
      targets.push({ withinMs: spec.deadlineS * 1000, allowedMissRatio });
    }
    return targets.sort((left, right) => left.withinMs - right.withinMs);
  }

  /**
   * Whether a job with a task that is stopped now and restarted still meets the completion target that it would meet
   * without the stop. True if the job would meet no target anyway.
   */
  canRestartInTime(spec: JobSpec, ageMs: number, remainingMs: number, expectedRunMs: number): boolean {
    const target = this.completionTargetsOf(spec).find(({ withinMs }) => ageMs + remainingMs <= withinMs);
    return !target || ageMs + this.estimatedDurationMs(expectedRunMs) <= target.withinMs;
  }

  /**
   * Returns the estimated time in milliseconds from the start of a job's tasks to its completion, given the tasks'
   * expected run time.
   */
  estimatedDurationMs(expectedRunMs: number): number {
    return expectedRunMs * RUN_TIME_MARGIN_FACTOR + IMAGE_FETCH_ALLOWANCE_MS;
  }

  /** Returns the first target for the job's completion that can still be met; null: no target is left. */
  nextCompletionTarget(spec: JobSpec, ageMs: number, expectedRunMs: number): NextTarget | null {
    for (const target of this.completionTargetsOf(spec)) {
      const slackMs = target.withinMs - ageMs - this.estimatedDurationMs(expectedRunMs);
      if (slackMs > 0) return { ...target, slackMs };
    }
    return null;
  }

  /**
   * Returns how long the job's waiting tasks may still wait, in milliseconds, by the targets for completion and for
   * start, whichever comes first. Without the start targets, a job that has lost one completion target would wait for
   * the next one beyond the time by which all tasks of its class should have started. Null: no target is left.
   */
  slackMs(spec: JobSpec, ageMs: number, expectedRunMs: number): number | null {
    let minSlackMs = this.nextCompletionTarget(spec, ageMs, expectedRunMs)?.slackMs ?? null;
    // Start targets do not apply to service replicas, which are placed before all other work, oldest first.
    const startTargets = spec.kind === 'array' ? this.startTargets.get(spec.jobClass) : undefined;
    for (const { withinMs } of startTargets ?? []) {
      const slackMs = withinMs - ageMs - IMAGE_FETCH_ALLOWANCE_MS;
      if (slackMs > 0 && (minSlackMs === null || slackMs < minSlackMs)) minSlackMs = slackMs;
    }
    return minSlackMs;
  }
}
