/** Scales the fleet out and in, based on the paper's forecast, the reserves and the unmet demand of the queue. */
import type { LeaderContext } from '../core/context.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import type { MachineId } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import type { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, plus } from '../model/time.js';
import type { TokenBucket } from '../net/token-bucket.js';
import type { ActiveJob } from '../scheduler/active-job.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { SloTargets } from '../scheduler/slo-targets.js';
import type { Worker } from '../workers/state/worker.js';
import type { QueuedWork } from './backlog.js';
import { BacklogScaler } from './backlog-scaler.js';
import { parseSeriesKey } from './capacity-plan.js';
import { type CapacityProjection, projectCapacity } from './capacity-projection.js';
import { CloudCallQueue } from './cloud-call-queue.js';
import { Consolidator } from './consolidator.js';
import { DemandForecast } from './demand-forecast.js';
import { IdleMachineRemover } from './idle-machines.js';
import { MachineInventory, slowestBootMs } from './inventory.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';

/**
 * The key of the stored slack factors, next to the keys of the series. Stored data uses this text: do not change it.
 */
const SLACK_FACTORS_KEY = '~patience';

/** The estimators and targets that scaling decisions depend on. */
interface FleetDependencies {
  readonly lifetimes: Lifetimes;
  readonly slackFactors: SlackFactors;
  readonly sloTargets: SloTargets;
}

/** Notified of changes to the fleet. */
export interface FleetListener {
  /** Called for each deleted machine: the cloud has confirmed that the machine and its tasks no longer run. */
  machineDeleted(worker: Worker): void;
  /** Called after machines were created or deleted: the stored list of machines is out of date. */
  fleetChanged(): void;
}

/** Manages the fleet during one leadership term. */
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
  /** The capacity projection of the current tick; null until the tick needs a projection. */
  private cachedProjection: CapacityProjection | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    cloudRateLimit: TokenBucket,
    private readonly parts: FleetDependencies,
    listener: FleetListener,
  ) {
    const { lifetimes, sloTargets } = parts;
    const cloudCalls = new CloudCallQueue(ctx.clock, cloudRateLimit);
    this.forecast = new DemandForecast(ctx);
    this.scaleIn = new ScaleIn(ctx, cloudCalls, {
      machineDeleted: (worker) => listener.machineDeleted(worker),
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
    this.idleMachines = new IdleMachineRemover(ctx, {
      forecast: this.forecast,
      scaleIn: this.scaleIn,
      scaleOut: this.scaleOut,
    });
    this.consolidator = new Consolidator(ctx, lifetimes, sloTargets);
    this.slotEndsAt = plus(ctx.startedAt, this.forecast.slotMs);
  }

  /**
   * Restores the forecast of one series, or the slack factors, from the record that an earlier leader stored under
   * `key`.
   */
  restoreForecast(key: string, stored: unknown): void {
    if (key === SLACK_FACTORS_KEY) this.parts.slackFactors.restore(stored);
    else this.forecast.restore(key, stored);
  }

  /** Returns the records that a later leader restores the forecasts and slack factors from, by stored key. */
  forecastRecords(): Map<string, unknown> {
    return this.forecast.records().set(SLACK_FACTORS_KEY, this.parts.slackFactors.record());
  }

  /** Records the demand of a job that has become ready to start. */
  recordDemand(job: ActiveJob): void {
    this.forecast.recordDemand(job);
  }

  /** Replaces the unmet demand with the result of the last scheduling decision. */
  setBacklog(queue: readonly QueuedWork[]): void {
    this.backlog.setQueue(queue);
  }

  /** See `MachineInventory.registerMachine`. */
  registerMachine(
    machine: Machine,
    source: FactSource,
    rentedAt: MonotonicTime,
    address = '',
  ): Worker | null {
    return this.inventory.registerMachine(machine, source, rentedAt, address);
  }

  /** See `MachineInventory.registerUnconfirmed`. */
  registerUnconfirmed(machine: Machine, rentedAt: MonotonicTime, address: string): Worker | null {
    return this.inventory.registerUnconfirmed(machine, rentedAt, address);
  }

  /** See `MachineInventory.registerUnknown`. */
  registerUnknown(id: MachineId, rentedAt: MonotonicTime): Worker | null {
    return this.inventory.registerUnknown(id, rentedAt);
  }

  /**
   * The number of times in this term that a machine's confirmed type, zone or kind (spot or on-demand) contradicted the
   * recorded one.
   */
  get contradictions(): number {
    return this.inventory.contradictions;
  }

  /** Deletes a machine. `isLeaseOptional` allows the deletion while the leader's lease is not valid. */
  deleteMachine(worker: Worker, reason: string, isLeaseOptional = false): void {
    this.scaleIn.deleteMachine(worker, reason, isLeaseOptional);
  }

  /**
   * Reports whether a slot has ended since the last call, and resets the flag. The caller then stores the predictors'
   * weights and the machines.
   */
  takeDirtyFlag(): boolean {
    const wasDirty = this.isDirty;
    this.isDirty = false;
    return wasDirty;
  }

  /** Returns the longest usual boot time of all machine types, in milliseconds. */
  slowestBootMs(): number {
    return slowestBootMs(this.ctx.machineTypes.values());
  }

  /** Runs the periodic scaling steps that are due. Must only be called while the leader's lease is valid. */
  tick(): void {
    const now = this.ctx.clock.now();
    this.cachedProjection = null;
    this.inventory.tick(now);
    this.backlog.requestUnmet();
    if (now >= this.slotEndsAt) this.endSlot(now);
    else this.topUpOnDemand(now);
    this.idleMachines.removeSurplus(now, (at) => this.currentProjection(at));
    this.consolidate(now);
  }

  /** Returns the expected releases and the idle capacity, computed at most once per tick. */
  private currentProjection(now: MonotonicTime): CapacityProjection {
    this.cachedProjection ??= projectCapacity(
      {
        workers: this.ctx.workers.values(),
        pending: this.scaleOut.pending.values(),
        queue: this.backlog.queue,
        types: this.ctx.machineTypes.values(),
      },
      this.parts.lifetimes,
      this.forecast.slotMs,
      now,
    );
    return this.cachedProjection;
  }

  private requestReserveShortfall(series: string, projection: CapacityProjection): void {
    const count = this.forecast.missingMachines(series, projection);
    if (count > 0) this.scaleOut.requestAhead(series, count);
  }

  /**
   * Requests missing on-demand machines during the slot as well, unless a scale-out request is pending: after a replica
   * has used up the reserve, the next replica must not wait for the end of the slot and then for a boot.
   */
  private topUpOnDemand(now: MonotonicTime): void {
    if (this.scaleOut.pending.size > 0) return;
    const projection = this.currentProjection(now);
    for (const series of this.forecast.series) {
      if (!parseSeriesKey(series).spot) this.requestReserveShortfall(series, projection);
    }
  }

  private endSlot(now: MonotonicTime): void {
    this.slotEndsAt = plus(now, this.forecast.slotMs);
    const projection = this.currentProjection(now);
    const series = this.forecast.endSlot(projection);
    for (const key of this.forecast.series) this.requestReserveShortfall(key, projection);
    const spotReleasedCpus = Math.round(projection.spotReleasedCpus);
    const spotIdleCpus = Math.round(projection.spotIdleCpus);
    this.ctx.log.info({ series, spotReleasedCpus, spotIdleCpus }, 'forecast slot ended');
    this.forecast.beginSlot();
    this.isDirty = true;
  }

  /**
   * Drains underused machines whose tasks fit elsewhere. Skipped while tasks wait or scale-out requests are pending.
   */
  private consolidate(now: MonotonicTime): void {
    const isScalingOut = this.backlog.queue.length > 0 || this.scaleOut.pending.size > 0;
    if (isScalingOut || !this.consolidator.isDue(now)) return;
    const projection = this.currentProjection(now);
    this.consolidator.run(projection.spotIdleCpus - this.forecast.spotDemand(projection).netCpus, now);
  }
}
