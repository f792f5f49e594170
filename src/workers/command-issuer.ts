/**
 * Issues commands to workers and checks each start command against the placement rule, except in a tombstone. Only the
 * stop commands of `stopCommandsForCancelled` are issued elsewhere.
 *
 * A start command that the rule forbids on the current machine facts is withheld, and no stop or forget command is sent
 * in its place. The task is released once a heartbeat proves it gone, and its job continues.
 */
import type { LeaderContext } from '../core/context.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { WorkerCommand } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import { hasZoneConstraint, placementRefusal, PlacementRefusal } from '../scheduler/placement-rule.js';
import type { Task } from '../scheduler/task.js';
import type { Worker } from './state/worker.js';
import { commandsFor, markStartsSent } from './worker-commands.js';

/** The message of the log line for a withheld start command. */
export const START_WITHHELD_MESSAGE = 'start command withheld: placement rule violated';

/** Returns the part of the placement rule that forbids the task on this machine now, or null if the task may start. */
function findPlacementRefusal(task: Task, worker: Worker): PlacementRefusal | null {
  const { spec, zoneTally } = task.job;
  if (!worker.confirmedFacts) return PlacementRefusal.MachineUnknown;
  const { machine } = worker.confirmedFacts;
  if (!hasZoneConstraint(spec)) return placementRefusal(spec, machine, zoneTally.counts);
  // The tally counts this task in its own zone, which is known; any task of unknown zone must belong to another
  // machine.
  if (zoneTally.unknownZoneCount > 0) return PlacementRefusal.ZoneUnknown;
  return placementRefusal(spec, machine, zoneTally.countsWithout(task.zone));
}

/** Selects the commands to send to a worker now, and records which start commands were sent. */
export class CommandIssuer {
  /** The number of start commands withheld in this leadership term. */
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
    const neededCommands = [...commandsFor(worker, now, isLeaseValid), ...forgetCommands].slice(
      0,
      maxCommands,
    );
    const commands = this.filterPermitted(worker, neededCommands, now);
    markStartsSent(worker, commands, worker.fencingToken(this.ctx.epoch));
    return commands;
  }

  private filterPermitted(
    worker: Worker,
    commands: readonly WorkerCommand[],
    now: MonotonicTime,
  ): WorkerCommand[] {
    const tasks = new Map<string, Task>();
    if (commands.some(({ kind }) => kind !== 'forget'))
      for (const task of worker.tasks) tasks.set(task.id, task);
    return commands.filter((command) => {
      if (command.kind === 'forget') return true;
      const task = tasks.get(command.task);
      if (command.kind === 'stop') this.logStop(command, worker, task);
      // A start command that accompanies a stop of the same task was checked when it was first sent.
      else if (task && task.pendingStop === null) return this.checkStart(task, worker, now);
      return true;
    });
  }

  private checkStart(task: Task, worker: Worker, now: MonotonicTime): boolean {
    const refusal = findPlacementRefusal(task, worker);
    if (refusal !== null) {
      this.withholdStart(task, worker, refusal, now);
      return false;
    }
    if (task.startSentIncarnation === null)
      this.decisions.logDecision('start', () => this.decisionBasis(task, worker, now));
    return true;
  }

  private withholdStart(task: Task, worker: Worker, refusal: PlacementRefusal, now: MonotonicTime): void {
    this.withheld++;
    this.ctx.log.error({ refusal, ...this.decisionBasis(task, worker, now) }, START_WITHHELD_MESSAGE);
    // A task whose start was never sent is gone once a heartbeat lacks it. A task whose start was sent is gone once a
    // heartbeat under a higher token or of a later incarnation lacks it, since the worker then refuses that command.
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

  /** Returns the inputs of the placement check for the task, for the log. */
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
      unknownZones: task.job.zoneTally.unknownZoneCount,
    };
  }
}
