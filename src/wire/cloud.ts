/** The cloud's HTTP bodies. On the wire a machine type is a `flavour` and a zone a `hall`. */
import * as z from 'zod/mini';
import type { MachineId, ScaleOutRequestId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import { seconds } from '../model/time.js';
import { nonNegativeNumber, shortName } from './common.js';

const machineTypesSchema = z.object({
  flavours: z.array(
    z.object({
      name: shortName,
      cpus: nonNegativeNumber,
      gpus: z.nullish(nonNegativeNumber),
      memoryGb: nonNegativeNumber,
      cacheGb: z.nullish(nonNegativeNumber),
      fetchGbPerS: z.nullish(nonNegativeNumber),
      price: nonNegativeNumber,
      spotPrice: z.nullish(nonNegativeNumber),
      startupS: nonNegativeNumber,
      halls: z.array(shortName),
    }),
  ),
});

/** Reads the list of machine types. Throws on anything else. */
export function readMachineTypes(body: unknown): MachineType[] {
  return machineTypesSchema.parse(body).flavours.map((flavour) => ({
    id: flavour.name as MachineTypeId,
    cpus: flavour.cpus,
    gpus: flavour.gpus ?? 0,
    memoryGb: flavour.memoryGb,
    cacheGb: flavour.cacheGb ?? 0,
    fetchGbPerS: flavour.fetchGbPerS ?? 1,
    price: flavour.price,
    spotPrice: flavour.spotPrice ?? flavour.price,
    bootTime: seconds(flavour.startupS),
    zones: flavour.halls as ZoneId[],
  }));
}

const createdSchema = z.object({ hosts: z.array(shortName) });

/** Reads the machines that a request created. Throws on anything else. */
export function readCreatedMachines(body: unknown): MachineId[] {
  return createdSchema.parse(body).hosts as MachineId[];
}

const listSchema = z.object({
  hosts: z.array(
    z.object({
      ref: shortName,
      address: z.nullish(z.string()),
      flavour: shortName,
      hall: shortName,
      reclaimable: z.boolean(),
      status: shortName,
      heldS: nonNegativeNumber,
    }),
  ),
  more: z.nullish(z.boolean()),
});

/** The states of listed machines; any other counts as starting. */
const LISTED_STATES: Record<string, ListedMachine['status']> = { failed: 'failed', running: 'running' };

/** Reads one page of the machine list. Throws on anything else. */
export function readMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = listSchema.parse(body);
  return {
    more: page.more ?? false,
    machines: page.hosts.map((host) => ({
      id: host.ref as MachineId,
      address: host.address ?? '',
      type: host.flavour as MachineTypeId,
      zone: host.hall as ZoneId,
      spot: host.reclaimable,
      status: LISTED_STATES[host.status] ?? 'starting',
      age: seconds(host.heldS),
    })),
  };
}

/** A request for machines; repeating it under the same name creates no further ones. */
export interface ScaleOutRequest {
  readonly name: ScaleOutRequestId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

/** The body of a request that deletes machines. */
export function deleteMachinesBody(machines: readonly MachineId[]): object {
  return { hosts: machines };
}

/** The body of a request for machines. */
export function scaleOutBody({ name, type, zone, spot, count }: ScaleOutRequest): object {
  return { hire: name, flavour: type, hall: zone, reclaimable: spot, howMany: count };
}
