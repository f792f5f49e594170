/** Deletion of machines in the cloud: surplus, drained or fenced machines, and those that failed or did not boot. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { CloudCallQueue } from './cloud-call-queue.js';

const MAX_MACHINES_PER_CALL = 100;
/** Deletions requested within this time of the first are sent to the cloud in the same call. */
const BATCH_WINDOW_MS = 20;
/** The interval at which pending deletions check whether the leader's lease is valid again. */
const LEASE_CHECK_INTERVAL_MS = 250;
/** The delay before a failed deletion is retried, without its random jitter. */
const RETRY_DELAY_MS = 700;
const MAX_RETRY_JITTER_MS = 300;

/** Notified of completed deletions. */
export interface ScaleInListener {
  /** Called for each deleted machine: the cloud has confirmed that the machine and its tasks no longer run. */
  machineDeleted(worker: Worker): void;
  /** Called once for each deletion call that succeeded. */
  machinesDeleted(): void;
}

/**
 * Deletes machines in batches. A deletion that the cloud has confirmed also fences the machine, without waiting for
 * its lease to expire: the machine and everything on it have stopped by then.
 */
export class ScaleIn {
  private readonly requestedDeletions = new Set<MachineId>();
  /** The requested deletions that are carried out even while the leader's lease is not valid. */
  private readonly leaseOptionalDeletions = new Set<MachineId>();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly cloudCalls: CloudCallQueue,
    private readonly listener: ScaleInListener,
  ) {}

  /**
   * Cordons a machine and deletes it with the next batch. `isLeaseOptional` allows the deletion while the leader's
   * lease is not valid; it is set for a machine that may still run a cancelled task after the time limit.
   */
  deleteMachine(worker: Worker, reason: string, isLeaseOptional = false): void {
    if (isLeaseOptional) this.leaseOptionalDeletions.add(worker.id);
    if (worker.isRemoving) return;
    worker.isRemoving = true;
    worker.cordon ??= 'scaling in';
    this.ctx.log.info({ machine: worker.id, reason, tasks: worker.tasks.size }, 'deleting machine');
    this.requestedDeletions.add(worker.id);
    if (this.requestedDeletions.size === 1)
      this.ctx.clock.after(BATCH_WINDOW_MS, () => void this.deleteRequested());
  }

  private async deleteRequested(): Promise<void> {
    while (this.requestedDeletions.size > 0 && !this.ctx.isEnded()) {
      await this.cloudCalls.acquire();
      const deletable = this.ctx.isLeaseValid() ? this.requestedDeletions : this.leaseOptionalDeletions;
      const batch = [...deletable].slice(0, MAX_MACHINES_PER_CALL);
      if (batch.length === 0) await sleep(this.ctx.clock, LEASE_CHECK_INTERVAL_MS);
      else await this.deleteBatch(batch);
    }
  }

  private async deleteBatch(batch: readonly MachineId[]): Promise<void> {
    try {
      await this.ctx.cloud.deleteMachines(batch);
      for (const id of batch) this.recordDeleted(id);
      this.listener.machinesDeleted();
      this.ctx.requestDecision();
    } catch (error) {
      this.ctx.log.info({ count: batch.length, error: errorMessage(error) }, 'machine deletion failed');
      await sleep(this.ctx.clock, RETRY_DELAY_MS + this.ctx.random() * MAX_RETRY_JITTER_MS);
    }
  }

  private recordDeleted(id: MachineId): void {
    this.requestedDeletions.delete(id);
    this.leaseOptionalDeletions.delete(id);
    const worker = this.ctx.workers.get(id);
    this.ctx.workers.remove(id);
    if (worker) this.listener.machineDeleted(worker);
  }
}
