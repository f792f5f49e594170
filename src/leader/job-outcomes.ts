/** What is learned from jobs that are over, and told to the log. */
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { type Steady, since } from '../model/time.js';
import type { OpenJob } from '../scheduler/active-job.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { Urgency } from '../scheduler/urgency.js';
import type { LeaderContext } from '../core/context.js';

interface OutcomeParts {
  readonly fleet: FleetManager;
  readonly lifetimes: Lifetimes;
  readonly urgency: Urgency;
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
  closed(job: OpenJob): void {
    if (!job.cancelled) this.judge(job);
    const { id, jobClass, tasks, estimateS } = job.spec;
    const now = this.ctx.clock.now();
    const ago = (at: Steady | null): number | null => (at === null ? null : rounded(since(now, at)));
    this.ctx.log.info(
      {
        job: id,
        jobClass,
        tasks,
        cancelled: job.cancelled,
        estimateS,
        ageS: rounded(this.ctx.clock.wall() - job.acceptedAt),
        readyAgoS: rounded(this.ctx.clock.wall() - job.readyAt),
        firstRunAgoS: ago(job.firstRunAt),
        lastRunAgoS: ago(job.lastRunAt),
        lost: job.lost,
      },
      'job closed',
    );
  }

  /** Judged by the first target that renting for the job could have met. */
  private judge(job: OpenJob): void {
    const { fleet, lifetimes, urgency, slackFactors } = this.parts;
    const target = urgency.next(job.ranked, fleet.slowestBoot(), lifetimes.expectedRun(job.spec));
    if (!target) return;
    const age = this.ctx.clock.wall() - job.readyAt;
    slackFactors.over(job.spec.jobClass, age > target.ms, target.allowed);
  }
}
