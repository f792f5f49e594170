/** Service-level objectives (SLOs) as targets for single jobs, and the slack that they leave. */
import type { JobSpec } from '../model/job.js';
import type { Objective } from '../wire/settings.js';

/** Allowance for a task that runs longer than expected, and for the fetch of its image. */
const RUN_TIME_FACTOR = 1.25;
const FETCH_MS = 4000;
/** The share of a class's jobs that should meet a target where the objective does not say. */
const DEFAULT_SHARE = 0.9;

/** A time by which a job should be complete, or its tasks should have started. */
export interface Target {
  /** Counted from when the job was ready, ms. */
  readonly withinMs: number;
  /** The share of its class that may miss it. */
  readonly allowedMissShare: number;
}

/** The first target that can still be met. */
export interface NextTarget extends Target {
  /** How long the job's tasks may still wait for their start. */
  readonly slackMs: number;
}

type TargetsByClass = Map<string, Target[]>;

function addTarget(targets: TargetsByClass, jobClass: string, target: Target): void {
  const ofClass = targets.get(jobClass);
  if (ofClass) ofClass.push(target);
  else targets.set(jobClass, [target]);
}

/**
 * How long a job may still wait, by its own deadline and its class's objectives. A target that can
 * no longer be met gives way to the next one: hopeless work must not push aside what can be saved.
 */
export class SloTargets {
  private readonly completionTargets: TargetsByClass = new Map();
  private readonly startTargets: TargetsByClass = new Map();
  /** The share of each class that may miss its own deadlines. */
  private readonly deadlineMissShares = new Map<string, number>();

  constructor(objectives: readonly Objective[]) {
    for (const { kind, jobClass, target, share } of objectives) {
      if (jobClass === null) continue;
      const allowedMissShare = 1 - (share ?? DEFAULT_SHARE);
      if (kind === 'deadline') this.deadlineMissShares.set(jobClass, allowedMissShare);
      if (target === null) continue;
      const classTarget = { withinMs: target, allowedMissShare };
      if (kind === 'finished') addTarget(this.completionTargets, jobClass, classTarget);
      if (kind === 'wait') addTarget(this.startTargets, jobClass, classTarget);
    }
  }

  /** All targets for the job's completion, the earliest first. */
  private completionTargetsOf(spec: JobSpec): Target[] {
    const targets = [...(this.completionTargets.get(spec.jobClass) ?? [])];
    if (spec.deadlineS !== null) {
      const allowedMissShare = this.deadlineMissShares.get(spec.jobClass) ?? 1 - DEFAULT_SHARE;
      targets.push({ withinMs: spec.deadlineS * 1000, allowedMissShare });
    }
    return targets.sort((a, b) => a.withinMs - b.withinMs);
  }

  /** Whether a task that is stopped now and starts again leaves its job the target that it would meet otherwise. */
  canRestartInTime(spec: JobSpec, ageMs: number, remainingMs: number, expectedRunMs: number): boolean {
    const target = this.completionTargetsOf(spec).find(({ withinMs }) => ageMs + remainingMs <= withinMs);
    return !target || ageMs + this.estimatedDurationMs(expectedRunMs) <= target.withinMs;
  }

  /** How long a job with tasks of this length is estimated to take from its start. */
  estimatedDurationMs(expectedRunMs: number): number {
    return expectedRunMs * RUN_TIME_FACTOR + FETCH_MS;
  }

  /** The first target for the job's completion that can still be met; null: none is left. */
  nextTarget(spec: JobSpec, ageMs: number, expectedRunMs: number): NextTarget | null {
    for (const target of this.completionTargetsOf(spec)) {
      const slackMs = target.withinMs - ageMs - this.estimatedDurationMs(expectedRunMs);
      if (slackMs > 0) return { ...target, slackMs };
    }
    return null;
  }

  /**
   * How long the job's waiting tasks may still wait, by the targets for its completion and for their start, whichever
   * comes first: a job that has lost one target for its completion would otherwise wait for the next one's sake past
   * the time at which all tasks of its class should have started. Null: no target is left.
   */
  slackMs(spec: JobSpec, ageMs: number, expectedRunMs: number): number | null {
    let minSlackMs = this.nextTarget(spec, ageMs, expectedRunMs)?.slackMs ?? null;
    // Replicas go first in any case, and of them the oldest.
    const startTargets = spec.kind === 'array' ? this.startTargets.get(spec.jobClass) : undefined;
    for (const { withinMs } of startTargets ?? []) {
      const slackMs = withinMs - ageMs - FETCH_MS;
      if (slackMs > 0 && (minSlackMs === null || slackMs < minSlackMs)) minSlackMs = slackMs;
    }
    return minSlackMs;
  }
}
