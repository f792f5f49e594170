/** Deletes machines: surplus ones, and ones that are fenced. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { CloudCallQueue } from './cloud-call-queue.js';

const MOST_PER_DELETE = 100;
/** Machines that are to go within this share a call. */
const TOGETHER_MS = 20;
/** Between two looks whether we surely lead. */
const UNSURE_MS = 250;
const AGAIN_MS = 700;
const AGAIN_JITTER_MS = 300;

/** Once the cloud has answered a deletion, the machine and everything on it are gone: the fast fence. */
export class ScaleIn {
  private readonly removing = new Set<MachineId>();
  /** Of those, the ones that go even while it is not sure that we lead. */
  private readonly withoutLease = new Set<MachineId>();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly turns: CloudCallQueue,
    private readonly onGone: (worker: Worker) => void,
    private readonly onRemoved: () => void,
  ) {}

  /** `unsureToo`: whatever becomes of our grant, for a machine that keeps a cancelled task. */
  remove(worker: Worker, why: string, unsureToo = false): void {
    if (unsureToo) this.withoutLease.add(worker.id);
    if (worker.isRemoving) return;
    worker.isRemoving = true;
    worker.cordon ??= 'scaling in';
    this.ctx.log.info({ worker: worker.id, why, tasks: worker.tasks.size }, 'deleting machine');
    this.removing.add(worker.id);
    if (this.removing.size === 1) this.ctx.clock.after(TOGETHER_MS, () => void this.flush());
  }

  private async flush(): Promise<void> {
    while (this.removing.size > 0 && !this.ctx.isEnded()) {
      await this.turns.next();
      const may = this.ctx.isLeaseValid() ? this.removing : this.withoutLease;
      const batch = [...may].slice(0, MOST_PER_DELETE);
      if (batch.length === 0) await sleep(this.ctx.clock, UNSURE_MS);
      else await this.delete(batch);
    }
  }

  private async delete(batch: readonly MachineId[]): Promise<void> {
    try {
      await this.ctx.cloud.deleteMachines(batch);
      for (const id of batch) this.gone(id);
      this.onRemoved();
      this.ctx.requestDecision();
    } catch (error) {
      this.ctx.log.info({ count: batch.length, error: errorMessage(error) }, 'deletion not confirmed');
      await sleep(this.ctx.clock, AGAIN_MS + this.ctx.random() * AGAIN_JITTER_MS);
    }
  }

  private gone(id: MachineId): void {
    this.removing.delete(id);
    this.withoutLease.delete(id);
    const worker = this.ctx.workers.get(id);
    this.ctx.workers.remove(id);
    if (worker) this.onGone(worker);
  }
}
