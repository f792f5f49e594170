/** Logs ended jobs and adjusts the slack factors of job classes from their outcomes. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { SloTargets } from '../scheduler/slo-targets.js';
import type { LeaderContext } from '../core/context.js';

/** The leader components that `JobOutcomes` reads or updates. */
interface JobOutcomesParts {
  readonly fleet: FleetManager;
  readonly lifetimes: Lifetimes;
  readonly sloTargets: SloTargets;
  readonly slackFactors: SlackFactors;
}

/** Converts milliseconds to seconds with one decimal. */
function roundedSeconds(durationMs: number): number {
  return Math.round(durationMs / 100) / 10;
}

/** Logs each ended job and compares each one that was not cancelled with its completion targets. */
export class JobOutcomes {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: JobOutcomesParts,
  ) {}

  /** Records and logs a job whose final state is durable. */
  recordClosed(job: ActiveJob): void {
    if (!job.isCancelled) this.recordObjective(job);
    const { id, jobClass, taskCount, estimatedRunS } = job.spec;
    const now = this.ctx.clock.now();
    const secondsSince = (time: MonotonicTime | null): number | null =>
      time === null ? null : roundedSeconds(since(now, time));
    this.ctx.log.info(
      {
        job: id,
        jobClass,
        tasks: taskCount,
        cancelled: job.isCancelled,
        estimatedRunS,
        ageS: roundedSeconds(this.ctx.clock.wall() - job.acceptedAt),
        readyAgoS: roundedSeconds(this.ctx.clock.wall() - job.readyAt),
        firstRunAgoS: secondsSince(job.history.firstRunAt),
        lastRunAgoS: secondsSince(job.history.lastRunAt),
        lostAttempts: job.history.lostCount,
      },
      'job closed',
    );
  }

  /**
   * Records whether the job missed its first completion target (its deadline or an objective of its class) that a
   * machine rented for the job could have met.
   */
  private recordObjective(job: ActiveJob): void {
    const { fleet, lifetimes, sloTargets, slackFactors } = this.parts;
    const objective = sloTargets.nextCompletionTarget(
      job.effectiveSpec,
      fleet.slowestBootMs(),
      lifetimes.expectedRunMs(job.spec),
    );
    if (!objective) return;
    const ageMs = this.ctx.clock.wall() - job.readyAt;
    slackFactors.recordCompletion(job.spec.jobClass, ageMs > objective.withinMs, objective.allowedMissRatio);
  }
}
