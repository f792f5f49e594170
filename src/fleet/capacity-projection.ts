import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineTypeId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import { type Millis, type MonotonicTime, since } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { QueuedWork } from './backlog.js';
import { allPools, cheapestPool, perMachine, type Pool, seriesKey } from './capacity-plan.js';

/** What the fleet looks like from here: its expected frees of a slot and its idle room. */
export interface CapacityProjection {
  /** Expected frees of work that needs ordinary machines, in machines, by series. */
  readonly frees: ReadonlyMap<string, number>;
  /** Idle room, up or coming, in machines, by series. */
  readonly reserves: ReadonlyMap<string, number>;
  /** Types of machines that hold replicas. */
  readonly replicasOn: ReadonlySet<MachineTypeId>;
  /** CPUs that work for spot machines is expected to free, wherever it runs. */
  readonly spotFrees: number;
  /** The part of a slot's new spot work that ends within the slot itself, arriving evenly over it. */
  readonly spotOwnFrees: number;
  /** CPUs that are idle, on any machine, less what is queued for them. */
  readonly spotIdle: number;
}

/** What the projection is made from. */
export interface Fleet {
  readonly workers: Iterable<Worker>;
  readonly pending: Iterable<{ readonly pool: Pool; readonly count: number }>;
  readonly queue: readonly QueuedWork[];
  readonly types: Iterable<MachineType>;
}

const bump = (map: Map<string, number>, key: string, n: number): void => {
  map.set(key, (map.get(key) ?? 0) + n);
};

/** Expected frees within one slot, and idle room, over all machines that are up or coming. */
export function projectCapacity(
  fleet: Fleet,
  lifetimes: Lifetimes,
  slot: Millis,
  now: MonotonicTime,
): CapacityProjection {
  const frees = new Map<string, number>();
  const reserves = new Map<string, number>();
  const replicasOn = new Set<MachineTypeId>();
  let spotFrees = 0;
  let spotIdle = 0;
  let spotCpus = 0;
  let ownFrees = 0;
  for (const worker of fleet.workers) {
    if (!worker.presumedFacts) continue;
    const { machine, type } = worker.presumedFacts;
    const key = seriesKey(machine.type, machine.spot);
    // Work for spot machines makes room on an ordinary one when it is needed: the machine counts as idle.
    let idle = type.cpus;
    for (const task of worker.tasks) {
      const { spec } = task.job;
      const age = task.runningAt === null ? 0 : since(now, task.runningAt);
      const ends = lifetimes.endProbability(spec.jobClass, age, slot, spec.estimatedRunS * 1000);
      if (spec.allowsSpot) {
        spotFrees += ends * spec.cpus;
        spotCpus += spec.cpus;
        ownFrees +=
          lifetimes.endProbability(spec.jobClass, 0, slot / 2, spec.estimatedRunS * 1000) * spec.cpus;
      } else bump(frees, key, ends / Math.max(1, perMachine(spec, type)));
      if (machine.spot || !spec.allowsSpot) idle -= spec.cpus;
    }
    if (worker.hasReplicas) replicasOn.add(machine.type);
    if (worker.cordon) continue;
    spotIdle += Math.max(0, worker.free.cpus);
    bump(reserves, key, Math.max(0, idle) / type.cpus);
  }
  for (const { pool, count } of fleet.pending) {
    spotIdle += count * pool.type.cpus;
    bump(reserves, seriesKey(pool.type.id, pool.spot), count);
  }
  const pools = allPools(fleet.types);
  // What is queued already has its place on the machines that are coming.
  for (const work of fleet.queue) {
    const { spec, tasks } = work;
    spotIdle -= tasks * spec.cpus;
    const pool = spec.allowsSpot ? null : cheapestPool(work, pools);
    if (pool) bump(reserves, seriesKey(pool.type.id, false), -tasks / perMachine(spec, pool.type));
  }
  return {
    frees,
    reserves,
    replicasOn,
    spotFrees,
    spotOwnFrees: spotCpus > 0 ? ownFrees / spotCpus : 0,
    spotIdle: Math.max(0, spotIdle),
  };
}
