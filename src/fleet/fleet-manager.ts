/** Rents, keeps and returns machines: the paper's forecast, reserves and on-the-fly misses. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineId } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import type { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, plus, since } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { SloTargets } from '../scheduler/slo-targets.js';
import type { Worker } from '../workers/state/worker.js';
import { overdueDemand, BacklogWatch, type QueuedWork } from './backlog.js';
import { type CapacityProjection, projectCapacity } from './capacity-projection.js';
import { CloudCallQueue } from './cloud-call-queue.js';
import { Consolidator, PAID_MS } from './consolidator.js';
import { DemandForecast, ROUND_DOWN } from './demand-forecast.js';
import { MachineInventory, slowestBoot } from './inventory.js';
import {
  type PendingMachine,
  readSeriesKey,
  planScaleOut,
  seriesKey,
  type CapacityRequest,
} from './capacity-plan.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';

/** The record, beside the series', of what classes have missed; its stored name stays. */
const SLACK_FACTORS_RECORD = '~patience';
/** Unmet demand is turned into this many rentals at a time, so that each knows the last one's refusal. */
const MOST_PENDING = 2;
/** The pause after looking what to rent: at least this, or so many times what it took. */
const RENT_PAUSE_MS = 150;
const RENT_PAUSE = 10;

/** What the fleet decides by. */
interface FleetParts {
  readonly lifetimes: Lifetimes;
  readonly slackFactors: SlackFactors;
  readonly sloTargets: SloTargets;
}

/** Is told of what becomes of machines. */
export interface FleetListener {
  /** The host and everything on it are proven gone. */
  machineGone(worker: Worker): void;
  /** The list of machines is worth writing. */
  fleetChanged(): void;
}

/** One leadership's fleet. */
export class FleetManager {
  private readonly forecast: DemandForecast;
  private readonly turns: CloudCallQueue;
  private readonly remover: ScaleIn;
  private readonly inventory: MachineInventory;
  private readonly renter: ScaleOut;
  private readonly consolidator: Consolidator;
  private readonly lateWatch = new BacklogWatch();
  private slotEnds: MonotonicTime;
  private queue: readonly QueuedWork[] = [];
  private dirty = false;
  private rentLater = false;
  private nextScaleOutAt: MonotonicTime | null = null;
  /** Reckoned at most once a tick. */
  private projected: CapacityProjection | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    budget: TokenBucket,
    private readonly parts: FleetParts,
    listener: FleetListener,
  ) {
    this.forecast = new DemandForecast(ctx);
    this.turns = new CloudCallQueue(ctx.clock, budget);
    this.remover = new ScaleIn(
      ctx,
      this.turns,
      (worker) => listener.machineGone(worker),
      () => listener.fleetChanged(),
    );
    this.inventory = new MachineInventory(ctx, this.turns, this.remover);
    this.renter = new ScaleOut(ctx, this.turns, this.inventory, {
      rented: () => listener.fleetChanged(),
      refused: (series) => this.forecast.refused(series),
      settled: () => this.rentUnmet(),
    });
    this.consolidator = new Consolidator(ctx, parts.lifetimes, parts.sloTargets);
    this.slotEnds = plus(ctx.startedAt, this.forecast.slot);
  }

  /** A stored forecast, or what classes have missed, as an earlier leader left it. */
  restoreForecast(key: string, stored: unknown): void {
    if (key === SLACK_FACTORS_RECORD) this.parts.slackFactors.restore(stored);
    else this.forecast.restore(key, stored);
  }

  /** What a successor needs of the forecasts. */
  forecastRecords(): Map<string, unknown> {
    return this.forecast.records().set(SLACK_FACTORS_RECORD, this.parts.slackFactors.record());
  }

  /** New demand: a job that may start from now on. */
  recordDemand(job: ActiveJob): void {
    this.forecast.demanded(job);
  }

  /** The queue's unmet demand, as the last decision round left it. */
  setBacklog(queue: readonly QueuedWork[]): void {
    this.queue = queue;
    if (queue.length === 0) this.lateWatch.left(false, this.ctx.clock.now());
    this.rentUnmet();
  }

  /** Somebody told what a machine is. */
  registerMachine(machine: Machine, source: FactSource, since: MonotonicTime, address = ''): Worker | null {
    return this.inventory.registerMachine(machine, source, since, address);
  }

  /** A record that may hold a guess tells of a machine. */
  registerUnconfirmed(machine: Machine, since: MonotonicTime, address: string): Worker | null {
    return this.inventory.registerUnconfirmed(machine, since, address);
  }

  /** Only the name of a machine is known, from a task that a predecessor placed on it. */
  registerUnknown(id: MachineId, since: MonotonicTime): Worker | null {
    return this.inventory.registerUnknown(id, since);
  }

  /** Machines so far that turned out to be something else than was recorded. */
  get contradictions(): number {
    return this.inventory.contradictions;
  }

  /** Deletes the machine; `unsureToo`: even while it is not sure that we lead. */
  remove(worker: Worker, why: string, unsureToo = false): void {
    this.remover.remove(worker, why, unsureToo);
  }

  /** Whether a slot has ended since the last call: weights and machines are then written. */
  takeDirty(): boolean {
    const was = this.dirty;
    this.dirty = false;
    return was;
  }

  /** The longest usual boot of any type, in ms. */
  slowestBoot(): number {
    return slowestBoot(this.ctx.machineTypes.values());
  }

  tick(): void {
    const now = this.ctx.clock.now();
    this.projected = null;
    this.inventory.tick(now);
    this.rentUnmet();
    if (now >= this.slotEnds) this.endSlot(now);
    else this.topUp(now);
    this.giveBack(now);
    this.consolidate(now);
  }

  private rentUnmet(): void {
    const { pending } = this.renter;
    if (this.queue.length === 0 || pending.size >= MOST_PENDING) return;
    const began = this.ctx.clock.now();
    const wait = Math.max(this.turns.waitMs, (this.nextScaleOutAt ?? began) - began);
    if (wait > 0) {
      this.rentAfter(wait);
      return;
    }
    const most = this.ctx.operators.fleet.maxMachines - this.ctx.workers.size - pending.size;
    const wishes = this.wishes(most);
    for (const wish of wishes.slice(0, MOST_PENDING - pending.size)) this.renter.rent(wish, 'queue');
    const now = this.ctx.clock.now();
    this.nextScaleOutAt = plus(now, Math.max(RENT_PAUSE_MS, since(now, began) * RENT_PAUSE));
  }

  private rentAfter(wait: number): void {
    if (this.rentLater) return;
    this.rentLater = true;
    this.ctx.clock.after(wait + 1, () => {
      this.rentLater = false;
      if (!this.ctx.isEnded()) this.rentUnmet();
    });
  }

  /**
   * Spot machines for all that waits; ordinary ones, which cost several times as much, for what
   * must run on them and for what the fleet would start too late.
   */
  private wishes(most: number): CapacityRequest[] {
    const coming = this.renter.coming();
    const open = this.renter.openPools();
    const spotWork = this.queue.filter((job) => job.spec.allowsSpot);
    const firm = this.queue.filter((job) => !job.spec.allowsSpot);
    const spotPools = open.filter((pool) => pool.spot);
    const cheap = planScaleOut(spotWork, coming, spotPools, most);
    const must = planScaleOut(firm, coming, open, most);
    if (cheap.length > 0) return [...must, ...cheap];
    const cpus = this.workingCpus(coming);
    const busy = this.busyCpuMs();
    const tooLong = overdueDemand(spotWork, cpus, busy, 0).length > 0;
    const late = overdueDemand(spotWork, cpus, busy, this.lateWatch.left(tooLong, this.ctx.clock.now()));
    const ordinary = open.filter((pool) => !pool.spot);
    return [...must, ...planScaleOut(late, [], ordinary, most)];
  }

  /** What works off the queue of spot work: machines up and coming, less what others hold there. */
  private workingCpus(coming: readonly PendingMachine[]): number {
    let cpus = coming.reduce((sum, machine) => sum + machine.free.cpus, 0);
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.cordon) continue;
      cpus += worker.type?.cpus ?? 0;
      for (const task of worker.tasks) if (!task.job.spec.allowsSpot) cpus -= task.job.spec.cpus;
    }
    return cpus;
  }

  /** Expected time still to run of the spot work on the machines. */
  private busyCpuMs(): number {
    const now = this.ctx.clock.now();
    let sum = 0;
    for (const worker of this.ctx.workers.values()) {
      for (const task of worker.tasks) {
        const { spec } = task.job;
        if (!spec.allowsSpot) continue;
        const ran = task.runningAt === null ? 0 : now - task.runningAt;
        sum += this.parts.lifetimes.expectedRemainingMs(spec, ran) * spec.cpus;
      }
    }
    return sum;
  }

  /** Expected frees and idle room, reckoned at most once a tick. */
  private projection(now: MonotonicTime): CapacityProjection {
    const { workers, machineTypes } = this.ctx;
    this.projected ??= projectCapacity(
      {
        workers: workers.values(),
        pending: this.renter.pending.values(),
        queue: this.queue,
        types: machineTypes.values(),
      },
      this.parts.lifetimes,
      this.forecast.slot,
      now,
    );
    return this.projected;
  }

  private rentMissing(series: string, projection: CapacityProjection): void {
    const count = this.forecast.missing(series, projection);
    if (count > 0) this.renter.rentAhead(series, count);
  }

  /**
   * Ordinary machines are topped up within the slot too: a replica that took from the reserve must
   * not leave the next one to wait for the slot's end and a boot.
   */
  private topUp(now: MonotonicTime): void {
    if (this.renter.pending.size > 0) return;
    const projection = this.projection(now);
    for (const series of this.forecast.series) {
      if (!readSeriesKey(series).spot) this.rentMissing(series, projection);
    }
  }

  private endSlot(now: MonotonicTime): void {
    this.slotEnds = plus(now, this.forecast.slot);
    const projection = this.projection(now);
    const told = this.forecast.endSlot(projection);
    for (const series of this.forecast.series) this.rentMissing(series, projection);
    const { spotFrees, spotIdle } = projection;
    this.ctx.log.info(
      { needForecastFreesReserve: told, spotFrees: Math.round(spotFrees), spotIdle: Math.round(spotIdle) },
      'slot',
    );
    this.forecast.beginSlot();
    this.dirty = true;
  }

  /** While nothing waits: machines that are mostly idle are emptied, if their work fits elsewhere. */
  private consolidate(now: MonotonicTime): void {
    if (this.queue.length > 0 || this.renter.pending.size > 0 || !this.consolidator.due(now)) return;
    const projection = this.projection(now);
    this.consolidator.run(projection.spotIdle - this.forecast.spotNet(projection).net, now);
  }

  /** Idle machines beyond what the forecast still wants go back after the wait. */
  private giveBack(now: MonotonicTime): void {
    const idle = this.idleMachines(now);
    if (idle.size === 0) return;
    const projection = this.projection(now);
    for (const [series, workers] of idle) {
      const need = Math.max(0, this.forecast.wanted(series, projection));
      const surplus = Math.floor((projection.reserves.get(series) ?? 0) - need + ROUND_DOWN);
      for (const worker of workers.slice(0, Math.max(0, surplus))) this.remove(worker, 'surplus');
    }
  }

  /** Machines that have idled for long enough to go back, by series; those that are closed go at once. */
  private idleMachines(now: MonotonicTime): Map<string, Worker[]> {
    const { idleTimeout, spotIdleTimeout } = this.ctx.operators.fleet;
    const idle = new Map<string, Worker[]>();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp || worker.isRemoving || !worker.isEmpty || worker.idleSince === null) continue;
      if (worker.cordon === 'failing' || worker.cordon === 'draining') {
        this.remove(worker, worker.cordon);
        continue;
      }
      if (!worker.presumedFacts) continue;
      const { type, spot } = worker.presumedFacts.machine;
      const timeout = spot ? spotIdleTimeout : idleTimeout;
      if (since(now, worker.idleSince) < timeout || since(now, worker.rentedAt) < PAID_MS) continue;
      const series = seriesKey(type, spot);
      const alike = idle.get(series);
      if (alike) alike.push(worker);
      else idle.set(series, [worker]);
    }
    return idle;
  }
}
