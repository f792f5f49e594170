/** Codecs of the cloud's HTTP bodies. On the wire, a machine type is a `flavour` and a zone is a `hall`. */
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

/** Decodes the list of machine types. Throws if the body has another form. */
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

const createdMachinesSchema = z.object({ hosts: z.array(shortName) });

/** Decodes the ids of the machines that a request created. Throws if the body has another form. */
export function readCreatedMachines(body: unknown): MachineId[] {
  return createdMachinesSchema.parse(body).hosts as MachineId[];
}

const machineListSchema = z.object({
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

/** Statuses of listed machines by wire name. A machine with any other status is treated as `starting`. */
const LISTED_STATUSES: Record<string, ListedMachine['status']> = { failed: 'failed', running: 'running' };

/** Decodes one page of the machine list. Throws if the body has another form. */
export function readMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = machineListSchema.parse(body);
  return {
    more: page.more ?? false,
    machines: page.hosts.map((host) => ({
      id: host.ref as MachineId,
      address: host.address ?? '',
      type: host.flavour as MachineTypeId,
      zone: host.hall as ZoneId,
      spot: host.reclaimable,
      status: LISTED_STATUSES[host.status] ?? 'starting',
      age: seconds(host.heldS),
    })),
  };
}

/** A request to create machines. The name is an idempotency key: a repeated request creates no further machines. */
export interface ScaleOutRequest {
  readonly name: ScaleOutRequestId;
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

/** Encodes the body of a request to delete machines. */
export function deleteMachinesBody(machines: readonly MachineId[]): object {
  return { hosts: machines };
}

/** Encodes the body of a request to create machines. */
export function scaleOutBody({ name, type, zone, spot, count }: ScaleOutRequest): object {
  return { hire: name, flavour: type, hall: zone, reclaimable: spot, howMany: count };
}
