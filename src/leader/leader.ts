/** Runs one leadership term: restores the stored state, then runs the leader's components until the term ends. */
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
/** Time after the restore of the stored state within which the leader is expected to contact all running workers. */
const INITIAL_CONTACT_PERIOD_MS = 4000;

/** The leader for one epoch. */
export class Leader {
  readonly epoch: Epoch;
  private readonly lifetime: TermLifetime;
  private readonly parts: LeaderParts;

  /** Creates the leader of a term; `onEnded` is called once, with the reason, when the term ends. */
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

  /** Ends the term; the leader makes no more decisions and refuses heartbeats from now on. */
  end(reason: TermEndReason): void {
    this.lifetime.end(reason);
  }

  /**
   * Restores the stored state and starts all components. Resolves after that, or earlier if the term ends; decisions
   * may start later (`startDecisions`).
   */
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
   * Enables decisions, after a delay if records could not be read. Tasks in unreadable records count toward no quota,
   * so no task is started until each worker either has reported those tasks and stopped them as unwanted, or has
   * certainly lost its lease (`untrackedLeasesEndAt`).
   */
  private startDecisions(): void {
    const { ctx, restorer, failureDetector, decisions } = this.parts;
    if (!restorer.hasUnreadableRecords) {
      decisions.start();
      return;
    }
    const delayMs = Math.max(0, since(failureDetector.untrackedLeasesEndAt, ctx.clock.now()));
    ctx.log.info(
      { epoch: ctx.epoch, delayMs: Math.round(delayMs) },
      'unreadable records; task starts delayed',
    );
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
    // A new leader has not yet received the heartbeats that show which cancelled tasks have stopped.
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
    // `pollPeers` handles its own errors.
    void workerLeasePolicy.pollPeers();
  }

  /**
   * Applies cancellations that were confirmed to users, whether by this controller, as reported by another controller,
   * or as read from the records.
   */
  onCancellationsConfirmed(ids: readonly JobId[]): void {
    const { lock, canceller } = this.parts;
    if (!this.lifetime.isEnded) void lock.runExclusive(() => canceller.cancel(ids));
  }

  /** Answers a heartbeat that a worker sent to the controller `receivedBy`. */
  handleHeartbeat(heartbeat: Heartbeat, receivedBy: MemberId): Promise<HeartbeatOutcome> {
    return this.parts.heartbeats.handle(heartbeat, receivedBy);
  }

  /** Returns the numbers of done and running tasks of each job that is not cancelled. */
  progress(): JobTaskCounts[] {
    return [...this.parts.ctx.jobs.values()]
      .filter((job) => !job.isCancelled)
      .map((job) => ({ id: job.spec.id, done: job.doneCount, running: job.runningCount }));
  }

  /** Returns the counters and state totals of the term for the log, and resets the counts of writes and decisions. */
  summary(): object {
    const { ctx, writeCounts, decisionLog, issuer, fleet } = this.parts;
    return {
      ...summaryOf(ctx.jobs, ctx.workers, ctx.clock.now()),
      writes: writeCounts.take(),
      decisions: decisionLog.takeCounts(),
      withheld: issuer.withheld,
      contradictions: fleet.contradictions,
    };
  }
}
