import type { MachineId, MachineTypeId, ZoneId } from './ids.js';
import type { Resources } from './job.js';
import type { Millis } from './time.js';

/** A machine type as the cloud describes it; prices per hour. */
export interface MachineType extends Resources {
  readonly id: MachineTypeId;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootTime: Millis;
  readonly zones: readonly ZoneId[];
}

/** One rented machine. */
export interface Machine {
  readonly id: MachineId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** A machine as the cloud's list shows it. */
export interface ListedMachine extends Machine {
  readonly address: string;
  readonly status: 'starting' | 'running' | 'failed';
  readonly age: Millis;
}
