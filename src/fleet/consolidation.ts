import type { MachineId } from '../model/ids.js';

/** A task on a machine that might be emptied. */
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

/** A machine that might be emptied. */
export interface PartlyUsed {
  readonly id: MachineId;
  readonly cpus: number;
  readonly freeCpus: number;
  readonly freeMemoryGb: number;
  /** Per hour. */
  readonly price: number;
  readonly tasks: readonly MovableTask[];
}

/** Emptying pays only if it saves this many times what the lost work costs. */
const WORTH = 3;
/** Free room is in pieces: this part of it can be counted on. */
const PACKED = 0.7;
/** A fuller machine is left alone: too much work would be done twice. */
const MOST_USED = 0.6;
/** Starting again takes a moment, and mostly an image. */
const AGAIN_MS = 3000;

/**
 * Machines to be emptied so that they can go back: the last tasks of a machine keep all of it for
 * as long as the slowest runs. Their work starts again in the room that others have free.
 *
 * `surplus`: idle CPUs beyond the reserve that the forecast wants. `cpuPrice`: what an hour of one
 * CPU costs where the work is done again.
 */
export function machinesToEmpty(
  machines: readonly PartlyUsed[],
  surplus: number,
  cpuPrice: number,
): MachineId[] {
  const chosen: MachineId[] = [];
  let left = surplus;
  let freeCpus = machines.reduce((sum, m) => sum + m.freeCpus, 0);
  let freeMemory = machines.reduce((sum, m) => sum + m.freeMemoryGb, 0);
  const wasted = (m: PartlyUsed): number => (m.price * m.freeCpus) / m.cpus;
  const candidates = machines
    .filter((m) => m.tasks.length > 0 && m.cpus - m.freeCpus <= m.cpus * MOST_USED)
    .sort((a, b) => wasted(b) - wasted(a) || (a.id < b.id ? -1 : 1));
  for (const m of candidates) {
    if (m.cpus > left || !worthEmptying(m, cpuPrice)) continue;
    const cpus = m.cpus - m.freeCpus;
    const memory = m.tasks.reduce((sum, t) => sum + t.memoryGb, 0);
    if (cpus > (freeCpus - m.freeCpus) * PACKED || memory > (freeMemory - m.freeMemoryGb) * PACKED) continue;
    chosen.push(m.id);
    left -= m.cpus;
    freeCpus -= m.cpus;
    freeMemory -= m.freeMemoryGb + memory;
  }
  return chosen;
}

function worthEmptying(m: PartlyUsed, cpuPrice: number): boolean {
  let lost = 0;
  let leftMs = 0;
  for (const t of m.tasks) {
    if (!t.mayMove) return false;
    lost += (t.lostMs + AGAIN_MS) * t.cpus * cpuPrice;
    leftMs = Math.max(leftMs, t.leftMs);
  }
  return leftMs * m.price > lost * WORTH;
}
