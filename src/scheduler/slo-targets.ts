import { type JobSpec, Priority } from '../model/job.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Objective } from '../wire/settings.js';

/** Room for a task that runs longer than expected, and for its image. */
const LONGER = 1.25;
const FETCH_MS = 4000;
const DEFAULT_SHARE = 0.9;

/** A time by which a job should have ended. */
export interface Target {
  /** From the job's submission. */
  readonly withinMs: number;
  /** The share of its class that may miss it. */
  readonly allowedMissShare: number;
}

/** The first target that can still be met. */
export interface NextTarget extends Target {
  /** Until the job's tasks should have started. */
  readonly slackMs: number;
}

/** A job none of whose tasks has been given a machine for this long goes ahead of its rank. */
const STARVED_MS = 120_000;

/**
 * Whether a job waits unserved for too long. Work whose targets are lost goes last and low ranks go
 * behind high ones; on a full cluster both could wait for ever.
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
  if (job.spec.priority === Priority.Production || job.assignedCount > 0 || ageMs <= STARVED_MS) return false;
  return job.lastPlacedAt === null || since(now, job.lastPlacedAt) > STARVED_MS;
}

/**
 * How long a job may still wait, by its own deadline and its class's objectives. A target that can
 * no longer be met gives way to the next one: hopeless work must not push aside what can be saved.
 */
export class SloTargets {
  private readonly finished = new Map<string, Target[]>();
  /** When tasks should have started, by class. */
  private readonly started = new Map<string, Target[]>();
  private readonly deadline = new Map<string, number>();

  constructor(objectives: readonly Objective[]) {
    for (const { kind, jobClass, target, share } of objectives) {
      if (jobClass === null) continue;
      const allowed = 1 - (share ?? DEFAULT_SHARE);
      if (kind === 'deadline') this.deadline.set(jobClass, allowed);
      if (target === null) continue;
      if (kind === 'finished')
        addTarget(this.finished, jobClass, { withinMs: target, allowedMissShare: allowed });
      if (kind === 'wait') addTarget(this.started, jobClass, { withinMs: target, allowedMissShare: allowed });
    }
  }

  private targets(spec: JobSpec): Target[] {
    const targets = [...(this.finished.get(spec.jobClass) ?? [])];
    if (spec.deadlineS !== null) {
      const allowed = this.deadline.get(spec.jobClass) ?? 1 - DEFAULT_SHARE;
      targets.push({ withinMs: spec.deadlineS * 1000, allowedMissShare: allowed });
    }
    return targets.sort((a, b) => a.withinMs - b.withinMs);
  }

  /** Whether a task that is stopped now and starts again leaves its job the target that it would meet. */
  canRestartInTime(spec: JobSpec, ageMs: number, leftMs: number, expectedRunMs: number): boolean {
    const within = this.targets(spec).find((t) => ageMs + leftMs <= t.withinMs);
    return !within || ageMs + this.estimatedDurationMs(expectedRunMs) <= within.withinMs;
  }

  /** What a job with tasks of this length is reckoned to take from its start. */
  estimatedDurationMs(expectedRunMs: number): number {
    return expectedRunMs * LONGER + FETCH_MS;
  }

  /** The first target for the job's end that still can be met; null: no such target is left. */
  nextTarget(spec: JobSpec, ageMs: number, expectedRunMs: number): NextTarget | null {
    for (const target of this.targets(spec)) {
      const slackMs = target.withinMs - ageMs - this.estimatedDurationMs(expectedRunMs);
      if (slackMs > 0) return { ...target, slackMs };
    }
    return null;
  }

  /**
   * Until the job's waiting tasks should start, for its end or for their start, whichever comes first:
   * a job that has lost one target for its end would otherwise wait for the next one's sake past
   * the time at which all tasks of its class should have begun. Null: nothing is asked of it any more.
   */
  slackMs(spec: JobSpec, ageMs: number, expectedRunMs: number): number | null {
    let least = this.nextTarget(spec, ageMs, expectedRunMs)?.slackMs ?? null;
    // Replicas go first in any case, and of them the oldest.
    const starts = spec.kind === 'array' ? this.started.get(spec.jobClass) : undefined;
    for (const { withinMs } of starts ?? []) {
      const slackMs = withinMs - ageMs - FETCH_MS;
      if (slackMs > 0 && (least === null || slackMs < least)) least = slackMs;
    }
    return least;
  }
}

function addTarget(targets: Map<string, Target[]>, jobClass: string, target: Target): void {
  const known = targets.get(jobClass);
  if (known) known.push(target);
  else targets.set(jobClass, [target]);
}
