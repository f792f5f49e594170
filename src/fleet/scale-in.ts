/** Deletes machines: surplus ones, and ones that are fenced. */
import type { LeaderContext } from '../core/context.js';
import { reason } from '../log/logger.js';
import type { HostId } from '../model/ids.js';
import { sleep } from '../model/time.js';
import type { Host } from '../workers/state/worker.js';
import type { CloudTurns } from './cloud-call-queue.js';

const MOST_PER_DELETE = 100;
/** Machines that are to go within this share a call. */
const TOGETHER_MS = 20;
/** Between two looks whether we surely lead. */
const UNSURE_MS = 250;
const AGAIN_MS = 700;
const AGAIN_JITTER_MS = 300;

/** Once the cloud has answered a deletion, the machine and everything on it are gone: the fast fence. */
export class MachineRemover {
  private readonly removing = new Set<HostId>();
  /** Of those, the ones that go even while it is not sure that we lead. */
  private readonly mustGo = new Set<HostId>();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly turns: CloudTurns,
    private readonly onGone: (host: Host) => void,
    private readonly onRemoved: () => void,
  ) {}

  /** `unsureToo`: whatever becomes of our grant, for a machine that keeps a cancelled task. */
  remove(host: Host, why: string, unsureToo = false): void {
    if (unsureToo) this.mustGo.add(host.id);
    if (host.removing) return;
    host.removing = true;
    host.closed ??= 'returning';
    this.ctx.log.info({ host: host.id, why, tasks: host.tasks.size }, 'deleting machine');
    this.removing.add(host.id);
    if (this.removing.size === 1) this.ctx.clock.after(TOGETHER_MS, () => void this.flush());
  }

  private async flush(): Promise<void> {
    while (this.removing.size > 0 && !this.ctx.ended()) {
      await this.turns.next();
      const may = this.ctx.sure() ? this.removing : this.mustGo;
      const batch = [...may].slice(0, MOST_PER_DELETE);
      if (batch.length === 0) await sleep(this.ctx.clock, UNSURE_MS);
      else await this.delete(batch);
    }
  }

  private async delete(batch: readonly HostId[]): Promise<void> {
    try {
      await this.ctx.cloud.remove(batch);
      for (const id of batch) this.gone(id);
      this.onRemoved();
      this.ctx.requestDecision();
    } catch (error) {
      this.ctx.log.info({ count: batch.length, error: reason(error) }, 'deletion not confirmed');
      await sleep(this.ctx.clock, AGAIN_MS + this.ctx.random() * AGAIN_JITTER_MS);
    }
  }

  private gone(id: HostId): void {
    this.removing.delete(id);
    this.mustGo.delete(id);
    const host = this.ctx.hosts.get(id);
    this.ctx.hosts.remove(id);
    if (host) this.onGone(host);
  }
}
