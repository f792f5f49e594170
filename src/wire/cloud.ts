import * as z from 'zod/mini';
import type { HostId, RentalName, TypeId, ZoneId } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import { seconds } from '../model/time.js';
import { amount, word } from './common.js';

const types = z.object({
  flavours: z.array(
    z.object({
      name: word,
      cpus: amount,
      gpus: z.nullish(amount),
      memoryGb: amount,
      cacheGb: z.nullish(amount),
      fetchGbPerS: z.nullish(amount),
      price: amount,
      spotPrice: z.nullish(amount),
      startupS: amount,
      halls: z.array(word),
    }),
  ),
});

/** Machine types as the cloud lists them. Throws on anything else. */
export function readTypes(body: unknown): MachineType[] {
  return types.parse(body).flavours.map((t) => ({
    id: t.name as TypeId,
    cpus: t.cpus,
    gpus: t.gpus ?? 0,
    memoryGb: t.memoryGb,
    cacheGb: t.cacheGb ?? 0,
    fetchGbPerS: t.fetchGbPerS ?? 1,
    price: t.price,
    spotPrice: t.spotPrice ?? t.price,
    boot: seconds(t.startupS),
    zones: t.halls as ZoneId[],
  }));
}

const hosts = z.object({ hosts: z.array(word) });

/** The machines that a rental brought. Throws on anything else. */
export function readRented(body: unknown): HostId[] {
  return hosts.parse(body).hosts as HostId[];
}

const list = z.object({
  hosts: z.array(
    z.object({
      ref: word,
      address: z.nullish(z.string()),
      flavour: word,
      hall: word,
      reclaimable: z.boolean(),
      status: word,
      heldS: amount,
    }),
  ),
  more: z.nullish(z.boolean()),
});

/** A state that we do not know is taken for one before the first report. */
const LISTED_STATES: Record<string, ListedMachine['status']> = { failed: 'failed', running: 'running' };

/** One page of the machine list. Throws on anything else. */
export function readList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = list.parse(body);
  return {
    more: page.more ?? false,
    machines: page.hosts.map((h) => ({
      id: h.ref as HostId,
      address: h.address ?? '',
      type: h.flavour as TypeId,
      zone: h.hall as ZoneId,
      spot: h.reclaimable,
      status: LISTED_STATES[h.status] ?? 'starting',
      age: seconds(h.heldS),
    })),
  };
}

/** A request for machines. */
export interface Rental {
  readonly name: RentalName;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly count: number;
}

/** The body of a rental request. */
export function rentalBody(r: Rental): object {
  return { hire: r.name, flavour: r.type, hall: r.zone, reclaimable: r.spot, howMany: r.count };
}
