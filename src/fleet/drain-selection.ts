/** The decision which underused machines to drain, as a pure function. */
import type { JobId, MachineId, ZoneId } from '../model/ids.js';
import {
  machineRefusal,
  type PlacementMachine,
  type PlacementSpec,
  remainingInZone,
  type ZoneCounts,
} from '../scheduler/placement-rule.js';

/** The placement constraint of a task that may not restart on every machine. */
export interface MovableTaskConstraint {
  readonly job: JobId;
  readonly spec: PlacementSpec;
  /** The number of the job's tasks that may be running on other machines, by zone. */
  readonly otherTasksByZone: ZoneCounts;
}

/** A task on a candidate for draining. */
export interface MovableTask {
  readonly cpus: number;
  readonly memoryGb: number;
  /** The run time that is lost when the task is stopped, in milliseconds. */
  readonly lostMs: number;
  /** The expected remaining run time, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the task may be stopped, and its restart now would not make its job miss a target (`SloTargets`). */
  readonly mayMove: boolean;
  /** Absent if the task may start on any machine. */
  readonly constraint?: MovableTaskConstraint;
}

/** A machine that is considered for draining. */
export interface DrainCandidate extends Partial<PlacementMachine> {
  readonly id: MachineId;
  readonly cpus: number;
  readonly freeCpus: number;
  readonly freeMemoryGb: number;
  /** The price of the machine per hour. */
  readonly price: number;
  readonly tasks: readonly MovableTask[];
}

/** The minimum ratio of the machine cost that a drain saves to the cost of the work that is repeated. */
const MIN_BENEFIT_RATIO = 3;
/** The part of free capacity that is assumed to be usable, because free capacity is fragmented over machines. */
const PACKING_EFFICIENCY_RATIO = 0.7;
/** The maximum CPU utilization of a drained machine; draining a fuller machine would repeat too much work. */
const MAX_USED_CPU_RATIO = 0.6;
/** The estimated overhead of restarting a task, which usually includes fetching its image. */
const RESTART_OVERHEAD_MS = 3000;

/**
 * Returns the machines to drain so that they can be deleted. Without a drain, a machine is paid for in full until the
 * slowest of its last tasks ends. The stopped tasks restart in the free capacity of other machines.
 *
 * `surplusCpus` is the number of idle CPUs beyond the forecast's reserve; `cpuPrice` is the hourly price of one CPU
 * that repeats the lost work.
 */
export function machinesToDrain(
  machines: readonly DrainCandidate[],
  surplusCpus: number,
  cpuPrice: number,
): MachineId[] {
  const chosenIds: MachineId[] = [];
  let hasChosenConstrained = false;
  let remainingSurplusCpus = surplusCpus;
  let freeCpus = machines.reduce((sum, machine) => sum + machine.freeCpus, 0);
  let freeMemoryGb = machines.reduce((sum, machine) => sum + machine.freeMemoryGb, 0);
  for (const machine of drainOrder(machines)) {
    if (machine.cpus > remainingSurplusCpus || !isWorthDraining(machine, cpuPrice)) continue;
    const usedCpus = machine.cpus - machine.freeCpus;
    const usedMemoryGb = machine.tasks.reduce((sum, task) => sum + task.memoryGb, 0);
    const hasCpus = usedCpus <= (freeCpus - machine.freeCpus) * PACKING_EFFICIENCY_RATIO;
    const hasMemory = usedMemoryGb <= (freeMemoryGb - machine.freeMemoryGb) * PACKING_EFFICIENCY_RATIO;
    if (!hasCpus || !hasMemory) continue;
    const constrainedGroups = constrainedTasksByJob(machine);
    if (constrainedGroups.length > 0) {
      // Two groups with constraints may rely on the same free capacity, so only one machine with constrained tasks is
      // drained at a time; the next one follows once these tasks have been placed.
      if (hasChosenConstrained || !allGroupsFit(constrainedGroups, machine, machines, chosenIds)) continue;
      hasChosenConstrained = true;
    }
    chosenIds.push(machine.id);
    remainingSurplusCpus -= machine.cpus;
    freeCpus -= machine.cpus;
    freeMemoryGb -= machine.freeMemoryGb + usedMemoryGb;
  }
  return chosenIds;
}

/** The tasks of one job on a drained machine, with the constraint on where they may restart. */
interface ConstrainedTasks {
  readonly constraint: MovableTaskConstraint;
  readonly sampleTask: MovableTask;
  count: number;
}

/** Returns the tasks of a machine that have a placement constraint, grouped by job. */
function constrainedTasksByJob({ tasks }: DrainCandidate): ConstrainedTasks[] {
  const byJob = new Map<JobId, ConstrainedTasks>();
  for (const task of tasks) {
    if (!task.constraint) continue;
    const group = byJob.get(task.constraint.job);
    if (group) group.count++;
    else byJob.set(task.constraint.job, { constraint: task.constraint, sampleTask: task, count: 1 });
  }
  return [...byJob.values()];
}

/** Reports whether each group of tasks, taken by itself, fits on the remaining machines that its constraint allows. */
function allGroupsFit(
  groups: readonly ConstrainedTasks[],
  drainedMachine: DrainCandidate,
  machines: readonly DrainCandidate[],
  chosenIds: readonly MachineId[],
): boolean {
  const remainingMachines = machines.filter(
    (machine) => machine !== drainedMachine && !chosenIds.includes(machine.id),
  );
  return groups.every((group) => groupFits(group, remainingMachines));
}

function groupFits(
  { constraint, sampleTask, count }: ConstrainedTasks,
  machines: readonly DrainCandidate[],
): boolean {
  const { spec, otherTasksByZone } = constraint;
  const availableSlotsByZone = [...freeSlotsByZone(spec, sampleTask, machines)].map(([zone, slots]) =>
    Math.min(Math.floor(slots * PACKING_EFFICIENCY_RATIO), remainingInZone(spec, otherTasksByZone, zone)),
  );
  const availableSlots = spec.zoneAffinity
    ? Math.max(0, ...availableSlotsByZone)
    : availableSlotsByZone.reduce((sum, zoneSlots) => sum + zoneSlots, 0);
  return availableSlots >= count;
}

/** Returns how many tasks like this one fit into the free capacity of the allowed machines, by zone. */
function freeSlotsByZone(
  spec: PlacementSpec,
  task: MovableTask,
  machines: readonly DrainCandidate[],
): Map<ZoneId, number> {
  const slots = new Map<ZoneId, number>();
  for (const { type, zone, spot, freeCpus, freeMemoryGb } of machines) {
    if (type === undefined || zone === undefined || spot === undefined) continue;
    if (machineRefusal(spec, { type, zone, spot }) !== null) continue;
    const fittingTasks = Math.min(maxFitCount(freeCpus, task.cpus), maxFitCount(freeMemoryGb, task.memoryGb));
    slots.set(zone, (slots.get(zone) ?? 0) + fittingTasks);
  }
  return slots;
}

function maxFitCount(free: number, needed: number): number {
  return needed > 0 ? Math.floor(free / needed) : Infinity;
}

/** Returns the underused machines that still run tasks, in descending order of the hourly price of their idle CPUs. */
function drainOrder(machines: readonly DrainCandidate[]): DrainCandidate[] {
  const idleHourlyPrice = (machine: DrainCandidate): number =>
    (machine.price * machine.freeCpus) / machine.cpus;
  return machines
    .filter(({ tasks, cpus, freeCpus }) => tasks.length > 0 && cpus - freeCpus <= cpus * MAX_USED_CPU_RATIO)
    .sort((left, right) => idleHourlyPrice(right) - idleHourlyPrice(left) || (left.id < right.id ? -1 : 1));
}

function isWorthDraining({ tasks, price }: DrainCandidate, cpuPrice: number): boolean {
  let lostCost = 0;
  let longestRemainingMs = 0;
  for (const task of tasks) {
    if (!task.mayMove) return false;
    lostCost += (task.lostMs + RESTART_OVERHEAD_MS) * task.cpus * cpuPrice;
    longestRemainingMs = Math.max(longestRemainingMs, task.remainingMs);
  }
  return longestRemainingMs * price > lostCost * MIN_BENEFIT_RATIO;
}
