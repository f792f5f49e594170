import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineTypeId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import { type Millis, type MonotonicTime, since } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { QueuedWork } from './backlog.js';
import { allPools, cheapestPool, type MachinePool, seriesKey, tasksPerMachine } from './capacity-plan.js';

/** The idle capacity, and the capacity that is expected to be released within one forecast slot. */
export interface CapacityProjection {
  /** The expected releases by tasks that must run on on-demand machines, in machines, by series. */
  readonly releases: ReadonlyMap<string, number>;
  /**
   * The idle capacity of uncordoned and pending machines, less the queued tasks that must run on on-demand machines, in
   * machines, by series. Spot work on an on-demand machine counts as idle capacity.
   */
  readonly reserves: ReadonlyMap<string, number>;
  /** The types of machines that run replicas of services. */
  readonly typesWithReplicas: ReadonlySet<MachineTypeId>;
  /** The CPUs that spot work is expected to release, on spot and on-demand machines. */
  readonly spotReleasedCpus: number;
  /**
   * The fraction of a slot's new spot work that ends within the same slot, if the work arrives evenly over the slot and
   * is like the spot work on machines now; 0 if there is none.
   */
  readonly spotSameSlotReleaseRatio: number;
  /** The idle CPUs of uncordoned and pending machines, less the CPUs of the queued tasks; at least 0. */
  readonly spotIdleCpus: number;
}

/** The state of the fleet and of the queue from which capacity is projected. */
export interface FleetSnapshot {
  readonly workers: Iterable<Worker>;
  readonly pending: Iterable<{ readonly pool: MachinePool; readonly count: number }>;
  readonly queue: readonly QueuedWork[];
  readonly types: Iterable<MachineType>;
}

/** Accumulates a capacity projection. "Spot work" means tasks that may run on spot machines, wherever they run now. */
class ProjectionBuilder {
  private readonly releases = new Map<string, number>();
  private readonly reserves = new Map<string, number>();
  private readonly typesWithReplicas = new Set<MachineTypeId>();
  private spotReleasedCpus = 0;
  private spotIdleCpus = 0;
  private runningSpotCpus = 0;
  private spotSameSlotReleasedCpus = 0;

  constructor(
    private readonly lifetimes: Lifetimes,
    private readonly slotMs: Millis,
    private readonly now: MonotonicTime,
  ) {}

  addWorker(worker: Worker): void {
    if (!worker.presumedFacts) return;
    const { machine, type } = worker.presumedFacts;
    const series = seriesKey(machine.type, machine.spot);
    // CPUs that spot work uses on an on-demand machine count as idle, because such work is preempted when other work
    // needs the capacity.
    let idleCpus = type.cpus;
    for (const task of worker.tasks) {
      const { spec } = task.job;
      const ageMs = task.runningAt === null ? 0 : since(this.now, task.runningAt);
      const endProbability = this.endProbability(spec, ageMs, this.slotMs);
      if (spec.allowsSpot) {
        this.spotReleasedCpus += endProbability * spec.cpus;
        this.runningSpotCpus += spec.cpus;
        this.spotSameSlotReleasedCpus += this.endProbability(spec, 0, this.slotMs / 2) * spec.cpus;
      } else addTo(this.releases, series, endProbability / Math.max(1, tasksPerMachine(spec, type)));
      if (machine.spot || !spec.allowsSpot) idleCpus -= spec.cpus;
    }
    if (worker.hasReplicas) this.typesWithReplicas.add(machine.type);
    if (worker.cordon) return;
    this.spotIdleCpus += Math.max(0, worker.free.cpus);
    addTo(this.reserves, series, Math.max(0, idleCpus) / type.cpus);
  }

  addPending(pool: MachinePool, count: number): void {
    this.spotIdleCpus += count * pool.type.cpus;
    addTo(this.reserves, seriesKey(pool.type.id, pool.spot), count);
  }

  /** Subtracts queued tasks from the idle capacity, since they will be placed on the pending machines. */
  subtractQueued(work: QueuedWork, pools: readonly MachinePool[]): void {
    const { spec, tasks } = work;
    this.spotIdleCpus -= tasks * spec.cpus;
    const pool = spec.allowsSpot ? null : cheapestPool(work, pools);
    if (pool) addTo(this.reserves, seriesKey(pool.type.id, false), -tasks / tasksPerMachine(spec, pool.type));
  }

  build(): CapacityProjection {
    return {
      releases: this.releases,
      reserves: this.reserves,
      typesWithReplicas: this.typesWithReplicas,
      spotReleasedCpus: this.spotReleasedCpus,
      spotSameSlotReleaseRatio:
        this.runningSpotCpus > 0 ? this.spotSameSlotReleasedCpus / this.runningSpotCpus : 0,
      spotIdleCpus: Math.max(0, this.spotIdleCpus),
    };
  }

  /** Returns the probability that a task that has run for `ageMs` ends within the next `durationMs`. */
  private endProbability(
    spec: { readonly jobClass: string; readonly estimatedRunS: number },
    ageMs: number,
    durationMs: number,
  ): number {
    return this.lifetimes.endProbability(spec.jobClass, ageMs, durationMs, spec.estimatedRunS * 1000);
  }
}

/** Projects the idle capacity, and the expected releases within one slot, of all running and pending machines. */
export function projectCapacity(
  fleet: FleetSnapshot,
  lifetimes: Lifetimes,
  slotMs: Millis,
  now: MonotonicTime,
): CapacityProjection {
  const builder = new ProjectionBuilder(lifetimes, slotMs, now);
  for (const worker of fleet.workers) builder.addWorker(worker);
  for (const { pool, count } of fleet.pending) builder.addPending(pool, count);
  const pools = allPools(fleet.types);
  for (const work of fleet.queue) builder.subtractQueued(work, pools);
  return builder.build();
}

function addTo(map: Map<string, number>, key: string, amount: number): void {
  map.set(key, (map.get(key) ?? 0) + amount);
}
