/** The record of the machine types (`cloud/types`), as every version reads and writes it. */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import type { Millis } from '../model/time.js';

/** One machine type in the record; the names of its fields never change. */
interface StoredMachineType {
  readonly id: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** Milliseconds. */
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
