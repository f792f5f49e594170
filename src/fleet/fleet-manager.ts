/** Scales the fleet out and in: by the paper's forecast, its reserves, and the queue's unmet demand. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineId } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import type { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, plus } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { Urgency } from '../scheduler/urgency.js';
import type { Worker } from '../workers/state/worker.js';
import type { QueuedWork } from './backlog.js';
import { BacklogScaler } from './backlog-scaler.js';
import { readSeriesKey } from './capacity-plan.js';
import { type CapacityProjection, projectCapacity } from './capacity-projection.js';
import { CloudCallQueue } from './cloud-call-queue.js';
import { Consolidator } from './consolidator.js';
import { DemandForecast } from './demand-forecast.js';
import { IdleMachineRemover } from './idle-machines.js';
import { MachineInventory, slowestBoot } from './inventory.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';

/** The stored key, beside the series' keys, of the slack factors: the text stays. */
const SLACK_FACTORS_RECORD = '~patience';

/** What the fleet decides by. */
interface FleetParts {
  readonly lifetimes: Lifetimes;
  readonly slackFactors: SlackFactors;
  readonly urgency: Urgency;
}

/** Receives what becomes of machines. */
export interface FleetListener {
  /** The machine and everything on it are proven gone. */
  machineGone(worker: Worker): void;
  /** The list of machines is worth writing. */
  fleetChanged(): void;
}

/** The fleet of one leadership term. */
export class FleetManager {
  private readonly forecast: DemandForecast;
  private readonly scaleIn: ScaleIn;
  private readonly inventory: MachineInventory;
  private readonly scaleOut: ScaleOut;
  private readonly backlog: BacklogScaler;
  private readonly idleMachines: IdleMachineRemover;
  private readonly consolidator: Consolidator;
  private slotEndsAt: MonotonicTime;
  private isDirty = false;
  /** Computed at most once a tick. */
  private cachedProjection: CapacityProjection | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    cloudRateLimit: TokenBucket,
    private readonly parts: FleetParts,
    listener: FleetListener,
  ) {
    const { lifetimes, urgency } = parts;
    const cloudCalls = new CloudCallQueue(ctx.clock, cloudRateLimit);
    this.forecast = new DemandForecast(ctx);
    this.scaleIn = new ScaleIn(ctx, cloudCalls, {
      machineGone: (worker) => listener.machineGone(worker),
      machinesDeleted: () => listener.fleetChanged(),
    });
    this.inventory = new MachineInventory(ctx, cloudCalls, this.scaleIn);
    this.scaleOut = new ScaleOut(ctx, {
      cloudCalls,
      inventory: this.inventory,
      listener: {
        machinesCreated: () => listener.fleetChanged(),
        soldOut: (series) => this.forecast.recordSoldOut(series),
        requestFinished: () => this.backlog.requestUnmet(),
      },
    });
    this.backlog = new BacklogScaler(ctx, { scaleOut: this.scaleOut, cloudCalls, lifetimes });
    this.idleMachines = new IdleMachineRemover(ctx, this.forecast, this.scaleIn);
    this.consolidator = new Consolidator(ctx, lifetimes, urgency);
    this.slotEndsAt = plus(ctx.startedAt, this.forecast.slot);
  }

  /** Restores a stored forecast, or the slack factors, as an earlier leader left them. */
  restoreForecast(key: string, stored: unknown): void {
    if (key === SLACK_FACTORS_RECORD) this.parts.slackFactors.restore(stored);
    else this.forecast.restore(key, stored);
  }

  /** Returns what a successor needs of the forecasts, by stored key. */
  forecastRecords(): Map<string, unknown> {
    return this.forecast.records().set(SLACK_FACTORS_RECORD, this.parts.slackFactors.record());
  }

  /** Records new demand: a job that may start from now on. */
  recordDemand(job: ActiveJob): void {
    this.forecast.recordDemand(job);
  }

  /** Takes over the queue's unmet demand, as the last decision left it. */
  setBacklog(queue: readonly QueuedWork[]): void {
    this.backlog.setQueue(queue);
  }

  /** See `MachineInventory.registerMachine`. */
  registerMachine(machine: Machine, source: FactSource, since: MonotonicTime, address = ''): Worker | null {
    return this.inventory.registerMachine(machine, source, since, address);
  }

  /** See `MachineInventory.registerUnconfirmed`. */
  registerUnconfirmed(machine: Machine, since: MonotonicTime, address: string): Worker | null {
    return this.inventory.registerUnconfirmed(machine, since, address);
  }

  /** See `MachineInventory.registerUnknown`. */
  registerUnknown(id: MachineId, since: MonotonicTime): Worker | null {
    return this.inventory.registerUnknown(id, since);
  }

  /** Machines so far that turned out to be something else than was recorded. */
  get contradictions(): number {
    return this.inventory.contradictions;
  }

  /** Deletes the machine; `mayLackLease`: also while our lease is not valid. */
  remove(worker: Worker, reason: string, mayLackLease = false): void {
    this.scaleIn.remove(worker, reason, mayLackLease);
  }

  /** Returns whether a slot has ended since the last call: weights and machines are then written. */
  takeDirty(): boolean {
    const wasDirty = this.isDirty;
    this.isDirty = false;
    return wasDirty;
  }

  /** The longest usual boot of any type, in ms. */
  slowestBoot(): number {
    return slowestBoot(this.ctx.machineTypes.values());
  }

  /** Scales out and in, as far as it is time to. Only called while our lease is valid. */
  tick(): void {
    const now = this.ctx.clock.now();
    this.cachedProjection = null;
    this.inventory.tick(now);
    this.backlog.requestUnmet();
    if (now >= this.slotEndsAt) this.endSlot(now);
    else this.topUpOnDemand(now);
    this.idleMachines.removeSurplus(now, (at) => this.projection(at));
    this.consolidate(now);
  }

  /** The expected releases and idle capacity, computed at most once a tick. */
  private projection(now: MonotonicTime): CapacityProjection {
    this.cachedProjection ??= projectCapacity(
      {
        workers: this.ctx.workers.values(),
        pending: this.scaleOut.pending.values(),
        queue: this.backlog.queue,
        types: this.ctx.machineTypes.values(),
      },
      this.parts.lifetimes,
      this.forecast.slot,
      now,
    );
    return this.cachedProjection;
  }

  private requestMissing(series: string, projection: CapacityProjection): void {
    const count = this.forecast.missingMachines(series, projection);
    if (count > 0) this.scaleOut.requestAhead(series, count);
  }

  /**
   * On-demand machines are topped up within the slot too: a replica that took from the reserve must
   * not leave the next one to wait for the slot's end and a boot.
   */
  private topUpOnDemand(now: MonotonicTime): void {
    if (this.scaleOut.pending.size > 0) return;
    const projection = this.projection(now);
    for (const series of this.forecast.series) {
      if (!readSeriesKey(series).spot) this.requestMissing(series, projection);
    }
  }

  private endSlot(now: MonotonicTime): void {
    this.slotEndsAt = plus(now, this.forecast.slot);
    const projection = this.projection(now);
    const series = this.forecast.endSlot(projection);
    for (const key of this.forecast.series) this.requestMissing(key, projection);
    const spotReleasedCpus = Math.round(projection.spotReleasedCpus);
    const spotIdleCpus = Math.round(projection.spotIdleCpus);
    this.ctx.log.info({ series, spotReleasedCpus, spotIdleCpus }, 'forecast slot ended');
    this.forecast.beginSlot();
    this.isDirty = true;
  }

  /** While nothing waits: machines that are mostly idle are drained, if their work fits elsewhere. */
  private consolidate(now: MonotonicTime): void {
    const isScalingOut = this.backlog.queue.length > 0 || this.scaleOut.pending.size > 0;
    if (isScalingOut || !this.consolidator.isDue(now)) return;
    const projection = this.projection(now);
    this.consolidator.run(projection.spotIdleCpus - this.forecast.spotDemand(projection).netCpus, now);
  }
}
