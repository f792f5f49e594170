/** Deletes machines: surplus ones, and ones that are fenced. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { CloudCallQueue } from './cloud-call-queue.js';

const MAX_MACHINES_PER_CALL = 100;
/** Machines that are to be deleted within this time share a call. */
const BATCH_WINDOW_MS = 20;
/** Between two checks whether our lease is valid. */
const LEASE_CHECK_INTERVAL_MS = 250;
const RETRY_MS = 700;
const RETRY_JITTER_MS = 300;

/** Receives what becomes of deletions. */
export interface ScaleInListener {
  /** The machine and everything on it are proven gone. */
  machineGone(worker: Worker): void;
  /** Machines were deleted. */
  machinesDeleted(): void;
}

/** Deletes machines in batches. Once the cloud has answered, they and everything on them are gone: the fast fence. */
export class ScaleIn {
  private readonly requested = new Set<MachineId>();
  /** Of those, the ones that are deleted even without a valid lease. */
  private readonly withoutLease = new Set<MachineId>();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly cloudCalls: CloudCallQueue,
    private readonly listener: ScaleInListener,
  ) {}

  /** Deletes a machine; `mayLackLease`: also while our lease is not valid, for one that keeps a cancelled task. */
  remove(worker: Worker, reason: string, mayLackLease = false): void {
    if (mayLackLease) this.withoutLease.add(worker.id);
    if (worker.isRemoving) return;
    worker.isRemoving = true;
    worker.cordon ??= 'scaling in';
    this.ctx.log.info({ machine: worker.id, reason, tasks: worker.tasks.size }, 'deleting machine');
    this.requested.add(worker.id);
    if (this.requested.size === 1) this.ctx.clock.after(BATCH_WINDOW_MS, () => void this.deleteRequested());
  }

  private async deleteRequested(): Promise<void> {
    while (this.requested.size > 0 && !this.ctx.isEnded()) {
      await this.cloudCalls.next();
      const deletable = this.ctx.isLeaseValid() ? this.requested : this.withoutLease;
      const batch = [...deletable].slice(0, MAX_MACHINES_PER_CALL);
      if (batch.length === 0) await sleep(this.ctx.clock, LEASE_CHECK_INTERVAL_MS);
      else await this.delete(batch);
    }
  }

  private async delete(batch: readonly MachineId[]): Promise<void> {
    try {
      await this.ctx.cloud.deleteMachines(batch);
      for (const id of batch) this.recordGone(id);
      this.listener.machinesDeleted();
      this.ctx.requestDecision();
    } catch (error) {
      this.ctx.log.info({ count: batch.length, error: errorMessage(error) }, 'machine deletion failed');
      await sleep(this.ctx.clock, RETRY_MS + this.ctx.random() * RETRY_JITTER_MS);
    }
  }

  private recordGone(id: MachineId): void {
    this.requested.delete(id);
    this.withoutLease.delete(id);
    const worker = this.ctx.workers.get(id);
    this.ctx.workers.remove(id);
    if (worker) this.listener.machineGone(worker);
  }
}
