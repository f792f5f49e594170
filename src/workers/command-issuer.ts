/**
 * The one place where orders to workers leave. A run order that the placement rule forbids, by what is known at that
 * moment, is withheld: nothing is forgotten or killed, the task is proven gone like any that never started, and its job goes on.
 */
import type { LeaderContext } from '../core/context.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { WorkerCommand } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import { hasZoneConstraint, placementRefusal, PlacementRefusal } from '../scheduler/placement-rule.js';
import type { Task } from '../scheduler/task.js';
import type { Worker } from './state/worker.js';
import { markStartsSent, commandsFor } from './worker-commands.js';

/** What the log says of an order that was withheld. */
export const START_WITHHELD = 'run order withheld: the placement rule forbids it';

/** The part of the rule that forbids the task on this host now; null: it may start. */
function refusalOf(task: Task, worker: Worker): PlacementRefusal | null {
  const { spec, zoneTally } = task.job;
  if (!worker.confirmedFacts) return PlacementRefusal.MachineUnknown;
  const { machine } = worker.confirmedFacts;
  if (!hasZoneConstraint(spec)) return placementRefusal(spec, machine, zoneTally.counts);
  // The task's own zone is known, as its machine is: it is counted there, and any other may be elsewhere.
  if (zoneTally.unknownZoneCount > 0) return PlacementRefusal.ZoneUnknown;
  return placementRefusal(spec, machine, zoneTally.without(task.zone));
}

/** Chooses the orders that a host gets now, and remembers what has left. */
export class CommandIssuer {
  /** Run orders withheld under this leadership. */
  withheld = 0;

  constructor(
    private readonly ctx: Pick<LeaderContext, 'epoch' | 'log' | 'clock'>,
    private readonly decisions: DecisionLog,
  ) {}

  /** At most so many orders; `clears` come last. */
  issue(worker: Worker, sure: boolean, clears: readonly WorkerCommand[], most: number): WorkerCommand[] {
    const now = this.ctx.clock.now();
    const wanted = [...commandsFor(worker, now, sure), ...clears].slice(0, most);
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
      if (command.kind === 'stop') this.tellOfStop(command, worker, task);
      // The run order of a task that is stopped with it was checked when it was first sent.
      else if (task && task.pendingStop === null) return this.mayRun(task, worker, now);
      return true;
    });
  }

  private mayRun(task: Task, worker: Worker, now: MonotonicTime): boolean {
    const refusal = refusalOf(task, worker);
    if (refusal !== null) {
      this.withhold(task, worker, refusal, now);
      return false;
    }
    if (task.startSentIncarnation === null)
      this.decisions.logDecision('start', () => this.basisOf(task, worker, now));
    return true;
  }

  private withhold(task: Task, worker: Worker, refusal: PlacementRefusal, now: MonotonicTime): void {
    this.withheld++;
    this.ctx.log.error({ refusal, ...this.basisOf(task, worker, now) }, START_WITHHELD);
    // A task of which no order has left is gone once a report lacks it; of one that was sent, once its orders are refused.
    if (task.startSentIncarnation === null) task.pendingStop = { graceS: 0, reason: 'misplaced', since: now };
    else worker.needsHigherToken = true;
  }

  private tellOfStop(command: WorkerCommand, worker: Worker, task: Task | undefined): void {
    const why =
      task?.attemptNumber === command.attemptNumber
        ? (task.pendingStop?.reason ?? 'unknown')
        : 'not wanted here';
    this.decisions.logDecision(`stop, ${why}`, () => ({
      task: command.task,
      attemptNumber: command.attemptNumber,
      worker: worker.id,
    }));
  }

  /** All that the decision to start the task rested on. */
  private basisOf(task: Task, worker: Worker, now: MonotonicTime): object {
    const { allowedTypes, zone, allowsSpot, zoneAffinity, zoneAntiAffinity, taskCount } = task.job.spec;
    const { confirmedFacts, facts } = worker;
    return {
      epoch: this.ctx.epoch,
      task: task.id,
      attemptNumber: task.attemptNumber,
      worker: worker.id,
      rule: {
        types: allowedTypes,
        zone,
        spot: allowsSpot,
        zoneAffinity,
        spread: zoneAntiAffinity,
        tasks: taskCount,
      },
      machine: confirmedFacts?.machine ?? facts.state,
      source: confirmedFacts?.source ?? null,
      ageMs: confirmedFacts ? Math.round(since(now, confirmedFacts.learnedAt)) : null,
      zones: Object.fromEntries(task.job.zoneTally.counts),
      unknownZones: task.job.zoneTally.unknownZoneCount,
    };
  }
}
