/** Machines and machine types of the cloud. */
import type { MachineId, MachineTypeId, ZoneId } from './ids.js';
import type { Resources } from './job.js';
import type { Millis } from './time.js';

/** A machine type of the cloud. Prices are per hour. */
export interface MachineType extends Resources {
  readonly id: MachineTypeId;
  /** Size of the machine's image cache. */
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** Usual time from the request for a machine to the machine's first heartbeat. */
  readonly bootTime: Millis;
  readonly zones: readonly ZoneId[];
}

/** A machine rented from the cloud. */
export interface Machine {
  readonly id: MachineId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** A machine in the cloud's list of machines. */
export interface ListedMachine extends Machine {
  readonly address: string;
  readonly status: 'starting' | 'running' | 'failed';
  /** Time since the machine was rented. */
  readonly age: Millis;
}
