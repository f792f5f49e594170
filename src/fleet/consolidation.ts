/** Which mostly idle machines to drain, as one pure decision. */
import type { JobId, MachineId, ZoneId } from '../model/ids.js';
import {
  machineRefusal,
  type PlacementMachine,
  type PlacementSpec,
  remainingInZone,
  type ZoneCounts,
} from '../scheduler/placement-rule.js';

/** Where a task may start again, if not everywhere. */
export interface MovableTaskRule {
  readonly job: JobId;
  readonly spec: PlacementSpec;
  /** The job's tasks that may be on other machines, by zone. */
  readonly others: ZoneCounts;
}

/** A task on a machine that might be drained. */
export interface MovableTask {
  readonly cpus: number;
  readonly memoryGb: number;
  /** Work that a stop would lose. */
  readonly lostMs: number;
  /** How long it is still expected to run. */
  readonly leftMs: number;
  /** Whether its job still comes in time when the task starts again now; false also for what must not move. */
  readonly mayMove: boolean;
  /** Left out: the task may start on any machine. */
  readonly rule?: MovableTaskRule;
}

/** A machine that might be drained. */
export interface DrainCandidate extends Partial<PlacementMachine> {
  readonly id: MachineId;
  readonly cpus: number;
  readonly freeCpus: number;
  readonly freeMemoryGb: number;
  /** Per hour. */
  readonly price: number;
  readonly tasks: readonly MovableTask[];
}

/** Draining pays only if it saves this many times what the lost work costs. */
const MIN_BENEFIT_FACTOR = 3;
/** Free capacity is fragmented: this part of it can be counted on. */
const PACKING_EFFICIENCY = 0.7;
/** A fuller machine is left alone: too much work would be done twice. */
const MAX_USED_SHARE = 0.6;
/** Starting again takes a moment, and mostly an image. */
const RESTART_MS = 3000;

/**
 * Returns the machines to be drained so that they can be deleted: the last tasks of a machine keep all of it for
 * as long as the slowest runs. Their work starts again in the capacity that others have free.
 *
 * `surplusCpus`: idle CPUs beyond the reserve that the forecast wants. `cpuPrice`: what an hour of one
 * CPU costs where the work is done again.
 */
export function machinesToDrain(
  machines: readonly DrainCandidate[],
  surplusCpus: number,
  cpuPrice: number,
): MachineId[] {
  const chosen: MachineId[] = [];
  let hasChosenRuled = false;
  let surplusLeft = surplusCpus;
  let freeCpus = machines.reduce((sum, machine) => sum + machine.freeCpus, 0);
  let freeMemoryGb = machines.reduce((sum, machine) => sum + machine.freeMemoryGb, 0);
  for (const machine of byWaste(machines)) {
    if (machine.cpus > surplusLeft || !isWorthDraining(machine, cpuPrice)) continue;
    const usedCpus = machine.cpus - machine.freeCpus;
    const usedMemoryGb = machine.tasks.reduce((sum, task) => sum + task.memoryGb, 0);
    const hasCpus = usedCpus <= (freeCpus - machine.freeCpus) * PACKING_EFFICIENCY;
    const hasMemory = usedMemoryGb <= (freeMemoryGb - machine.freeMemoryGb) * PACKING_EFFICIENCY;
    if (!hasCpus || !hasMemory) continue;
    const ruled = ruledTasks(machine);
    if (ruled.length > 0) {
      // The room that they count on may be the same: the next ones follow once these have been placed.
      if (hasChosenRuled || !haveAllowedRoom(ruled, machine, machines, chosen)) continue;
      hasChosenRuled = true;
    }
    chosen.push(machine.id);
    surplusLeft -= machine.cpus;
    freeCpus -= machine.cpus;
    freeMemoryGb -= machine.freeMemoryGb + usedMemoryGb;
  }
  return chosen;
}

/** Tasks of one job that would move together, with the rule for where they may start. */
interface RuledTasks {
  readonly rule: MovableTaskRule;
  readonly task: MovableTask;
  count: number;
}

/** The tasks of a machine that may not start everywhere, by job. */
function ruledTasks({ tasks }: DrainCandidate): RuledTasks[] {
  const byJob = new Map<JobId, RuledTasks>();
  for (const task of tasks) {
    if (!task.rule) continue;
    const group = byJob.get(task.rule.job);
    if (group) group.count++;
    else byJob.set(task.rule.job, { rule: task.rule, task, count: 1 });
  }
  return [...byJob.values()];
}

/** Whether each of the groups has room on machines that the placement rule allows. */
function haveAllowedRoom(
  groups: readonly RuledTasks[],
  drained: DrainCandidate,
  machines: readonly DrainCandidate[],
  chosen: readonly MachineId[],
): boolean {
  const others = machines.filter((machine) => machine !== drained && !chosen.includes(machine.id));
  return groups.every((group) => hasAllowedRoom(group, others));
}

function hasAllowedRoom({ rule, task, count }: RuledTasks, machines: readonly DrainCandidate[]): boolean {
  const { spec, others } = rule;
  const roomByZone = [...slotsByZone(spec, task, machines)].map(([zone, slots]) =>
    Math.min(Math.floor(slots * PACKING_EFFICIENCY), remainingInZone(spec, others, zone)),
  );
  const room = spec.zoneAffinity
    ? Math.max(0, ...roomByZone)
    : roomByZone.reduce((sum, zoneRoom) => sum + zoneRoom, 0);
  return room >= count;
}

/** How many such tasks the free capacity of the allowed machines takes, by zone. */
function slotsByZone(
  spec: PlacementSpec,
  task: MovableTask,
  machines: readonly DrainCandidate[],
): Map<ZoneId, number> {
  const slots = new Map<ZoneId, number>();
  for (const { type, zone, spot, freeCpus, freeMemoryGb } of machines) {
    if (type === undefined || zone === undefined || spot === undefined) continue;
    if (machineRefusal(spec, { type, zone, spot }) !== null) continue;
    const fitting = Math.min(timesIn(freeCpus, task.cpus), timesIn(freeMemoryGb, task.memoryGb));
    slots.set(zone, (slots.get(zone) ?? 0) + fitting);
  }
  return slots;
}

function timesIn(free: number, needed: number): number {
  return needed > 0 ? Math.floor(free / needed) : Infinity;
}

/** Machines that are used, but not by much: those that cost most for what is idle of them come first. */
function byWaste(machines: readonly DrainCandidate[]): DrainCandidate[] {
  const wastedPrice = (machine: DrainCandidate): number => (machine.price * machine.freeCpus) / machine.cpus;
  return machines
    .filter(({ tasks, cpus, freeCpus }) => tasks.length > 0 && cpus - freeCpus <= cpus * MAX_USED_SHARE)
    .sort((one, other) => wastedPrice(other) - wastedPrice(one) || (one.id < other.id ? -1 : 1));
}

function isWorthDraining({ tasks, price }: DrainCandidate, cpuPrice: number): boolean {
  let lostCost = 0;
  let leftMs = 0;
  for (const task of tasks) {
    if (!task.mayMove) return false;
    lostCost += (task.lostMs + RESTART_MS) * task.cpus * cpuPrice;
    leftMs = Math.max(leftMs, task.leftMs);
  }
  return leftMs * price > lostCost * MIN_BENEFIT_FACTOR;
}
