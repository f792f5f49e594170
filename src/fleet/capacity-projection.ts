import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineTypeId } from '../model/ids.js';
import type { MachineType } from '../model/machine.js';
import { type Millis, type MonotonicTime, since } from '../model/time.js';
import type { Worker } from '../workers/state/worker.js';
import type { QueuedWork } from './backlog.js';
import { allPools, cheapestPool, type Pool, seriesKey, tasksPerMachine } from './capacity-plan.js';

/** The capacity that is idle now, and that is expected to be released within one slot. */
export interface CapacityProjection {
  /** Expected releases of work that needs on-demand machines, in machines, by series. */
  readonly releases: ReadonlyMap<string, number>;
  /** Idle capacity, up or pending, in machines, by series. */
  readonly reserves: ReadonlyMap<string, number>;
  /** Types of machines that hold replicas. */
  readonly typesWithReplicas: ReadonlySet<MachineTypeId>;
  /** CPUs that spot work is expected to release, wherever it runs. */
  readonly spotReleasedCpus: number;
  /** The part of a slot's new spot work that ends within the slot itself, arriving evenly over it. */
  readonly spotOwnReleaseShare: number;
  /** CPUs that are idle, on any machine, less what is queued for them. */
  readonly spotIdleCpus: number;
}

/** What the projection is made from. */
export interface Fleet {
  readonly workers: Iterable<Worker>;
  readonly pending: Iterable<{ readonly pool: Pool; readonly count: number }>;
  readonly queue: readonly QueuedWork[];
  readonly types: Iterable<MachineType>;
}

/** Adds up the projection. "Spot work" is work that may run on spot machines, wherever it runs. */
class ProjectionBuilder {
  private readonly releases = new Map<string, number>();
  private readonly reserves = new Map<string, number>();
  private readonly typesWithReplicas = new Set<MachineTypeId>();
  private spotReleasedCpus = 0;
  private spotIdleCpus = 0;
  private spotCpus = 0;
  private spotOwnReleasedCpus = 0;

  constructor(
    private readonly lifetimes: Lifetimes,
    private readonly slot: Millis,
    private readonly now: MonotonicTime,
  ) {}

  addWorker(worker: Worker): void {
    if (!worker.presumedFacts) return;
    const { machine, type } = worker.presumedFacts;
    const series = seriesKey(machine.type, machine.spot);
    // Spot work on an on-demand machine is preempted when the capacity is needed: the machine counts as idle.
    let idleCpus = type.cpus;
    for (const task of worker.tasks) {
      const { spec } = task.job;
      const age = task.runningAt === null ? 0 : since(this.now, task.runningAt);
      const endingShare = this.endingShare(spec, age, this.slot);
      if (spec.allowsSpot) {
        this.spotReleasedCpus += endingShare * spec.cpus;
        this.spotCpus += spec.cpus;
        this.spotOwnReleasedCpus += this.endingShare(spec, 0, this.slot / 2) * spec.cpus;
      } else addTo(this.releases, series, endingShare / Math.max(1, tasksPerMachine(spec, type)));
      if (machine.spot || !spec.allowsSpot) idleCpus -= spec.cpus;
    }
    if (worker.hasReplicas) this.typesWithReplicas.add(machine.type);
    if (worker.cordon) return;
    this.spotIdleCpus += Math.max(0, worker.free.cpus);
    addTo(this.reserves, series, Math.max(0, idleCpus) / type.cpus);
  }

  addPending(pool: Pool, count: number): void {
    this.spotIdleCpus += count * pool.type.cpus;
    addTo(this.reserves, seriesKey(pool.type.id, pool.spot), count);
  }

  /** What is queued will take its place on the machines that are pending. */
  subtractQueued(work: QueuedWork, pools: readonly Pool[]): void {
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
      spotOwnReleaseShare: this.spotCpus > 0 ? this.spotOwnReleasedCpus / this.spotCpus : 0,
      spotIdleCpus: Math.max(0, this.spotIdleCpus),
    };
  }

  /** The probability that a task that has run for `age` ends within `duration`. */
  private endingShare(
    spec: { readonly jobClass: string; readonly estimatedRunS: number },
    age: number,
    duration: number,
  ): number {
    return this.lifetimes.endsWithin(spec.jobClass, age, duration, spec.estimatedRunS * 1000);
  }
}

/** Projects the expected releases within one slot, and idle capacity, over all machines that are up or pending. */
export function projectCapacity(
  fleet: Fleet,
  lifetimes: Lifetimes,
  slot: Millis,
  now: MonotonicTime,
): CapacityProjection {
  const builder = new ProjectionBuilder(lifetimes, slot, now);
  for (const worker of fleet.workers) builder.addWorker(worker);
  for (const { pool, count } of fleet.pending) builder.addPending(pool, count);
  const pools = allPools(fleet.types);
  for (const work of fleet.queue) builder.subtractQueued(work, pools);
  return builder.build();
}

function addTo(map: Map<string, number>, key: string, amount: number): void {
  map.set(key, (map.get(key) ?? 0) + amount);
}
