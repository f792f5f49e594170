import type { MachineId } from '../../model/ids.js';
import type { Worker } from './worker.js';

/** All machines that may exist, as the leader knows them. */
export class WorkerRegistry {
  private readonly workers = new Map<MachineId, Worker>();
  /** Machines proven gone: a late report or list must not bring them back. */
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

  add(worker: Worker): void {
    if (!this.gone.has(worker.id)) this.workers.set(worker.id, worker);
  }

  remove(id: MachineId): void {
    this.workers.delete(id);
    this.gone.add(id);
    if (this.gone.size > 5000) {
      const oldest = this.gone.values().next().value;
      if (oldest !== undefined) this.gone.delete(oldest);
    }
  }
}
