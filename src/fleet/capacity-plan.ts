/** Which machines to request for waiting tasks: bin packing over the pools that the cloud offers. */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import { allocate, fits, type FreeCapacity, type JobSpec, type Resources } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import {
  machineRefusal,
  remainingInZone,
  type ZoneCounts,
  zoneRefusal,
} from '../scheduler/placement-rule.js';

/** One kind of machine that can be requested: a type in a zone, spot or on-demand. */
export interface Pool {
  readonly type: MachineType;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** A pool named by its machine type. */
interface PoolId {
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** Formats a pool as a map key, and for a log line. */
export const poolKey = ({ type, zone, spot }: PoolId): string =>
  `${type}|${zone}|${spot ? 'spot' : 'on-demand'}`;

/** Ends the keys of spot series. These keys are stored: the text stays. */
const SPOT_SUFFIX = '~spot';

/** Returns the key of the series that a forecast is made for: a machine type, spot and on-demand need apart. */
export const seriesKey = (type: MachineTypeId, spot: boolean): string =>
  spot ? `${type}${SPOT_SUFFIX}` : type;

/** Returns the machine type and kind that a series is about. */
export function readSeriesKey(key: string): { type: MachineTypeId; spot: boolean } {
  const spot = key.endsWith(SPOT_SUFFIX);
  return { type: (spot ? key.slice(0, -SPOT_SUFFIX.length) : key) as MachineTypeId, spot };
}

/** A machine that is not up yet, with the capacity of it that is not assigned. */
export interface PendingMachine extends PoolId {
  readonly free: FreeCapacity;
}

/** Tasks of one job that need capacity. */
export interface CapacityDemand {
  readonly spec: JobSpec;
  readonly tasks: number;
  /** Where its other tasks may be: a machine in a zone that takes no more of them is of no use. */
  readonly zones: ZoneCounts;
}

/** Machines to be requested from one pool. */
export interface CapacityRequest {
  readonly pool: Pool;
  readonly count: number;
}

/** Returns every pool that the machine types allow. */
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

/** Returns the price of one of the pool's machines per hour. */
export const hourlyPrice = (pool: { type: MachineType; spot: boolean }): number =>
  pool.spot ? pool.type.spotPrice : pool.type.price;

/** Tasks that need nothing of a machine still have a limit for each. */
const MAX_TASKS_PER_MACHINE = 1000;
const FRACTION_TOLERANCE = 1e-9;
const PRICE_TOLERANCE = 1e-12;

function timesContained(need: number, available: number): number {
  return need > 0 ? Math.floor(available / need + FRACTION_TOLERANCE) : Infinity;
}

/** Returns how many of the tasks one empty machine takes. */
export function tasksPerMachine(spec: JobSpec, total: Resources): number {
  const tasks = Math.min(
    timesContained(spec.cpus, total.cpus),
    timesContained(spec.gpus, total.gpus),
    timesContained(spec.memoryGb, total.memoryGb),
  );
  return tasks === Infinity ? MAX_TASKS_PER_MACHINE : tasks;
}

/** Returns the pool where these tasks cost least: the machine's price shared by as many of them as it takes. */
export function cheapestPool({ spec, tasks, zones }: CapacityDemand, pools: readonly Pool[]): Pool | null {
  let best: Pool | null = null;
  let bestCost = Infinity;
  for (const pool of pools) {
    if (machineRefusal(spec, { type: pool.type.id, zone: pool.zone, spot: pool.spot }) !== null) continue;
    const taken = Math.min(tasks, tasksPerMachine(spec, pool.type), remainingInZone(spec, zones, pool.zone));
    if (taken === 0) continue;
    const cost = hourlyPrice(pool) / taken;
    if (cost < bestCost - PRICE_TOLERANCE) {
      best = pool;
      bestCost = cost;
    }
  }
  return best;
}

/** One job's tasks while they are packed onto machines, by the same rule as placement will use. */
class BinPacking {
  private readonly zones: Map<ZoneId, number>;
  private remainingTasks: number;

  constructor(private readonly demand: CapacityDemand) {
    this.zones = new Map(demand.zones);
    this.remainingTasks = demand.tasks;
  }

  get isComplete(): boolean {
    return this.remainingTasks <= 0;
  }

  /** The tasks that still need capacity, and where the others are. */
  get remaining(): CapacityDemand {
    return { spec: this.demand.spec, tasks: this.remainingTasks, zones: this.zones };
  }

  fill(machine: PendingMachine): void {
    const { spec } = this.demand;
    const { zone, free } = machine;
    if (machineRefusal(spec, machine) !== null) return;
    while (!this.isComplete && fits(spec, free) && zoneRefusal(spec, this.zones, zone) === null) {
      allocate(free, spec);
      this.zones.set(zone, (this.zones.get(zone) ?? 0) + 1);
      this.remainingTasks--;
    }
  }
}

/** Returns an empty machine of the pool. */
export function pendingMachineOf({ type, zone, spot }: Pool): PendingMachine {
  const { id, cpus, gpus, memoryGb } = type;
  return { type: id, zone, spot, free: { cpus, gpus, memoryGb } };
}

/** Returns what to request at once for queued tasks that neither free nor pending machines will take. */
export function planScaleOut(
  demands: readonly CapacityDemand[],
  pending: readonly PendingMachine[],
  pools: readonly Pool[],
  maxMachines: number,
): CapacityRequest[] {
  const machines: PendingMachine[] = pending.map((machine) => ({ ...machine, free: { ...machine.free } }));
  const requests = new Map<string, { readonly pool: Pool; count: number }>();
  let allowedMachines = maxMachines;
  for (const demand of demands) {
    const packing = new BinPacking(demand);
    for (const machine of machines) packing.fill(machine);
    while (!packing.isComplete && allowedMachines > 0) {
      const pool = cheapestPool(packing.remaining, pools);
      if (!pool) break;
      const machine = pendingMachineOf(pool);
      machines.push(machine);
      packing.fill(machine);
      allowedMachines--;
      const key = poolKey(machine);
      const request = requests.get(key);
      if (request) request.count++;
      else requests.set(key, { pool, count: 1 });
    }
  }
  return [...requests.values()];
}
