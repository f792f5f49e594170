/** Takes in workers' heartbeats, whichever way they come, and answers them with commands. */
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

/** Commands in one answer: the rest goes with the next heartbeat's. */
const MAX_COMMANDS_PER_ANSWER = 250;

/** The leader's answer to a heartbeat. */
export type HeartbeatOutcome =
  | { readonly kind: 'commands'; readonly token: FencingToken; readonly commands: readonly WorkerCommand[] }
  /** Not entitled to answer: the worker looks for another controller, and its lease is not renewed. */
  | { readonly kind: 'refused' };

/** Why a heartbeat gets no answer of this leader. */
type HeartbeatRefusal =
  | 'leadership ended'
  /** See `WorkerLeasePolicy`. */
  | 'worker leases may not be renewed'
  /** Another leader has been elected. */
  | 'worker has seen a newer epoch'
  | 'machine is gone';

const REFUSED: HeartbeatOutcome = { kind: 'refused' };

/** The parts of the leader that heartbeats change, and that answer them. */
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

/** Handles the heartbeats of one term. Nothing here may be allocated without need: it runs for each heartbeat. */
export class HeartbeatHandler {
  private readonly failurePolicy: TaskFailurePolicy;
  private isStarted = false;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly parts: HeartbeatHandlerParts,
  ) {
    this.failurePolicy = new TaskFailurePolicy(ctx);
  }

  /** The records have been read: from now on the state is reconciled with heartbeats. */
  start(): void {
    this.isStarted = true;
  }

  /** Handles a heartbeat that a worker sent to the controller `receivedBy`. */
  handle(heartbeat: Heartbeat, receivedBy: MemberId): Promise<HeartbeatOutcome> {
    return this.parts.lock.runExclusive(() => this.answer(heartbeat, receivedBy));
  }

  /** Handles the heartbeat in the reply to a direct call to the worker. */
  async handleReply(worker: Worker, heartbeat: Heartbeat): Promise<void> {
    await this.parts.lock.runExclusive(() => {
      if (this.ctx.isEnded() || heartbeat.machine !== worker.id || this.stepDownIfDeposed(heartbeat)) return;
      const now = this.ctx.clock.now();
      const isNewer = this.isOfThisEpoch(heartbeat) && worker.isNewer(heartbeat);
      if (isNewer) this.parts.failureDetector.recordHeartbeat(worker, now);
      this.applyResult(worker, reconcile(worker, heartbeat, this.ctx.epoch, this.ctx.jobs, now));
      const hasNewIncarnation = worker.learnIncarnation(heartbeat, now);
      const hasCommands = worker.hasReported && commandsFor(worker, now, this.ctx.isLeaseValid()).length > 0;
      if (hasNewIncarnation || hasCommands) this.parts.dispatcher.dispatch(worker);
    });
  }

  private isOfThisEpoch(heartbeat: Heartbeat): boolean {
    return epochOfFencingToken(heartbeat.token) === this.ctx.epoch;
  }

  private stepDownIfDeposed(heartbeat: Heartbeat): boolean {
    if (epochOfFencingToken(heartbeat.token) <= this.ctx.epoch) return false;
    this.ctx.stepDown('a worker has seen a newer epoch');
    return true;
  }

  private answer(heartbeat: Heartbeat, receivedBy: MemberId): HeartbeatOutcome {
    const now = this.ctx.clock.now();
    const refusal = this.refusalOf(heartbeat, now);
    if (refusal !== null) {
      this.parts.decisionLog.logDecision(`heartbeat refused, ${refusal}`, () => ({
        machine: heartbeat.machine,
        token: heartbeat.token,
      }));
      return REFUSED;
    }
    // Nobody wants these attempts whoever leads, and an attempt number is never used again: safe without a valid lease.
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

  private refusalOf(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatRefusal | null {
    if (this.ctx.isEnded()) return 'leadership ended';
    // After its own lease has expired a leader only renews workers' leases, and only for a while.
    if (!this.parts.workerLeasePolicy.mayRenew(now)) return 'worker leases may not be renewed';
    if (this.stepDownIfDeposed(heartbeat)) return 'worker has seen a newer epoch';
    if (this.ctx.workers.isGone(heartbeat.machine)) return 'machine is gone';
    return null;
  }

  /** Returns the worker of a heartbeat; null: it is answered as an unknown machine's, and the state is not reconciled. */
  private findWorker(heartbeat: Heartbeat, now: MonotonicTime): Worker | null {
    if (!this.isStarted) {
      // While the records are still being read, a worker's lease may run from this answer. The state is not
      // reconciled with the heartbeat yet: all its attempts would look unwanted.
      this.parts.failureDetector.recordAnswerToUnknownMachine(now);
      return null;
    }
    // A machine that we don't know may be long gone, and this a late copy of a heartbeat: only one that carries our
    // epoch was made in our term. A living worker's next one does.
    if (!this.ctx.workers.has(heartbeat.machine) && !this.isOfThisEpoch(heartbeat)) return null;
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

  /** Returns whether the heartbeat is newer than the last one; those of earlier epochs prove nothing, not even that the worker lives. */
  private recordHeartbeat(
    worker: Worker,
    heartbeat: Heartbeat,
    receivedBy: MemberId,
    now: MonotonicTime,
  ): boolean {
    const { epoch, jobs } = this.ctx;
    const isNewer = this.isOfThisEpoch(heartbeat) && (!worker.hasReported || worker.isNewer(heartbeat));
    if (isNewer) {
      worker.recordHeartbeat(heartbeat, receivedBy, now);
      this.parts.failureDetector.recordHeartbeat(worker, now);
      this.applyResult(worker, reconcile(worker, heartbeat, epoch, jobs, now));
      worker.recordAnswer(heartbeat, receivedBy, now);
      return true;
    }
    worker.learnIncarnation(heartbeat, now);
    if (!worker.hasReported) this.parts.dispatcher.dispatch(worker);
    // The answer to a late copy may still reach a worker that waits for one: its lease counts from here.
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
    const forgets = forgetCommandsFor(worker, token);
    const commands = this.parts.issuer.issue(worker, true, forgets, MAX_COMMANDS_PER_ANSWER);
    return { kind: 'commands', token, commands };
  }

  /** Passes on what the reconciliation with a heartbeat has found. */
  private applyResult(worker: Worker, result: ReconciliationResult): void {
    const now = this.ctx.clock.now();
    for (const { job } of result.started) job.history.recordRun(now);
    for (const { task, ranMs } of result.finished) {
      const { jobClass, estimatedRunS } = task.job.spec;
      if (ranMs !== null) this.parts.lifetimes.recordRun(jobClass, ranMs, estimatedRunS * 1000);
    }
    this.recordFailures(worker, result, now);
    if (result.changed) {
      this.parts.committer.schedule();
      this.ctx.requestDecision();
    }
  }

  private recordFailures(worker: Worker, { failed, lost }: ReconciliationResult, now: MonotonicTime): void {
    const { log } = this.ctx;
    for (const { task, cause } of failed) {
      if (cause !== 'stopped') log.info({ machine: worker.id, task: task.id, cause }, 'task failed');
      if (cause === 'error') this.failurePolicy.recordFailure(worker, task.job, now);
    }
    for (const task of lost) log.info({ machine: worker.id, task: task.id }, 'task lost');
    this.failurePolicy.cordonIfFailing(worker);
  }
}
