import type { HostId, TypeId, ZoneId } from './ids.js';
import type { Resources } from './job.js';
import type { Millis } from './time.js';

/** A machine type as the cloud describes it; prices per hour. */
export interface MachineType extends Resources {
  readonly id: TypeId;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly boot: Millis;
  readonly zones: readonly ZoneId[];
}

/** One rented machine. */
export interface Machine {
  readonly id: HostId;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** A machine as the cloud's list shows it. */
export interface ListedMachine extends Machine {
  readonly address: string;
  readonly status: 'starting' | 'running' | 'failed';
  readonly age: Millis;
}
