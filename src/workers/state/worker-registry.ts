import type { MachineId } from '../../model/ids.js';
import type { Worker } from './worker.js';

/** So many removed machines are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED_GONE = 5000;

/** All machines that may exist, by id, and those that were lately proven gone. */
export class WorkerRegistry {
  private readonly workers = new Map<MachineId, Worker>();
  /** Machines proven gone: a late heartbeat or list must not bring them back. */
  private readonly gone = new Set<MachineId>();

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

  /** Whether the machine was proven gone. */
  isGone(id: MachineId): boolean {
    return this.gone.has(id);
  }

  /** Adds the worker, unless its machine was proven gone. */
  add(worker: Worker): void {
    if (!this.gone.has(worker.id)) this.workers.set(worker.id, worker);
  }

  /** Removes a machine that is proven gone; it cannot be added again. */
  remove(id: MachineId): void {
    this.workers.delete(id);
    this.gone.add(id);
    if (this.gone.size <= MAX_REMEMBERED_GONE) return;
    const oldest = this.gone.values().next().value;
    if (oldest !== undefined) this.gone.delete(oldest);
  }
}
