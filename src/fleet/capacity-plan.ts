import type { MachineTypeId, ZoneId } from '../model/ids.js';
import { fits, type JobSpec, type Resources, type FreeCapacity, allocate } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import {
  machineRefusal,
  remainingInZone,
  type ZoneCounts,
  zoneRefusal,
} from '../scheduler/placement-rule.js';

/** One kind of machine that can be asked for: a type in a zone, spot or ordinary. */
export interface Pool {
  readonly type: MachineType;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

export const poolKey = (p: { type: MachineTypeId; zone: ZoneId; spot: boolean }): string =>
  `${p.type}|${p.zone}|${p.spot ? 'spot' : 'ordinary'}`;

const SPOT = '~spot';

/** The series that a forecast is made for: a machine type, its spot and ordinary need apart. */
export const seriesKey = (type: MachineTypeId, spot: boolean): string => (spot ? `${type}${SPOT}` : type);

/** The type and kind that a series is about. */
export function readSeriesKey(key: string): { type: MachineTypeId; spot: boolean } {
  const spot = key.endsWith(SPOT);
  return { type: (spot ? key.slice(0, -SPOT.length) : key) as MachineTypeId, spot };
}

/** A machine that is not up yet, with what is not spoken for of it. */
export interface PendingMachine {
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly free: FreeCapacity;
}

/** Tasks of one job that want room. */
export interface CapacityDemand {
  readonly spec: JobSpec;
  readonly tasks: number;
  /** Where its other tasks may be: a machine in a zone that takes no more of them is of no use. */
  readonly zones: ZoneCounts;
}

/** Machines to be rented from one pool. */
export interface CapacityRequest {
  readonly pool: Pool;
  count: number;
}

/** Every pool that the machine types allow. */
export function allPools(types: Iterable<MachineType>): Pool[] {
  const pools: Pool[] = [];
  for (const type of types) {
    for (const zone of type.zones) {
      pools.push({ type, zone, spot: false });
      pools.push({ type, zone, spot: true });
    }
  }
  return pools;
}

export const price = (pool: { type: MachineType; spot: boolean }): number =>
  pool.spot ? pool.type.spotPrice : pool.type.price;

/** How many of the tasks one empty machine takes. */
export function perMachine(spec: JobSpec, total: Resources): number {
  let n = Infinity;
  if (spec.cpus > 0) n = Math.min(n, Math.floor(total.cpus / spec.cpus + 1e-9));
  if (spec.gpus > 0) n = Math.min(n, Math.floor(total.gpus / spec.gpus + 1e-9));
  if (spec.memoryGb > 0) n = Math.min(n, Math.floor(total.memoryGb / spec.memoryGb + 1e-9));
  return n === Infinity ? 1000 : n;
}

/** The pool where these tasks cost least: the machine's price shared by as many of them as it takes. */
export function cheapestPool({ spec, tasks, zones }: CapacityDemand, pools: readonly Pool[]): Pool | null {
  let best: Pool | null = null;
  let bestCost = Infinity;
  for (const pool of pools) {
    if (machineRefusal(spec, { type: pool.type.id, zone: pool.zone, spot: pool.spot }) !== null) continue;
    const n = Math.min(tasks, perMachine(spec, pool.type), remainingInZone(spec, zones, pool.zone));
    if (n === 0) continue;
    const cost = price(pool) / n;
    if (cost < bestCost - 1e-12) {
      best = pool;
      bestCost = cost;
    }
  }
  return best;
}

/** One job's tasks as they find room, by the same rule as placement will use. */
class BinPacking {
  private readonly zones: Map<ZoneId, number>;
  left: number;

  constructor(private readonly need: CapacityDemand) {
    this.zones = new Map(need.zones);
    this.left = need.tasks;
  }

  /** What still wants room, and where the others are. */
  get rest(): CapacityDemand {
    return { spec: this.need.spec, tasks: this.left, zones: this.zones };
  }

  fill(bin: PendingMachine): void {
    const { spec } = this.need;
    if (machineRefusal(spec, bin) !== null) return;
    while (this.left > 0 && fits(spec, bin.free) && zoneRefusal(spec, this.zones, bin.zone) === null) {
      allocate(bin.free, spec);
      this.zones.set(bin.zone, (this.zones.get(bin.zone) ?? 0) + 1);
      this.left--;
    }
  }
}

/** What to rent at once for queued tasks that neither free nor coming machines will take. */
export function planScaleOut(
  needs: readonly CapacityDemand[],
  coming: readonly PendingMachine[],
  pools: readonly Pool[],
  most: number,
): CapacityRequest[] {
  const bins: PendingMachine[] = coming.map((c) => ({ ...c, free: { ...c.free } }));
  const wishes = new Map<string, CapacityRequest>();
  let room = most;
  for (const need of needs) {
    const filling = new BinPacking(need);
    for (const bin of bins) filling.fill(bin);
    while (filling.left > 0 && room > 0) {
      const pool = cheapestPool(filling.rest, pools);
      if (!pool) break;
      const { cpus, gpus, memoryGb } = pool.type;
      const bin: PendingMachine = {
        type: pool.type.id,
        zone: pool.zone,
        spot: pool.spot,
        free: { cpus, gpus, memoryGb },
      };
      bins.push(bin);
      filling.fill(bin);
      room--;
      const key = poolKey(bin);
      const wish = wishes.get(key);
      if (wish) wish.count++;
      else wishes.set(key, { pool, count: 1 });
    }
  }
  return [...wishes.values()];
}
