/** Requests machines: each request by its own name, never without a valid lease, and not from pools that are sold out. */
import { CloudRequestRefusedError, type ScaleOutResult } from '../cloud/client.js';
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineTypeId, ScaleOutRequestId, ZoneId } from '../model/ids.js';
import { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, plus, since, sleep } from '../model/time.js';
import type { ScaleOutRequest } from '../wire/cloud.js';
import {
  allPools,
  type CapacityRequest,
  hourlyPrice,
  type PendingMachine,
  pendingMachineOf,
  type Pool,
  poolKey,
  readSeriesKey,
  seriesKey,
} from './capacity-plan.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { MachineInventory } from './inventory.js';

/** A pool that was sold out is asked again after this. */
const SOLD_OUT_MS = 15_000;
const MAX_MACHINES_PER_REQUEST = 50;
const MAX_ATTEMPTS = 4;
/** Between two checks whether our lease is valid. */
const LEASE_CHECK_INTERVAL_MS = 250;
const REFUSED_RETRY_MS = 700;
const UNANSWERED_RETRY_MS = 200;
const RETRY_JITTER_MS = 300;
/** A boot may take so many times as long as usual, and this much more, before the machine counts as failed. */
const SLOW_BOOT_FACTOR = 1.7;
const SLOW_BOOT_MARGIN_MS = 3000;

/** What machines are requested for: the forecast, or work that waits. */
export type ScaleOutPurpose = 'forecast' | 'queue';

/** Receives what becomes of requests. */
interface ScaleOutListener {
  /** Machines were created. */
  machinesCreated(): void;
  /** A series' pool gave fewer machines than were requested. */
  soldOut(series: string): void;
  /** One request is over, whatever came of it: more may be requested. */
  requestFinished(): void;
}

/** What a `ScaleOut` is made with. */
export interface ScaleOutOptions {
  readonly cloudCalls: CloudCallQueue;
  readonly inventory: MachineInventory;
  readonly listener: ScaleOutListener;
}

/** `sold out`: found so before anything was requested; null: the leadership ended first. */
type RequestOutcome = ScaleOutResult | 'sold out' | null;

/** The requests for machines under way, and the pools that have none left. */
export class ScaleOut {
  private readonly soldOutUntil = new Map<string, MonotonicTime>();
  private readonly inProgress = new Map<string, CapacityRequest>();
  private requestCount = 0;
  /** Requests queue one after the other for cloud calls: a deletion never waits behind all of them. */
  private lastTurn: Promise<void> = Promise.resolve();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: ScaleOutOptions,
  ) {}

  /** The requests under way, by their names. */
  get pending(): ReadonlyMap<string, CapacityRequest> {
    return this.inProgress;
  }

  /** Returns the pools that were not lately sold out. */
  availablePools(): Pool[] {
    const now = this.ctx.clock.now();
    return allPools(this.ctx.machineTypes.values()).filter(
      (pool) => !this.isSoldOut({ type: pool.type.id, zone: pool.zone, spot: pool.spot }, now),
    );
  }

  /** Returns the machines requested and not yet up, unless they are so late that they may never come up. */
  pendingMachines(): PendingMachine[] {
    const now = this.ctx.clock.now();
    const machines: PendingMachine[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.isUp || worker.cordon) continue;
      if (!worker.presumedFacts) continue;
      const { machine, type } = worker.presumedFacts;
      if (since(now, worker.rentedAt) > type.bootTime * SLOW_BOOT_FACTOR + SLOW_BOOT_MARGIN_MS) continue;
      machines.push({ ...machine, free: worker.free });
    }
    for (const { pool, count } of this.inProgress.values()) {
      for (let index = 0; index < count; index++) machines.push(pendingMachineOf(pool));
    }
    return machines;
  }

  /** Requests these machines, in calls of the size that the cloud takes. */
  request({ pool, count }: CapacityRequest, purpose: ScaleOutPurpose): void {
    for (let left = count; left > 0; left -= MAX_MACHINES_PER_REQUEST) {
      const part = Math.min(left, MAX_MACHINES_PER_REQUEST);
      const name = `p${this.ctx.epoch}-${++this.requestCount}` as ScaleOutRequestId;
      this.inProgress.set(name, { pool, count: part });
      void this.carryOut(
        { name, type: pool.type.id, zone: pool.zone, spot: pool.spot, count: part },
        purpose,
      );
    }
  }

  /** Requests machines of a series ahead of need; where its type is sold out in all zones, of another type. */
  requestAhead(series: string, count: number): void {
    const { type: id, spot } = readSeriesKey(series);
    const type = this.ctx.machineTypes.get(id);
    if (!type) return;
    const available = this.availablePools().filter((pool) => pool.spot === spot);
    const ofType = available.filter((pool) => pool.type.id === type.id);
    if (ofType.length > 0) {
      const pool = ofType[Math.floor(this.ctx.random() * ofType.length)] as Pool;
      this.request({ pool, count }, 'forecast');
      return;
    }
    // Replicas cannot wait for the type to come back; spot work can.
    if (spot || available.length === 0) return;
    const cheapest = available.reduce((best, pool) => (hourlyPrice(pool) < hourlyPrice(best) ? pool : best));
    const equivalentCount = Math.max(1, Math.round((count * type.cpus) / cheapest.type.cpus));
    this.request({ pool: cheapest, count: equivalentCount }, 'forecast');
  }

  private isSoldOut(pool: { type: MachineTypeId; zone: ZoneId; spot: boolean }, now: MonotonicTime): boolean {
    const until = this.soldOutUntil.get(poolKey(pool));
    return until !== undefined && until > now;
  }

  private async carryOut(request: ScaleOutRequest, purpose: ScaleOutPurpose): Promise<void> {
    const { name } = request;
    try {
      const outcome = await this.createMachines(request);
      if (outcome !== null && outcome !== 'sold out' && !this.ctx.isEnded())
        this.applyResult(request, outcome, purpose);
    } catch (error) {
      this.ctx.log.info(
        { request: name, pool: poolKey(request), error: errorMessage(error) },
        'scale-out request failed',
      );
    } finally {
      this.inProgress.delete(name);
      if (!this.ctx.isEnded()) this.options.listener.requestFinished();
    }
  }

  private applyResult(request: ScaleOutRequest, result: ScaleOutResult, purpose: ScaleOutPurpose): void {
    const { name, type, zone, spot, count } = request;
    const { inventory, listener } = this.options;
    const created = result === 'no capacity' ? [] : result.machines;
    this.ctx.log.info(
      { request: name, pool: poolKey(request), requested: count, created: created.length, purpose },
      'scale-out request finished',
    );
    const now = this.ctx.clock.now();
    for (const id of created) inventory.registerMachine({ id, type, zone, spot }, FactSource.Rental, now);
    const missing = count - created.length;
    const series = seriesKey(type, spot);
    if (missing > 0) {
      // A stockout is remembered: other zones and types are asked meanwhile.
      this.soldOutUntil.set(poolKey(request), plus(now, SOLD_OUT_MS));
      listener.soldOut(series);
    }
    if (created.length > 0) listener.machinesCreated();
    if (purpose === 'forecast' && missing > 0) this.requestAhead(series, missing);
  }

  /** The same name is tried again: a request without an answer may have been carried out. */
  private async createMachines(request: ScaleOutRequest): Promise<RequestOutcome> {
    for (let attempt = 1; ; attempt++) {
      // Found by a request before this one: nothing has been asked under this name yet.
      const isSoldOut = (): boolean => attempt === 1 && this.isSoldOut(request, this.ctx.clock.now());
      this.lastTurn = this.lastTurn.then(() => (isSoldOut() ? undefined : this.options.cloudCalls.next()));
      await this.lastTurn;
      if (this.ctx.isEnded()) return null;
      if (isSoldOut()) return 'sold out';
      if (!this.ctx.isLeaseValid()) {
        await sleep(this.ctx.clock, LEASE_CHECK_INTERVAL_MS);
        continue;
      }
      try {
        return await this.ctx.cloud.createMachines(request);
      } catch (error) {
        if (attempt >= MAX_ATTEMPTS) throw error;
        const retryMs = error instanceof CloudRequestRefusedError ? REFUSED_RETRY_MS : UNANSWERED_RETRY_MS;
        await sleep(this.ctx.clock, retryMs * attempt + this.ctx.random() * RETRY_JITTER_MS);
      }
    }
  }
}
