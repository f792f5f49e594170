/** Machines and machine types, as the cloud describes them. */
import type { MachineId, MachineTypeId, ZoneId } from './ids.js';
import type { Resources } from './job.js';
import type { Millis } from './time.js';

/** A machine type; prices are per hour. */
export interface MachineType extends Resources {
  readonly id: MachineTypeId;
  /** The size of the image cache. */
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** The usual time from the request to the first heartbeat. */
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

/** A machine in the cloud's list. */
export interface ListedMachine extends Machine {
  readonly address: string;
  readonly status: 'starting' | 'running' | 'failed';
  /** Time since it was rented. */
  readonly age: Millis;
}
