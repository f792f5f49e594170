/** Keeps the list of machine types up to date. */
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineType } from '../model/machine.js';
import { sleep } from '../model/time.js';
import { keys } from '../store/keys.js';
import { decodeMachineTypes, encodeMachineTypes } from '../store/machine-type-record.js';

const REFRESH_INTERVAL_MS = 60_000;
const STORE_READ_INTERVAL_MS = 500;
/** After a failure the cloud is asked again after this, and up to as much more. */
const CLOUD_RETRY_MS = 600;

/**
 * Reads the machine types from the cloud or, while its API is down, as they were last written to the store. Prices
 * change, so they are read again now and then.
 */
export class MachineTypeCatalog {
  private readonly waiters: (() => void)[] = [];

  constructor(private readonly ctx: ControllerContext) {}

  /** Reads the types from the store until they are known, and from the cloud until the process ends. */
  start(): void {
    // Neither rejects: failures are logged and retried.
    void this.loadFromStore();
    void this.refreshFromCloud();
  }

  /** Resolves once machine types are known. */
  whenAvailable(): Promise<void> {
    if (this.ctx.machineTypes.size > 0) return Promise.resolve();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private update(types: readonly MachineType[]): void {
    for (const type of types) this.ctx.machineTypes.set(type.id, type);
    if (types.length > 0) for (const resolve of this.waiters.splice(0)) resolve();
  }

  private async loadFromStore(): Promise<void> {
    while (this.ctx.machineTypes.size === 0) {
      try {
        const row = await this.ctx.store.get(keys.machineTypes);
        if (row) this.update(decodeMachineTypes(row.value));
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'reading machine types from store failed');
      }
      await sleep(this.ctx.clock, STORE_READ_INTERVAL_MS);
    }
  }

  private async refreshFromCloud(): Promise<void> {
    let writtenShapes = '';
    for (;;) {
      try {
        const types = await this.ctx.cloud.listMachineTypes();
        this.update(types);
        const shapes = JSON.stringify(types.map((type) => [type.id, type.cpus, type.memoryGb, type.zones]));
        if (shapes !== writtenShapes) {
          await this.ctx.store.txn([], [{ set: keys.machineTypes, value: encodeMachineTypes(types) }]);
          writtenShapes = shapes;
        }
        await sleep(this.ctx.clock, REFRESH_INTERVAL_MS * (0.8 + 0.4 * this.ctx.random()));
      } catch (error) {
        this.ctx.log.debug({ error: errorMessage(error) }, 'machine type refresh failed');
        await sleep(this.ctx.clock, CLOUD_RETRY_MS + this.ctx.random() * CLOUD_RETRY_MS);
      }
    }
  }
}
