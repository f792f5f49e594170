import type { MachineId } from '../../model/ids.js';
import type { Worker } from './worker.js';

/** The maximum number of removed machines to remember; the oldest entries are dropped first. */
const MAX_GONE_MACHINE_COUNT = 5000;

/** All machines that may exist, by id, and the machines that were recently proven gone. */
export class WorkerRegistry {
  private readonly workers = new Map<MachineId, Worker>();
  /** Machines proven gone, which a delayed heartbeat or an outdated list from the cloud must not add again. */
  private readonly goneMachines = new Set<MachineId>();

  get size(): number {
    return this.workers.size;
  }

  get(id: MachineId): Worker | undefined {
    return this.workers.get(id);
  }

  has(id: MachineId): boolean {
    return this.workers.has(id);
  }

  values(): Iterable<Worker> {
    return this.workers.values();
  }

  /** Whether the machine is one of the last `MAX_GONE_MACHINE_COUNT` that were proven gone. */
  isGone(id: MachineId): boolean {
    return this.goneMachines.has(id);
  }

  /** Adds the worker, unless `isGone` is true for its machine. */
  add(worker: Worker): void {
    if (!this.goneMachines.has(worker.id)) this.workers.set(worker.id, worker);
  }

  /** Removes a machine that is proven gone and prevents `add` from adding the machine again. */
  remove(id: MachineId): void {
    this.workers.delete(id);
    this.goneMachines.add(id);
    if (this.goneMachines.size <= MAX_GONE_MACHINE_COUNT) return;
    const oldest = this.goneMachines.values().next().value;
    if (oldest !== undefined) this.goneMachines.delete(oldest);
  }
}
