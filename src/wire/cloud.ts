import * as z from 'zod/mini';
import type { MachineId, ScaleOutRequestId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import { seconds } from '../model/time.js';
import { nonNegativeNumber, shortName } from './common.js';

const types = z.object({
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

/** Machine types as the cloud lists them. Throws on anything else. */
export function readMachineTypes(body: unknown): MachineType[] {
  return types.parse(body).flavours.map((t) => ({
    id: t.name as MachineTypeId,
    cpus: t.cpus,
    gpus: t.gpus ?? 0,
    memoryGb: t.memoryGb,
    cacheGb: t.cacheGb ?? 0,
    fetchGbPerS: t.fetchGbPerS ?? 1,
    price: t.price,
    spotPrice: t.spotPrice ?? t.price,
    bootTime: seconds(t.startupS),
    zones: t.halls as ZoneId[],
  }));
}

const hosts = z.object({ hosts: z.array(shortName) });

/** The machines that a rental brought. Throws on anything else. */
export function readCreatedMachines(body: unknown): MachineId[] {
  return hosts.parse(body).hosts as MachineId[];
}

const list = z.object({
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

/** A state that we do not know is taken for one before the first report. */
const LISTED_STATES: Record<string, ListedMachine['status']> = { failed: 'failed', running: 'running' };

/** One page of the machine list. Throws on anything else. */
export function readMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = list.parse(body);
  return {
    more: page.more ?? false,
    machines: page.hosts.map((h) => ({
      id: h.ref as MachineId,
      address: h.address ?? '',
      type: h.flavour as MachineTypeId,
      zone: h.hall as ZoneId,
      spot: h.reclaimable,
      status: LISTED_STATES[h.status] ?? 'starting',
      age: seconds(h.heldS),
    })),
  };
}

/** A request for machines. */
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
export function scaleOutBody(r: ScaleOutRequest): object {
  return { hire: r.name, flavour: r.type, hall: r.zone, reclaimable: r.spot, howMany: r.count };
}
