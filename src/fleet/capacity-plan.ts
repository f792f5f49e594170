/** Planning of machine requests for waiting tasks, by bin packing onto the pools that the cloud offers. */
import type { MachineTypeId, ZoneId } from '../model/ids.js';
import { allocate, fits, type FreeCapacity, type JobSpec, type Resources } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import {
  machineRefusal,
  remainingInZone,
  type ZoneCounts,
  zoneRefusal,
} from '../scheduler/placement-rule.js';

/** A pool of identical machines that the cloud offers: a machine type in one zone, either spot or on-demand. */
export interface MachinePool {
  readonly type: MachineType;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** Identifies a pool by the id of its machine type instead of the full type. */
interface PoolId {
  readonly type: MachineTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** Formats a pool as a key for maps and log lines. */
export const poolKey = ({ type, zone, spot }: PoolId): string =>
  `${type}|${zone}|${spot ? 'spot' : 'on-demand'}`;

/** The suffix of the keys of spot series. Stored data contains these keys: do not change the suffix. */
const SPOT_SUFFIX = '~spot';

/**
 * Returns the key of a forecast series. Each machine type has two series, one for spot and one for on-demand
 * machines.
 */
export const seriesKey = (type: MachineTypeId, spot: boolean): string =>
  spot ? `${type}${SPOT_SUFFIX}` : type;

/** Parses a series key into the machine type and whether the series is for spot machines. */
export function parseSeriesKey(key: string): { type: MachineTypeId; spot: boolean } {
  const spot = key.endsWith(SPOT_SUFFIX);
  return { type: (spot ? key.slice(0, -SPOT_SUFFIX.length) : key) as MachineTypeId, spot };
}

/** A machine that is requested or booting, with the capacity that is not yet assigned to tasks. */
export interface PendingMachine extends PoolId {
  readonly free: FreeCapacity;
}

/** The tasks of one job for which capacity is needed. */
export interface CapacityDemand {
  readonly spec: JobSpec;
  readonly tasks: number;
  /**
   * The job's other tasks that may be on machines, by zone. The job's zone constraints may exclude zones because of
   * these tasks.
   */
  readonly zones: ZoneCounts;
}

/** A number of machines to request from one pool. */
export interface CapacityRequest {
  readonly pool: MachinePool;
  readonly count: number;
}

/** Returns the pools of all machine types: spot and on-demand, in each zone of the type. */
export function allPools(types: Iterable<MachineType>): MachinePool[] {
  const pools: MachinePool[] = [];
  for (const type of types) {
    for (const zone of type.zones) {
      pools.push({ type, zone, spot: false });
      pools.push({ type, zone, spot: true });
    }
  }
  return pools;
}

/** Returns the price per hour of one machine of a pool. */
export const hourlyPrice = (pool: { type: MachineType; spot: boolean }): number =>
  pool.spot ? pool.type.spotPrice : pool.type.price;

/** The maximum number of tasks that one machine is planned to take if the tasks request no resources. */
const MAX_TASKS_PER_MACHINE = 1000;
/** Absorbs floating-point errors where a resource is an exact multiple of a task's request. */
const FRACTION_TOLERANCE = 1e-9;
/** Price differences up to this count as rounding errors, so that the first of equally cheap pools is used. */
const PRICE_TOLERANCE = 1e-12;

function maxFitCount(need: number, available: number): number {
  return need > 0 ? Math.floor(available / need + FRACTION_TOLERANCE) : Infinity;
}

/** Returns the number of tasks of this job that fit on one empty machine with the resources `total`. */
export function tasksPerMachine(spec: JobSpec, total: Resources): number {
  const tasks = Math.min(
    maxFitCount(spec.cpus, total.cpus),
    maxFitCount(spec.gpus, total.gpus),
    maxFitCount(spec.memoryGb, total.memoryGb),
  );
  return tasks === Infinity ? MAX_TASKS_PER_MACHINE : tasks;
}

/**
 * Returns the pool with the lowest price per task, which is the machine's price divided by the number of these tasks
 * that fit on one machine. Null: no pool can run the tasks.
 */
export function cheapestPool(
  { spec, tasks, zones }: CapacityDemand,
  pools: readonly MachinePool[],
): MachinePool | null {
  let cheapest: MachinePool | null = null;
  let lowestTaskPrice = Infinity;
  for (const pool of pools) {
    if (machineRefusal(spec, { type: pool.type.id, zone: pool.zone, spot: pool.spot }) !== null) continue;
    const fittingTasks = Math.min(
      tasks,
      tasksPerMachine(spec, pool.type),
      remainingInZone(spec, zones, pool.zone),
    );
    if (fittingTasks === 0) continue;
    const taskPrice = hourlyPrice(pool) / fittingTasks;
    if (taskPrice < lowestTaskPrice - PRICE_TOLERANCE) {
      cheapest = pool;
      lowestTaskPrice = taskPrice;
    }
  }
  return cheapest;
}

/** Packs the tasks of one job onto machines, under the same placement rule that the scheduler applies. */
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

  /** The tasks that still need capacity, with the job's packed and placed tasks by zone. */
  get remaining(): CapacityDemand {
    return { spec: this.demand.spec, tasks: this.remainingTasks, zones: this.zones };
  }

  packOnto(machine: PendingMachine): void {
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

/** Returns a pending machine of the pool, without tasks. */
export function pendingMachineOf({ type, zone, spot }: MachinePool): PendingMachine {
  const { id, cpus, gpus, memoryGb } = type;
  return { type: id, zone, spot, free: { cpus, gpus, memoryGb } };
}

/** Returns the machines to request for the queued tasks that do not fit on pending machines, at most `maxMachines`. */
export function planScaleOut(
  demands: readonly CapacityDemand[],
  pending: readonly PendingMachine[],
  pools: readonly MachinePool[],
  maxMachines: number,
): CapacityRequest[] {
  const machines: PendingMachine[] = pending.map((machine) => ({ ...machine, free: { ...machine.free } }));
  const requests = new Map<string, { readonly pool: MachinePool; count: number }>();
  let allowedMachines = maxMachines;
  for (const demand of demands) {
    const packing = new BinPacking(demand);
    for (const machine of machines) packing.packOnto(machine);
    while (!packing.isComplete && allowedMachines > 0) {
      const pool = cheapestPool(packing.remaining, pools);
      if (!pool) break;
      const machine = pendingMachineOf(pool);
      machines.push(machine);
      packing.packOnto(machine);
      allowedMachines--;
      const key = poolKey(machine);
      const request = requests.get(key);
      if (request) request.count++;
      else requests.set(key, { pool, count: 1 });
    }
  }
  return [...requests.values()];
}
