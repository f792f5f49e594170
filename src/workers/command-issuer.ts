/**
 * The one place where commands to workers are issued. A start command that the placement rule forbids, by what is known at
 * that moment, is withheld: nothing is forgotten or stopped, the task is proven gone like any that never started, and its job goes on.
 */
import type { LeaderContext } from '../core/context.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { WorkerCommand } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import { bindsZones, placementRefusal, PlacementRefusal } from '../scheduler/placement-rule.js';
import type { Task } from '../scheduler/task.js';
import type { Worker } from './state/worker.js';
import { commandsFor, markStartsSent } from './worker-commands.js';

/** The log line of a start command that was withheld. */
export const START_WITHHELD = 'start command withheld: placement rule violated';

/** Returns the part of the rule that forbids the task on this machine now; null: it may start. */
function refusalOf(task: Task, worker: Worker): PlacementRefusal | null {
  const { spec, zoneTally } = task.job;
  if (!worker.confirmedFacts) return PlacementRefusal.MachineUnknown;
  const { machine } = worker.confirmedFacts;
  if (!bindsZones(spec)) return placementRefusal(spec, machine, zoneTally.counts);
  // The task's own zone is known, as its machine is: it is counted there, and any other may be elsewhere.
  if (zoneTally.unknown > 0) return PlacementRefusal.ZoneUnknown;
  return placementRefusal(spec, machine, zoneTally.without(task.zone));
}

/** Chooses the commands that a worker gets now, and records which starts were sent. */
export class CommandIssuer {
  /** Start commands withheld in this leadership term. */
  withheld = 0;

  constructor(
    private readonly ctx: Pick<LeaderContext, 'epoch' | 'log' | 'clock'>,
    private readonly decisions: DecisionLog,
  ) {}

  /** Returns at most `maxCommands` commands; `forgetCommands` come last. */
  issue(
    worker: Worker,
    isLeaseValid: boolean,
    forgetCommands: readonly WorkerCommand[],
    maxCommands: number,
  ): WorkerCommand[] {
    const now = this.ctx.clock.now();
    const wanted = [...commandsFor(worker, now, isLeaseValid), ...forgetCommands].slice(0, maxCommands);
    const commands = this.permitted(worker, wanted, now);
    markStartsSent(worker, commands, worker.fencingToken(this.ctx.epoch));
    return commands;
  }

  private permitted(worker: Worker, commands: readonly WorkerCommand[], now: MonotonicTime): WorkerCommand[] {
    const tasks = new Map<string, Task>();
    if (commands.some(({ kind }) => kind !== 'forget'))
      for (const task of worker.tasks) tasks.set(task.id, task);
    return commands.filter((command) => {
      if (command.kind === 'forget') return true;
      const task = tasks.get(command.task);
      if (command.kind === 'stop') this.logStop(command, worker, task);
      // The start command of a task that is stopped with it was checked when it was first sent.
      else if (task && task.pendingStop === null) return this.mayStart(task, worker, now);
      return true;
    });
  }

  private mayStart(task: Task, worker: Worker, now: MonotonicTime): boolean {
    const refusal = refusalOf(task, worker);
    if (refusal !== null) {
      this.withhold(task, worker, refusal, now);
      return false;
    }
    if (task.startSentIncarnation === null)
      this.decisions.logDecision('start', () => this.decisionBasis(task, worker, now));
    return true;
  }

  private withhold(task: Task, worker: Worker, refusal: PlacementRefusal, now: MonotonicTime): void {
    this.withheld++;
    this.ctx.log.error({ refusal, ...this.decisionBasis(task, worker, now) }, START_WITHHELD);
    // A task that was never sent is gone once a heartbeat lacks it; one that was, once its start commands are refused.
    if (task.startSentIncarnation === null) task.pendingStop = { graceS: 0, reason: 'misplaced', since: now };
    else worker.fence.needsHigherToken = true;
  }

  private logStop(command: WorkerCommand, worker: Worker, task: Task | undefined): void {
    const reason =
      task?.attemptNumber === command.attemptNumber
        ? (task.pendingStop?.reason ?? 'unknown')
        : 'not assigned here';
    this.decisions.logDecision(`stop, ${reason}`, () => ({
      task: command.task,
      attemptNumber: command.attemptNumber,
      machine: worker.id,
    }));
  }

  /** All that the decision to start the task rested on, for the log. */
  private decisionBasis(task: Task, worker: Worker, now: MonotonicTime): object {
    const { allowedTypes, zone, allowsSpot, zoneAffinity, zoneAntiAffinity, taskCount } = task.job.spec;
    const { confirmedFacts, facts } = worker;
    return {
      epoch: this.ctx.epoch,
      task: task.id,
      attemptNumber: task.attemptNumber,
      machine: worker.id,
      rule: { allowedTypes, zone, allowsSpot, zoneAffinity, zoneAntiAffinity, taskCount },
      facts: confirmedFacts?.machine ?? facts.state,
      factSource: confirmedFacts?.source ?? null,
      factAgeMs: confirmedFacts ? Math.round(since(now, confirmedFacts.learnedAt)) : null,
      zones: Object.fromEntries(task.job.zoneTally.counts),
      unknownZones: task.job.zoneTally.unknown,
    };
  }
}
