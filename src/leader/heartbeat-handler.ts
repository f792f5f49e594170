/** Takes in workers' reports, however they come, and answers with orders. */
import type { Mutex } from 'async-mutex';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import {
  epochOfFencingToken,
  type MemberId,
  type FenceGeneration,
  type FencingToken,
  fencingTokenOf,
} from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { FactSource } from '../model/machine-facts.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, plus } from '../model/time.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { Committer } from './committer.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { WorkerFailureDetector } from '../workers/failure-detector.js';
import type { Worker } from '../workers/state/worker.js';
import type { CommandIssuer } from '../workers/command-issuer.js';
import {
  forgetCommandsFor,
  stopCommandsForCancelled,
  mustFenceLateStarts,
  mustRaiseFence,
  commandsFor,
} from '../workers/worker-commands.js';
import { reconcile, type ReconciliationResult } from '../workers/reconciliation.js';
import type { WorkerLeasePolicy } from '../leader/worker-lease-policy.js';
import type { LeaderContext } from '../core/context.js';

/** Orders in one answer: the rest goes with the next report. */
const MOST_ORDERS = 250;
/** Machines on which a job's tasks fail before the job itself is held to be at fault. */
const FAULTY_JOB_MACHINES = 3;
const FIRST_BACKOFF_MS = 1000;
const MOST_BACKOFF_MS = 60_000;
const MOST_DOUBLINGS = 6;

/** A leader's answer to a report. */
export type HeartbeatOutcome =
  | { readonly kind: 'commands'; readonly token: FencingToken; readonly commands: readonly WorkerCommand[] }
  /** Not entitled to answer: the worker looks for another controller, and its lease is not renewed. */
  | { readonly kind: 'refused' };

const REFUSED: HeartbeatOutcome = { kind: 'refused' };

/** What reports change. */
interface HeartbeatHandlerParts {
  readonly fleet: FleetManager;
  readonly failureDetector: WorkerFailureDetector;
  readonly dispatcher: CommandDispatcher;
  readonly issuer: CommandIssuer;
  readonly decisions: DecisionLog;
  readonly committer: Committer;
  readonly lifetimes: Lifetimes;
  readonly workerLeasePolicy: WorkerLeasePolicy;
  readonly lock: Mutex;
}

/** One leadership's side of the workers' reports. */
export class HeartbeatHandler {
  private started = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: HeartbeatHandlerParts,
  ) {}

  /** The records have been read: from now on reports are learned from. */
  start(): void {
    this.started = true;
  }

  /** A worker's report, straight or through another node. */
  take(heartbeat: Heartbeat, via: MemberId): Promise<HeartbeatOutcome> {
    return this.parts.lock.runExclusive(() => this.answer(heartbeat, via));
  }

  /** A report that a direct call brought back. */
  async takeDirect(worker: Worker, heartbeat: Heartbeat): Promise<void> {
    await this.parts.lock.runExclusive(() => {
      if (this.ctx.isEnded() || heartbeat.machine !== worker.id || this.deposedBy(heartbeat)) return;
      const now = this.ctx.clock.now();
      const fresh = epochOfFencingToken(heartbeat.token) === this.ctx.epoch && worker.isNewer(heartbeat);
      if (fresh) this.parts.failureDetector.recordHeartbeat(worker, now);
      this.learn(worker, reconcile(worker, heartbeat, this.ctx.epoch, this.ctx.jobs, now));
      const another = worker.learnIncarnation(heartbeat, now);
      const hasCommands = worker.hasReported && commandsFor(worker, now, this.ctx.isLeaseValid()).length > 0;
      if (another || hasCommands) this.parts.dispatcher.dispatch(worker);
    });
  }

  private deposedBy(heartbeat: Heartbeat): boolean {
    if (epochOfFencingToken(heartbeat.token) <= this.ctx.epoch) return false;
    this.ctx.stepDown('a worker knows a newer epoch');
    return true;
  }

  private answer(heartbeat: Heartbeat, via: MemberId): HeartbeatOutcome {
    const now = this.ctx.clock.now();
    const refusal = this.refusalOf(heartbeat, now);
    if (refusal !== null) {
      this.parts.decisions.logDecision(`answer refused, ${refusal}`, () => ({
        worker: heartbeat.machine,
        token: heartbeat.token,
      }));
      return REFUSED;
    }
    // Of no use to anybody whoever leads, and safe to say without being sure: an attempt is never used again.
    const unwanted = stopCommandsForCancelled(heartbeat, (id) => this.ctx.cancellations.has(id));
    const worker = this.workerOf(heartbeat, now);
    if (!worker) {
      this.parts.decisions.count('answer to a stranger');
      return {
        kind: 'commands',
        token: fencingTokenOf(this.ctx.epoch, 0 as FenceGeneration),
        commands: unwanted,
      };
    }
    const fresh = this.takeIn(worker, heartbeat, via, now);
    return this.commandsTo(worker, fresh, unwanted);
  }

  /** Why this report gets no answer of ours; null: it does. */
  private refusalOf(heartbeat: Heartbeat, now: MonotonicTime): string | null {
    // Past the grant's sure life a leader only keeps leases alive, and only for a while.
    if (this.ctx.isEnded()) return 'not leading any more';
    if (!this.parts.workerLeasePolicy.mayRenew(now)) return 'grant not sure for too long';
    if (this.deposedBy(heartbeat)) return 'the worker knows a newer epoch';
    if (this.ctx.workers.isGone(heartbeat.machine)) return 'the machine is gone';
    return null;
  }

  /** Null: answered as a stranger, and not learned from. */
  private workerOf(heartbeat: Heartbeat, now: MonotonicTime): Worker | null {
    if (!this.started) {
      // While we still read what there is, a lease may run from this answer. Nothing is learned from the report:
      // all that it shows would look like what nobody wants.
      this.parts.failureDetector.recordAnswerToUnknownMachine(now);
      return null;
    }
    // A machine that we do not know may be long gone, and this a late copy of what it once said: only
    // a report that knows our epoch was made in our time. A living worker's next one does.
    const ours = epochOfFencingToken(heartbeat.token) === this.ctx.epoch;
    if (!this.ctx.workers.has(heartbeat.machine) && !ours) return null;
    const machine: Machine = {
      id: heartbeat.machine,
      type: heartbeat.type,
      zone: heartbeat.zone,
      spot: heartbeat.spot,
    };
    const worker = this.parts.fleet.registerMachine(machine, FactSource.Heartbeat, now);
    if (worker && worker.address === '') worker.address = heartbeat.address;
    return worker;
  }

  /** Whether the report is newer than what was taken in; reports of earlier epochs prove nothing, not even life. */
  private takeIn(worker: Worker, heartbeat: Heartbeat, via: MemberId, now: MonotonicTime): boolean {
    const { epoch, jobs } = this.ctx;
    const fresh =
      epochOfFencingToken(heartbeat.token) === epoch && (!worker.hasReported || worker.isNewer(heartbeat));
    if (fresh) {
      worker.recordHeartbeat(heartbeat, via, now);
      this.parts.failureDetector.recordHeartbeat(worker, now);
      this.learn(worker, reconcile(worker, heartbeat, epoch, jobs, now));
      worker.recordAnswer(heartbeat, via, now);
      return true;
    }
    worker.learnIncarnation(heartbeat, now);
    if (!worker.hasReported) this.parts.dispatcher.dispatch(worker);
    // Even a late copy's answer may reach a worker that waits for one: its lease counts from here.
    worker.lease.recordAnswer(now);
    return false;
  }

  private commandsTo(worker: Worker, fresh: boolean, unwanted: readonly WorkerCommand[]): HeartbeatOutcome {
    const { epoch } = this.ctx;
    const ordering = fresh && this.ctx.isLeaseValid();
    const raise = ordering
      ? mustRaiseFence(worker, worker.fencingToken(epoch))
      : mustFenceLateStarts(worker, epoch);
    if (raise) worker.raiseFence();
    const token = worker.fencingToken(epoch);
    this.parts.decisions.count(ordering ? 'answer' : 'answer without orders');
    if (!ordering) return { kind: 'commands', token, commands: unwanted };
    const commands = this.parts.issuer.issue(worker, true, forgetCommandsFor(worker, token), MOST_ORDERS);
    return { kind: 'commands', token, commands };
  }

  private learn(worker: Worker, told: ReconciliationResult): void {
    const { log } = this.ctx;
    const now = this.ctx.clock.now();
    for (const { job } of told.started) {
      job.firstRunAt ??= now;
      job.lastRunAt = now;
    }
    for (const { task, ranMs } of told.finished) {
      const { jobClass, estimatedRunS } = task.job.spec;
      if (ranMs !== null) this.parts.lifetimes.add(jobClass, ranMs, estimatedRunS * 1000);
    }
    for (const { task, cause } of told.failed) {
      if (cause !== 'stopped')
        log.info({ worker: worker.id, task: task.id, cause }, 'task ended without success');
      if (cause === 'error') this.failed(worker, task.job, now);
    }
    for (const task of told.lost)
      log.info({ worker: worker.id, task: task.id }, 'task lost with its session');
    this.closeIfFailing(worker);
    if (told.changed) {
      this.parts.committer.schedule();
      this.ctx.requestDecision();
    }
  }

  /** Replicas that still run there are left alone: the machine goes back when they have ended. */
  private closeIfFailing(worker: Worker): void {
    if (worker.cordon !== null || worker.failures < this.ctx.operators.workers.maxTaskFailures) return;
    this.ctx.log.info({ worker: worker.id, failures: worker.failures }, 'machine is failing');
    worker.cordon = 'failing';
  }

  /**
   * Mostly the machine is at fault. A job that fails on a second machine is more likely at fault
   * itself: it counts against no further machine, and after a third it waits.
   */
  private failed(worker: Worker, job: ActiveJob, now: MonotonicTime): void {
    job.failures++;
    job.failedMachines.add(worker.id);
    if (job.failedMachines.size <= 1 || worker.failures > 0) {
      worker.failures++;
    }
    if (job.failedMachines.size < FAULTY_JOB_MACHINES) return;
    const doublings = Math.min(MOST_DOUBLINGS, job.failures - 2);
    job.backoffUntil = plus(now, Math.min(MOST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings));
  }
}
