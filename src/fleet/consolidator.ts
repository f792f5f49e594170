/** Empties machines that are mostly idle, where their work fits elsewhere. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { ConfirmedFacts } from '../model/machine-facts.js';
import { type Steady, since } from '../model/time.js';
import type { Task } from '../scheduler/task.js';
import type { Urgency } from '../scheduler/urgency.js';
import type { Host } from '../workers/state/worker.js';
import { machinesToEmpty, type MovableTask, type PartlyUsed } from './consolidation.js';
import { allPools, price } from './capacity-plan.js';

/** Between two looks for machines to be emptied; the last one's work has found its place by then. */
const EVERY_MS = 2000;
/** A machine costs this much of its time however soon it goes back (PROTOCOL). */
export const PAID_MS = 60_000;

/** Looks every few seconds, while nothing waits. */
export class Consolidator {
  private lastAt: Steady | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly lifetimes: Lifetimes,
    private readonly urgency: Urgency,
  ) {}

  /** Whether it is time for another look. */
  due(now: Steady): boolean {
    return this.lastAt === null || since(now, this.lastAt) >= EVERY_MS;
  }

  /** `surplus`: idle CPUs beyond the reserve that the forecast wants. */
  run(surplus: number, now: Steady): void {
    this.lastAt = now;
    const machines: PartlyUsed[] = [];
    for (const host of this.ctx.hosts.values()) {
      if (host.confirmed && this.mayEmpty(host, now)) machines.push(this.viewOf(host, host.confirmed, now));
    }
    const chosen = machinesToEmpty(machines, surplus, this.cheapestCpu());
    if (chosen.length > 0) this.ctx.log.info({ machines: chosen.length, surplus }, 'emptying machines');
    for (const id of chosen) this.ctx.empty(id);
  }

  private mayEmpty(host: Host, now: Steady): boolean {
    if (!host.up || !host.known || host.closed || host.takenAt !== null || host.unreachable > 0) return false;
    return since(now, host.since) >= PAID_MS;
  }

  private viewOf(host: Host, { machine, type }: ConfirmedFacts, now: Steady): PartlyUsed {
    return {
      id: host.id,
      cpus: type.cpus,
      freeCpus: Math.max(0, host.free.cpus),
      freeMemoryGb: Math.max(0, host.free.memoryGb),
      price: price({ type, spot: machine.spot }),
      tasks: [...host.tasks].map((task) => this.movable(task, now)),
    };
  }

  private cheapestCpu(): number {
    const pools = allPools(this.ctx.types.values());
    return Math.min(...pools.map((pool) => price(pool) / pool.type.cpus));
  }

  private movable(task: Task, now: Steady): MovableTask {
    const { ranked: spec, readyAt } = task.job;
    const runMs = this.lifetimes.expectedRun(spec);
    const ranMs = task.runningAt === null ? 0 : since(now, task.runningAt);
    const leftMs = this.lifetimes.expectedLeft(spec, ranMs);
    const ageMs = Math.max(0, this.ctx.clock.wall() - readyAt);
    const mayStop = spec.spot && spec.kind === 'array' && task.phase === 'placed' && task.kill === null;
    return {
      cpus: spec.cpus,
      memoryGb: spec.memoryGb,
      lostMs: spec.checkpointS > 0 ? Math.min(ranMs, spec.checkpointS * 1000) : ranMs,
      leftMs,
      mayMove: mayStop && this.urgency.mayStartAgain(spec, ageMs, leftMs, runMs),
    };
  }
}
