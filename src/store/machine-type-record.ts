/** Codec of the machine type record (`cloud/types`). All versions share the format. */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import type { Millis } from '../model/time.js';

/** One machine type as stored; the names of the fields never change. */
interface StoredMachineType {
  readonly id: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** Usual boot time in milliseconds. */
  readonly boot: number;
  readonly zones: readonly string[];
}

/** Encodes the value under `cloud/types`. */
export function encodeMachineTypes(types: readonly MachineType[]): StoredMachineType[] {
  return types.map(({ bootTime, zones, ...type }) => ({ ...type, boot: bootTime, zones }));
}

/** Decodes the value under `cloud/types`. */
export function decodeMachineTypes(value: unknown): MachineType[] {
  return (value as StoredMachineType[]).map(({ id, boot, zones, ...type }) => ({
    ...type,
    id: id as MachineTypeId,
    bootTime: boot as Millis,
    zones: zones as readonly ZoneId[],
  }));
}
