/** Takes in workers' reports, however they come, and answers with orders. */
import type { Mutex } from 'async-mutex';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { epochOfToken, type MemberId, type Round, type Token, tokenOf } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { FactSource } from '../model/machine-facts.js';
import type { Order, Report } from '../model/heartbeat.js';
import { type Steady, plus } from '../model/time.js';
import type { OpenJob } from '../scheduler/active-job.js';
import type { Committer } from './committer.js';
import type { Dispatcher } from '../workers/command-dispatcher.js';
import type { Health } from '../workers/failure-detector.js';
import type { Host } from '../workers/state/worker.js';
import type { OrderIssuer } from '../workers/command-issuer.js';
import { clearsFor, killsOf, mustForget, needsRaise, ordersFor } from '../workers/worker-commands.js';
import { applyReport, type Told } from '../workers/reconciliation.js';
import type { Answering } from '../leader/worker-lease-policy.js';
import type { LeaderContext } from '../core/context.js';

/** Orders in one answer: the rest goes with the next report. */
const MOST_ORDERS = 250;
/** Machines on which a job's tasks fail before the job itself is held to be at fault. */
const FAULTY_JOB_HOSTS = 3;
const FIRST_BACKOFF_MS = 1000;
const MOST_BACKOFF_MS = 60_000;
const MOST_DOUBLINGS = 6;

/** A leader's answer to a report. */
export type ReportAnswer =
  | { readonly kind: 'orders'; readonly token: Token; readonly orders: readonly Order[] }
  /** Not entitled to answer: the worker looks for another controller, and its lease is not renewed. */
  | { readonly kind: 'refused' };

const REFUSED: ReportAnswer = { kind: 'refused' };

/** What reports change. */
interface ReportParts {
  readonly fleet: FleetManager;
  readonly health: Health;
  readonly dispatcher: Dispatcher;
  readonly issuer: OrderIssuer;
  readonly decisions: DecisionLog;
  readonly committer: Committer;
  readonly lifetimes: Lifetimes;
  readonly answering: Answering;
  readonly lock: Mutex;
}

/** One leadership's side of the workers' reports. */
export class ReportHandler {
  private started = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: ReportParts,
  ) {}

  /** The records have been read: from now on reports are learned from. */
  start(): void {
    this.started = true;
  }

  /** A worker's report, straight or through another node. */
  take(report: Report, via: MemberId): Promise<ReportAnswer> {
    return this.parts.lock.runExclusive(() => this.answer(report, via));
  }

  /** A report that a direct call brought back. */
  async takeDirect(host: Host, report: Report): Promise<void> {
    await this.parts.lock.runExclusive(() => {
      if (this.ctx.ended() || report.host !== host.id || this.deposedBy(report)) return;
      const now = this.ctx.clock.now();
      const fresh = epochOfToken(report.token) === this.ctx.epoch && host.newer(report);
      if (fresh) this.parts.health.heard(host, now);
      this.learn(host, applyReport(host, report, this.ctx.epoch, this.ctx.jobs, now));
      const another = host.learnSession(report, now);
      const ordersWait = host.known && ordersFor(host, now, this.ctx.sure()).length > 0;
      if (another || ordersWait) this.parts.dispatcher.wake(host);
    });
  }

  private deposedBy(report: Report): boolean {
    if (epochOfToken(report.token) <= this.ctx.epoch) return false;
    this.ctx.deposed('a worker knows a newer epoch');
    return true;
  }

  private answer(report: Report, via: MemberId): ReportAnswer {
    const now = this.ctx.clock.now();
    const refusal = this.refusalOf(report, now);
    if (refusal !== null) {
      this.parts.decisions.tell(`answer refused, ${refusal}`, () => ({
        host: report.host,
        token: report.token,
      }));
      return REFUSED;
    }
    // Of no use to anybody whoever leads, and safe to say without being sure: an attempt is never used again.
    const unwanted = killsOf(report, (id) => this.ctx.cancellations.has(id));
    const host = this.hostOf(report, now);
    if (!host) {
      this.parts.decisions.count('answer to a stranger');
      return { kind: 'orders', token: tokenOf(this.ctx.epoch, 0 as Round), orders: unwanted };
    }
    const fresh = this.takeIn(host, report, via, now);
    return this.ordersTo(host, fresh, unwanted);
  }

  /** Why this report gets no answer of ours; null: it does. */
  private refusalOf(report: Report, now: Steady): string | null {
    // Past the grant's sure life a leader only keeps leases alive, and only for a while.
    if (this.ctx.ended()) return 'not leading any more';
    if (!this.parts.answering.may(now)) return 'grant not sure for too long';
    if (this.deposedBy(report)) return 'the worker knows a newer epoch';
    if (this.ctx.hosts.isGone(report.host)) return 'the machine is gone';
    return null;
  }

  /** Null: answered as a stranger, and not learned from. */
  private hostOf(report: Report, now: Steady): Host | null {
    if (!this.started) {
      // While we still read what there is, a lease may run from this answer. Nothing is learned from the report:
      // all that it shows would look like what nobody wants.
      this.parts.health.answeredStranger(now);
      return null;
    }
    // A machine that we do not know may be long gone, and this a late copy of what it once said: only
    // a report that knows our epoch was made in our time. A living worker's next one does.
    const ours = epochOfToken(report.token) === this.ctx.epoch;
    if (!this.ctx.hosts.has(report.host) && !ours) return null;
    const machine: Machine = { id: report.host, type: report.type, zone: report.zone, spot: report.spot };
    const host = this.parts.fleet.adopt(machine, FactSource.Report, now);
    if (host && host.address === '') host.address = report.address;
    return host;
  }

  /** Whether the report is newer than what was taken in; reports of earlier epochs prove nothing, not even life. */
  private takeIn(host: Host, report: Report, via: MemberId, now: Steady): boolean {
    const { epoch, jobs } = this.ctx;
    const fresh = epochOfToken(report.token) === epoch && (!host.known || host.newer(report));
    if (fresh) {
      host.reported(report, via, now);
      this.parts.health.heard(host, now);
      this.learn(host, applyReport(host, report, epoch, jobs, now));
      host.answered(report, via, now);
      return true;
    }
    host.learnSession(report, now);
    if (!host.known) this.parts.dispatcher.wake(host);
    // Even a late copy's answer may reach a worker that waits for one: its lease counts from here.
    host.answeredAt = now;
    return false;
  }

  private ordersTo(host: Host, fresh: boolean, unwanted: readonly Order[]): ReportAnswer {
    const { epoch } = this.ctx;
    const ordering = fresh && this.ctx.sure();
    const raise = ordering ? needsRaise(host, host.token(epoch)) : mustForget(host, epoch);
    if (raise) host.raise();
    const token = host.token(epoch);
    this.parts.decisions.count(ordering ? 'answer' : 'answer without orders');
    if (!ordering) return { kind: 'orders', token, orders: unwanted };
    const orders = this.parts.issuer.issue(host, true, clearsFor(host, token), MOST_ORDERS);
    return { kind: 'orders', token, orders };
  }

  private learn(host: Host, told: Told): void {
    const { log } = this.ctx;
    const now = this.ctx.clock.now();
    for (const { job } of told.started) {
      job.firstRunAt ??= now;
      job.lastRunAt = now;
    }
    for (const { task, ranMs } of told.finished) {
      const { jobClass, estimateS } = task.job.spec;
      if (ranMs !== null) this.parts.lifetimes.add(jobClass, ranMs, estimateS * 1000);
    }
    for (const { task, cause } of told.failed) {
      if (cause !== 'stopped')
        log.info({ host: host.id, task: task.id, cause }, 'task ended without success');
      if (cause === 'error') this.failed(host, task.job, now);
    }
    for (const task of told.lost) log.info({ host: host.id, task: task.id }, 'task lost with its session');
    this.closeIfFailing(host);
    if (told.changed) {
      this.parts.committer.schedule();
      this.ctx.requestDecision();
    }
  }

  /** Replicas that still run there are left alone: the machine goes back when they have ended. */
  private closeIfFailing(host: Host): void {
    if (host.closed !== null || host.failures < this.ctx.ops.workers.sick_errors) return;
    this.ctx.log.info({ host: host.id, failures: host.failures }, 'machine is failing');
    host.closed = 'sick';
  }

  /**
   * Mostly the machine is at fault. A job that fails on a second machine is more likely at fault
   * itself: it counts against no further machine, and after a third it waits.
   */
  private failed(host: Host, job: OpenJob, now: Steady): void {
    job.failures++;
    job.failedOn.add(host.id);
    if (job.failedOn.size <= 1 || host.failedJobs.size > 0) {
      host.failures++;
      host.failedJobs.add(job.spec.id);
    }
    if (job.failedOn.size < FAULTY_JOB_HOSTS) return;
    const doublings = Math.min(MOST_DOUBLINGS, job.failures - 2);
    job.notBefore = plus(now, Math.min(MOST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings));
  }
}
