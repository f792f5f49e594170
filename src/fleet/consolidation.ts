/** Which mostly idle machines to drain, as one pure decision. */
import type { MachineId } from '../model/ids.js';

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
}

/** A machine that might be drained. */
export interface DrainCandidate {
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
    chosen.push(machine.id);
    surplusLeft -= machine.cpus;
    freeCpus -= machine.cpus;
    freeMemoryGb -= machine.freeMemoryGb + usedMemoryGb;
  }
  return chosen;
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
