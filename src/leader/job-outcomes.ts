/** What is learned from jobs that are over, and told to the log. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { SloTargets } from '../scheduler/slo-targets.js';
import type { LeaderContext } from '../core/context.js';

interface OutcomeParts {
  readonly fleet: FleetManager;
  readonly lifetimes: Lifetimes;
  readonly sloTargets: SloTargets;
  readonly slackFactors: SlackFactors;
}

/** In seconds, with one decimal. */
const rounded = (ms: number): number => Math.round(ms / 100) / 10;

/** Judges each job that ends by its class's targets. */
export class JobOutcomes {
  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: OutcomeParts,
  ) {}

  /** The job's end is durable. */
  closed(job: ActiveJob): void {
    if (!job.isCancelled) this.judge(job);
    const { id, jobClass, taskCount, estimatedRunS } = job.spec;
    const now = this.ctx.clock.now();
    const ago = (at: MonotonicTime | null): number | null => (at === null ? null : rounded(since(now, at)));
    this.ctx.log.info(
      {
        job: id,
        jobClass,
        tasks: taskCount,
        cancelled: job.isCancelled,
        estimatedRunS,
        ageS: rounded(this.ctx.clock.wall() - job.acceptedAt),
        readyAgoS: rounded(this.ctx.clock.wall() - job.readyAt),
        firstRunAgoS: ago(job.history.firstRunAt),
        lastRunAgoS: ago(job.history.lastRunAt),
        lost: job.history.lostCount,
      },
      'job closed',
    );
  }

  /** Judged by the first target that renting for the job could have met. */
  private judge(job: ActiveJob): void {
    const { fleet, lifetimes, sloTargets, slackFactors } = this.parts;
    const target = sloTargets.nextTarget(
      job.effectiveSpec,
      fleet.slowestBoot(),
      lifetimes.expectedRunMs(job.spec),
    );
    if (!target) return;
    const age = this.ctx.clock.wall() - job.readyAt;
    slackFactors.recordCompletion(job.spec.jobClass, age > target.withinMs, target.allowedMissShare);
  }
}
