/** Runs one term: restores what earlier leaders left, then keeps the leader's parts going until the term ends. */
import type { ControllerContext } from '../core/context.js';
import type { LeaseValidity } from '../leadership/lease.js';
import type { LeadershipTerm } from '../leadership/term.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { Epoch, JobId, MemberId } from '../model/ids.js';
import type { JobTaskCounts } from '../model/job-task-counts.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import { type MonotonicTime, runPeriodically, since } from '../model/time.js';
import type { HeartbeatOutcome } from './heartbeat-handler.js';
import { createLeaderParts, type LeaderParts } from './leader-parts.js';
import { summaryOf } from './leader-summary.js';
import { TermLifetime } from './term-lifetime.js';

const TICK_INTERVAL_MS = 500;
/** By then a new leader has been in contact with the workers that are alive. */
const INITIAL_CONTACT_PERIOD_MS = 4000;

/** The leader of one epoch. */
export class Leader {
  readonly epoch: Epoch;
  private readonly lifetime: TermLifetime;
  private readonly parts: LeaderParts;

  /** `onEnded` is called once, with the reason, when the term ends. */
  constructor(
    controller: ControllerContext,
    term: LeadershipTerm,
    lease: LeaseValidity,
    onEnded: (reason: TermEndReason) => void,
  ) {
    this.epoch = term.epoch;
    this.lifetime = new TermLifetime((reason) => {
      controller.log.info({ epoch: term.epoch, reason }, 'leadership ended');
      onEnded(reason);
    });
    this.parts = createLeaderParts({ controller, term, lease, lifetime: this.lifetime });
  }

  /** Ends the term: nothing is decided or answered from now on. */
  end(reason: TermEndReason): void {
    this.lifetime.end(reason);
  }

  /** Restores what earlier leaders left, and begins to decide. Resolves then, or when the term ends before. */
  async start(): Promise<void> {
    const { ctx, restorer, heartbeats, dependencies, dispatcher, watcher } = this.parts;
    const restoredUpTo = await restorer.run();
    if (this.lifetime.isEnded || restoredUpTo === null) return;
    const readyAt = ctx.clock.now();
    heartbeats.start();
    dependencies.start();
    const { epoch, jobs, workers } = ctx;
    ctx.log.info({ epoch, jobs: jobs.size, machines: workers.size }, 'leadership started');
    for (const worker of restorer.workersInContactOrder()) dispatcher.dispatch(worker);
    watcher.start(restoredUpTo);
    this.lifetime.addCleanup(runPeriodically(ctx.clock, TICK_INTERVAL_MS, () => this.tick(readyAt)));
    this.startDecisions();
  }

  /**
   * Tasks that stand in an unreadable record count for no quota. Nothing is started until their machines have shown
   * them, and stopped them as unwanted, or their worker leases have surely expired.
   */
  private startDecisions(): void {
    const { ctx, restorer, failureDetector, decisions } = this.parts;
    if (!restorer.hasUnreadableRecords) {
      decisions.start();
      return;
    }
    const delayMs = Math.max(0, since(failureDetector.earlierLeasesEndAt, ctx.clock.now()));
    ctx.log.info({ epoch: ctx.epoch, delayMs: Math.round(delayMs) }, 'unreadable records, starts delayed');
    this.lifetime.addCleanup(ctx.clock.after(delayMs, () => decisions.start()));
  }

  private tick(readyAt: MonotonicTime): void {
    const { ctx, failureDetector, chunkResizer, canceller, fleetRecordWriter, decisions } = this.parts;
    const now = ctx.clock.now();
    if (failureDetector.isInboundPartitioned(now)) {
      this.end('no worker heartbeats received');
      return;
    }
    chunkResizer.tick(now);
    // A leader that has just begun has not heard yet which tasks are gone.
    if (since(now, readyAt) >= INITIAL_CONTACT_PERIOD_MS) canceller.fenceWorkersWithOverdueStops(now);
    if (ctx.isLeaseValid()) this.tickWithLease(now);
    else this.tickWithoutLease(now);
    fleetRecordWriter.saveIfDue(now);
    decisions.request();
  }

  private tickWithLease(now: MonotonicTime): void {
    const { failureDetector, fleet, drainer } = this.parts;
    failureDetector.tick(now);
    fleet.tick();
    drainer.tick(now);
  }

  private tickWithoutLease(now: MonotonicTime): void {
    const { failureDetector, workerLeasePolicy } = this.parts;
    failureDetector.checkLeases(now);
    // Handles its own failures.
    void workerLeasePolicy.pollPeers();
  }

  /** Cancellations were confirmed to users, as told by another controller or seen in the records. */
  onCancellationsConfirmed(ids: readonly JobId[]): void {
    const { lock, canceller } = this.parts;
    if (!this.lifetime.isEnded) void lock.runExclusive(() => ids.forEach((id) => canceller.cancel(id)));
  }

  /** Answers a heartbeat that a worker sent to the controller `receivedBy`. */
  handleHeartbeat(heartbeat: Heartbeat, receivedBy: MemberId): Promise<HeartbeatOutcome> {
    return this.parts.heartbeats.handle(heartbeat, receivedBy);
  }

  /** Returns how many tasks of each job are done and running. */
  progress(): JobTaskCounts[] {
    return [...this.parts.ctx.jobs.values()]
      .filter((job) => !job.isCancelled)
      .map((job) => ({ id: job.spec.id, done: job.doneCount, running: job.runningCount }));
  }

  /** Returns the term in numbers, for the log. */
  summary(): object {
    const { ctx, writeCounts, decisionLog, issuer, fleet } = this.parts;
    return {
      ...summaryOf(ctx.jobs, ctx.workers),
      writes: writeCounts.take(),
      decisions: decisionLog.takeCounts(),
      withheld: issuer.withheld,
      contradictions: fleet.contradictions,
    };
  }
}
