/**
 * Processes workers' heartbeats, whether sent by the worker or returned by a direct call, and replies with commands.
 */
import type { Mutex } from 'async-mutex';
import type { LeaderContext } from '../core/context.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { Heartbeat, WorkerCommand } from '../model/heartbeat.js';
import {
  epochOfFencingToken,
  type FenceGeneration,
  type FencingToken,
  fencingTokenOf,
  type MemberId,
} from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { FactSource } from '../model/machine-facts.js';
import type { MonotonicTime } from '../model/time.js';
import type { CommandDispatcher } from '../workers/command-dispatcher.js';
import type { CommandIssuer } from '../workers/command-issuer.js';
import type { WorkerFailureDetector } from '../workers/failure-detector.js';
import { reconcile, type ReconciliationResult } from '../workers/reconciliation.js';
import type { Worker } from '../workers/state/worker.js';
import {
  commandsFor,
  forgetCommandsFor,
  mustFenceLateStarts,
  mustRaiseFence,
  stopCommandsForCancelled,
} from '../workers/worker-commands.js';
import type { Committer } from './committer.js';
import { TaskFailurePolicy } from './task-failure-policy.js';
import type { WorkerLeasePolicy } from './worker-lease-policy.js';

/**
 * Maximum number of commands in one heartbeat answer under a valid leader lease; the remaining commands are sent with
 * the next answer.
 */
const MAX_COMMANDS_PER_ANSWER = 250;

/** The leader's answer to a heartbeat. */
export type HeartbeatOutcome =
  | { readonly kind: 'commands'; readonly token: FencingToken; readonly commands: readonly WorkerCommand[] }
  /** The leader may not answer; the worker contacts another controller, and its lease is not renewed. */
  | { readonly kind: 'refused' };

/** The reason why this leader refuses a heartbeat. */
type HeartbeatRefusal =
  | 'leadership ended'
  /** `WorkerLeasePolicy` does not allow the leader to renew worker leases. */
  | 'worker leases may not be renewed'
  /** Another leader has been elected. */
  | 'worker has seen a newer epoch'
  | 'machine is gone';

const REFUSED: HeartbeatOutcome = { kind: 'refused' };

/** The leader components that `HeartbeatHandler` updates from heartbeats or uses to answer them. */
interface HeartbeatHandlerParts {
  readonly fleet: FleetManager;
  readonly failureDetector: WorkerFailureDetector;
  readonly dispatcher: CommandDispatcher;
  readonly issuer: CommandIssuer;
  readonly decisionLog: DecisionLog;
  readonly committer: Committer;
  readonly lifetimes: Lifetimes;
  readonly workerLeasePolicy: WorkerLeasePolicy;
  readonly lock: Mutex;
}

/** Handles the heartbeats of one leadership term. Runs for every heartbeat, so unnecessary allocations are avoided. */
export class HeartbeatHandler {
  private readonly failurePolicy: TaskFailurePolicy;
  private isStarted = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: HeartbeatHandlerParts,
  ) {
    this.failurePolicy = new TaskFailurePolicy(ctx);
  }

  /** Enables the reconciliation of state with heartbeats; called after the stored records have been loaded. */
  start(): void {
    this.isStarted = true;
  }

  /** Handles a heartbeat that a worker sent to the controller `receivedBy`. */
  handle(heartbeat: Heartbeat, receivedBy: MemberId): Promise<HeartbeatOutcome> {
    return this.parts.lock.runExclusive(() => this.answer(heartbeat, receivedBy));
  }

  /** Handles the heartbeat that a worker returned in its reply to a direct call. */
  async handleReply(worker: Worker, heartbeat: Heartbeat): Promise<void> {
    await this.parts.lock.runExclusive(() => {
      if (this.ctx.isEnded() || heartbeat.machine !== worker.id || this.stepDownIfDeposed(heartbeat)) return;
      const now = this.ctx.clock.now();
      const isNewer = this.isFromCurrentEpoch(heartbeat) && worker.isNewer(heartbeat);
      if (isNewer) this.parts.failureDetector.recordHeartbeat(worker, now);
      this.applyResult(worker, reconcile(worker, heartbeat, this.ctx.epoch, this.ctx.jobs, now));
      const hasNewIncarnation = worker.learnIncarnation(heartbeat, now);
      const hasCommands = worker.hasReported && commandsFor(worker, now, this.ctx.isLeaseValid()).length > 0;
      if (hasNewIncarnation || hasCommands) this.parts.dispatcher.dispatch(worker);
    });
  }

  private isFromCurrentEpoch(heartbeat: Heartbeat): boolean {
    return epochOfFencingToken(heartbeat.token) === this.ctx.epoch;
  }

  private stepDownIfDeposed(heartbeat: Heartbeat): boolean {
    if (epochOfFencingToken(heartbeat.token) <= this.ctx.epoch) return false;
    this.ctx.stepDown('a worker has seen a newer epoch');
    return true;
  }

  private answer(heartbeat: Heartbeat, receivedBy: MemberId): HeartbeatOutcome {
    const now = this.ctx.clock.now();
    const refusal = this.refusalReason(heartbeat, now);
    if (refusal !== null) {
      this.parts.decisionLog.logDecision(`heartbeat refused, ${refusal}`, () => ({
        machine: heartbeat.machine,
        token: heartbeat.token,
      }));
      return REFUSED;
    }
    // Stopping attempts of cancelled jobs is safe without a valid lease: no leader wants them, and attempt numbers are
    // never reused.
    const cancelledStops = stopCommandsForCancelled(heartbeat, (id) => this.ctx.cancellations.has(id));
    const worker = this.findWorker(heartbeat, now);
    if (!worker) {
      this.parts.decisionLog.count('heartbeat of an unknown machine');
      return {
        kind: 'commands',
        token: fencingTokenOf(this.ctx.epoch, 0 as FenceGeneration),
        commands: cancelledStops,
      };
    }
    const isNewer = this.recordHeartbeat(worker, heartbeat, receivedBy, now);
    return this.answerWithCommands(worker, isNewer, cancelledStops);
  }

  private refusalReason(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatRefusal | null {
    if (this.ctx.isEnded()) return 'leadership ended';
    // After its own lease has expired, a leader only renews worker leases and stops cancelled tasks, while
    // `WorkerLeasePolicy` allows it.
    if (!this.parts.workerLeasePolicy.mayRenew(now)) return 'worker leases may not be renewed';
    if (this.stepDownIfDeposed(heartbeat)) return 'worker has seen a newer epoch';
    if (this.ctx.workers.isGone(heartbeat.machine)) return 'machine is gone';
    return null;
  }

  /** Returns the worker that sent the heartbeat; null if the machine counts as unknown and no state is reconciled. */
  private findWorker(heartbeat: Heartbeat, now: MonotonicTime): Worker | null {
    if (!this.isStarted) {
      // While the stored records are still loading, the worker's lease may run from this answer. The heartbeat is not
      // reconciled yet, because all of its attempts would look unwanted.
      this.parts.failureDetector.recordAnswerToUnknownMachine(now);
      return null;
    }
    // An unknown machine may have been removed earlier, and this heartbeat may be a late duplicate. Only a heartbeat
    // that carries the current epoch was created in this term; the next heartbeat of a running worker carries it.
    if (!this.ctx.workers.has(heartbeat.machine) && !this.isFromCurrentEpoch(heartbeat)) return null;
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

  /**
   * Records the heartbeat and returns whether the heartbeat is of the current epoch and newer than the last one. A
   * heartbeat of an earlier epoch proves nothing, not even that the worker is alive.
   */
  private recordHeartbeat(
    worker: Worker,
    heartbeat: Heartbeat,
    receivedBy: MemberId,
    now: MonotonicTime,
  ): boolean {
    const { epoch, jobs } = this.ctx;
    const isNewer = this.isFromCurrentEpoch(heartbeat) && (!worker.hasReported || worker.isNewer(heartbeat));
    if (isNewer) {
      worker.recordHeartbeat(heartbeat, receivedBy, now);
      this.parts.failureDetector.recordHeartbeat(worker, now);
      this.applyResult(worker, reconcile(worker, heartbeat, epoch, jobs, now));
      worker.recordAnswer(heartbeat, receivedBy, now);
      return true;
    }
    worker.learnIncarnation(heartbeat, now);
    if (!worker.hasReported) this.parts.dispatcher.dispatch(worker);
    // The answer to a late duplicate may still reach a waiting worker, so the worker's lease runs from this answer.
    worker.lease.recordAnswer(now);
    return false;
  }

  private answerWithCommands(
    worker: Worker,
    isNewer: boolean,
    cancelledStops: readonly WorkerCommand[],
  ): HeartbeatOutcome {
    const { epoch } = this.ctx;
    const mayCommand = isNewer && this.ctx.isLeaseValid();
    const mustRaise = mayCommand
      ? mustRaiseFence(worker, worker.fencingToken(epoch))
      : mustFenceLateStarts(worker, epoch);
    if (mustRaise) worker.raiseFence();
    const token = worker.fencingToken(epoch);
    this.parts.decisionLog.count(mayCommand ? 'heartbeat answered' : 'heartbeat answered without commands');
    if (!mayCommand) return { kind: 'commands', token, commands: cancelledStops };
    const forgetCommands = forgetCommandsFor(worker, token);
    const commands = this.parts.issuer.issue(worker, true, forgetCommands, MAX_COMMANDS_PER_ANSWER);
    return { kind: 'commands', token, commands };
  }

  /** Applies the result of reconciling a worker with its heartbeat. */
  private applyResult(worker: Worker, result: ReconciliationResult): void {
    const now = this.ctx.clock.now();
    for (const { job } of result.started) job.history.recordRun(now);
    for (const { task, ranMs } of result.finished) {
      const { jobClass, estimatedRunS } = task.job.spec;
      if (ranMs !== null) this.parts.lifetimes.recordRun(jobClass, ranMs, estimatedRunS * 1000);
    }
    this.logUnsuccessful(worker, result);
    this.failurePolicy.apply(worker, result, now);
    if (result.changed) {
      this.parts.committer.schedule();
      this.ctx.requestDecision();
    }
  }

  private logUnsuccessful(worker: Worker, { failed, lost }: ReconciliationResult): void {
    const { log } = this.ctx;
    for (const { task, cause, ranMs } of failed) {
      if (cause !== 'stopped') log.info({ machine: worker.id, task: task.id, cause, ranMs }, 'task failed');
    }
    for (const task of lost) log.info({ machine: worker.id, task: task.id }, 'task lost');
  }
}
