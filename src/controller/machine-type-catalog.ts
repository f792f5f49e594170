import { errorMessage } from '../log/logger.js';
import type { MachineType } from '../model/machine.js';
import { sleep } from '../model/time.js';
import { keys } from '../store/keys.js';
import { decodeMachineTypes, encodeMachineTypes } from '../store/machine-type-record.js';
import type { ControllerContext } from '../core/context.js';

const REFRESH_MS = 60_000;

/**
 * The machine types: from the cloud, or, while its interface is down, as they were last written.
 * Prices move, so they are read again now and then.
 */
export class MachineTypeCatalog {
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly ctx: ControllerContext) {}

  run(): void {
    void this.fromStore();
    void this.refresh();
  }

  known(): Promise<void> {
    if (this.ctx.machineTypes.size > 0) return Promise.resolve();
    return new Promise((resolve) => this.waiting.push(resolve));
  }

  private learn(types: readonly MachineType[]): void {
    for (const type of types) this.ctx.machineTypes.set(type.id, type);
    if (types.length > 0) for (const go of this.waiting.splice(0)) go();
  }

  private async fromStore(): Promise<void> {
    while (this.ctx.machineTypes.size === 0) {
      try {
        const row = await this.ctx.store.get(keys.machineTypes);
        if (row) this.learn(decodeMachineTypes(row.value));
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'types not read from the state service');
      }
      await sleep(this.ctx.clock, 500);
    }
  }

  private async refresh(): Promise<void> {
    let written = '';
    for (;;) {
      try {
        const types = await this.ctx.cloud.listMachineTypes();
        this.learn(types);
        const shape = JSON.stringify(types.map((t) => [t.id, t.cpus, t.memoryGb, t.zones]));
        if (shape !== written) {
          await this.ctx.store.txn([], [{ set: keys.machineTypes, value: encodeMachineTypes(types) }]);
          written = shape;
        }
        await sleep(this.ctx.clock, REFRESH_MS * (0.8 + 0.4 * this.ctx.random()));
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'types not read from the cloud');
        await sleep(this.ctx.clock, 600 + this.ctx.random() * 600);
      }
    }
  }
}
