/** Maintains the list of machine types. */
import type { ControllerContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineType } from '../model/machine.js';
import { sleep } from '../model/time.js';
import { keys } from '../store/keys.js';
import { decodeMachineTypes, encodeMachineTypes } from '../store/machine-type-record.js';

/**
 * The mean interval between reads of the machine types from the cloud; each interval is randomized by 20 % either way.
 */
const REFRESH_INTERVAL_MS = 60_000;
/** How often the machine types are read from the store until they are available. */
const STORE_READ_INTERVAL_MS = 500;
/** The delay before a failed refresh is retried; a random jitter of up to the same time is added. */
const CLOUD_RETRY_DELAY_MS = 600;

/**
 * Reads the machine types from the cloud API and, until the first types are available, also from their last copy in the
 * store. The types are refreshed periodically, because their prices change.
 */
export class MachineTypeCatalog {
  private readonly waiters: (() => void)[] = [];

  constructor(private readonly ctx: ControllerContext) {}

  /**
   * Starts to read the machine types: from the store until types are available, and from the cloud until the process
   * ends.
   */
  start(): void {
    // Neither of the two promises rejects: errors are logged and the reads are retried.
    void this.loadFromStore();
    void this.refreshFromCloud();
  }

  /** Resolves once machine types are available. */
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
        await sleep(this.ctx.clock, CLOUD_RETRY_DELAY_MS + this.ctx.random() * CLOUD_RETRY_DELAY_MS);
      }
    }
  }
}
