/**
 * Machine requests to the cloud. Each request has a unique name, is sent only while the leader's lease is valid, and
 * is not sent for the first time to a pool that was sold out within the last `SOLD_OUT_BACKOFF_MS`.
 */
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
  type MachinePool,
  poolKey,
  parseSeriesKey,
  seriesKey,
} from './capacity-plan.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { MachineInventory } from './inventory.js';

/** The time after which machines are requested again from a pool that was sold out. */
const SOLD_OUT_BACKOFF_MS = 15_000;
/** The time for which refusals show that the cloud has no machines left; longer than the backoff after a refusal. */
const REFUSAL_VALIDITY_MS = 60_000;
const MAX_MACHINES_PER_REQUEST = 50;
const MAX_ATTEMPT_COUNT = 4;
/** The interval at which a waiting request checks whether the leader's lease is valid again. */
const LEASE_CHECK_INTERVAL_MS = 250;
/** The retry delay after a refused attempt, multiplied by the number of attempts so far. */
const REFUSED_RETRY_DELAY_MS = 700;
/** The retry delay after an attempt without a response from the cloud, multiplied by the number of attempts so far. */
const UNANSWERED_RETRY_DELAY_MS = 200;
const MAX_RETRY_JITTER_MS = 300;
/** The multiple of its usual boot time after which a machine no longer counts as pending capacity. */
const SLOW_BOOT_RATIO = 1.7;
/** Added to the boot time after which a machine no longer counts as pending capacity. */
const SLOW_BOOT_MARGIN_MS = 3000;

/** The reason for a request: the forecast, or the queue of waiting tasks. */
export type ScaleOutPurpose = 'forecast' | 'queue';

/** Notified of the results of scale-out requests. */
interface ScaleOutListener {
  /** Called when a request has created at least one machine. */
  machinesCreated(): void;
  /** Called when a pool of the series supplied fewer machines than were requested. */
  soldOut(series: string): void;
  /** Called when a request has ended, successfully or not, so that another request may be sent. */
  requestFinished(): void;
}

/** The components that a `ScaleOut` uses. */
export interface ScaleOutOptions {
  readonly cloudCalls: CloudCallQueue;
  readonly inventory: MachineInventory;
  readonly listener: ScaleOutListener;
}

/**
 * The result of a request. `sold out`: the pool was known to be sold out before the request was sent; null: the term
 * ended.
 */
type RequestOutcome = ScaleOutResult | 'sold out' | null;

/** Sends machine requests, and tracks the pending requests and the pools that are sold out. */
export class ScaleOut {
  private readonly soldOutUntil = new Map<string, MonotonicTime>();
  private lastRefusedAt: MonotonicTime | null = null;
  private lastCreatedAt: MonotonicTime | null = null;
  private readonly inProgress = new Map<string, CapacityRequest>();
  private requestCount = 0;
  /**
   * Settles once the last request in line has acquired its cloud call. Requests acquire cloud calls one at a time, so
   * that a deletion waits behind at most one request, not behind all.
   */
  private lastQueuedCall: Promise<void> = Promise.resolve();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: ScaleOutOptions,
  ) {}

  /** The pending requests, by request name. */
  get pending(): ReadonlyMap<string, CapacityRequest> {
    return this.inProgress;
  }

  /** Returns the pools that were not sold out within the last `SOLD_OUT_BACKOFF_MS`. */
  availablePools(): MachinePool[] {
    const now = this.ctx.clock.now();
    return allPools(this.ctx.machineTypes.values()).filter(
      (pool) => !this.isSoldOut({ type: pool.type.id, zone: pool.zone, spot: pool.spot }, now),
    );
  }

  /** Whether requests were refused within the last `REFUSAL_VALIDITY_MS`, and no machine was created. */
  hasOnlyRefusals(now: MonotonicTime): boolean {
    const isRecent = (time: MonotonicTime | null): boolean =>
      time !== null && since(now, time) < REFUSAL_VALIDITY_MS;
    return isRecent(this.lastRefusedAt) && !isRecent(this.lastCreatedAt);
  }

  /** Returns the requested machines that are not up yet, except those whose boot is overdue and may have failed. */
  pendingMachines(): PendingMachine[] {
    const now = this.ctx.clock.now();
    const machines: PendingMachine[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.isUp || worker.cordon) continue;
      if (!worker.presumedFacts) continue;
      const { machine, type } = worker.presumedFacts;
      if (since(now, worker.rentedAt) > type.bootTime * SLOW_BOOT_RATIO + SLOW_BOOT_MARGIN_MS) continue;
      machines.push({ ...machine, free: worker.free });
    }
    for (const { pool, count } of this.inProgress.values()) {
      for (let index = 0; index < count; index++) machines.push(pendingMachineOf(pool));
    }
    return machines;
  }

  /** Requests machines, split into calls of at most `MAX_MACHINES_PER_REQUEST` machines. */
  request({ pool, count }: CapacityRequest, purpose: ScaleOutPurpose): void {
    for (let remainingCount = count; remainingCount > 0; remainingCount -= MAX_MACHINES_PER_REQUEST) {
      const batchCount = Math.min(remainingCount, MAX_MACHINES_PER_REQUEST);
      const name = `p${this.ctx.epoch}-${++this.requestCount}` as ScaleOutRequestId;
      this.inProgress.set(name, { pool, count: batchCount });
      void this.executeRequest(
        { name, type: pool.type.id, zone: pool.zone, spot: pool.spot, count: batchCount },
        purpose,
      );
    }
  }

  /**
   * Requests machines of a series ahead of demand. If an on-demand type is sold out in all zones, the cheapest
   * available type is requested instead, with about the same number of CPUs. Spot machines have no replacement.
   */
  requestAhead(series: string, count: number): void {
    const { type: id, spot } = parseSeriesKey(series);
    const type = this.ctx.machineTypes.get(id);
    if (!type) return;
    const available = this.availablePools().filter((pool) => pool.spot === spot);
    const poolsOfType = available.filter((pool) => pool.type.id === type.id);
    if (poolsOfType.length > 0) {
      const pool = poolsOfType[Math.floor(this.ctx.random() * poolsOfType.length)] as MachinePool;
      this.request({ pool, count }, 'forecast');
      return;
    }
    // Replicas of services cannot wait until the type is available again; spot work can.
    if (spot || available.length === 0) return;
    const cheapest = available.reduce((best, pool) => (hourlyPrice(pool) < hourlyPrice(best) ? pool : best));
    const equivalentCount = Math.max(1, Math.round((count * type.cpus) / cheapest.type.cpus));
    this.request({ pool: cheapest, count: equivalentCount }, 'forecast');
  }

  private isSoldOut(pool: { type: MachineTypeId; zone: ZoneId; spot: boolean }, now: MonotonicTime): boolean {
    const retryAt = this.soldOutUntil.get(poolKey(pool));
    return retryAt !== undefined && retryAt > now;
  }

  private async executeRequest(request: ScaleOutRequest, purpose: ScaleOutPurpose): Promise<void> {
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
    const createdIds = result === 'no capacity' ? [] : result.machines;
    this.ctx.log.info(
      { request: name, pool: poolKey(request), requested: count, created: createdIds.length, purpose },
      'scale-out request finished',
    );
    const now = this.ctx.clock.now();
    for (const id of createdIds) inventory.registerMachine({ id, type, zone, spot }, FactSource.Rental, now);
    const missingCount = count - createdIds.length;
    const series = seriesKey(type, spot);
    if (missingCount > 0) {
      // While the pool is marked as sold out, machines are requested from other zones and types.
      this.soldOutUntil.set(poolKey(request), plus(now, SOLD_OUT_BACKOFF_MS));
      this.lastRefusedAt = now;
      listener.soldOut(series);
    }
    if (createdIds.length > 0) {
      this.lastCreatedAt = now;
      listener.machinesCreated();
    }
    if (purpose === 'forecast' && missingCount > 0) this.requestAhead(series, missingCount);
  }

  /**
   * Sends a request, with retries under the same name: a request without a response may have been carried out, and the
   * cloud does not create the machines of one name twice.
   */
  private async createMachines(request: ScaleOutRequest): Promise<RequestOutcome> {
    for (let attempt = 1; ; attempt++) {
      // Only the first attempt may be skipped: an earlier request found the pool sold out, and nothing has been sent
      // under this name yet.
      const isSoldOut = (): boolean => attempt === 1 && this.isSoldOut(request, this.ctx.clock.now());
      this.lastQueuedCall = this.lastQueuedCall.then(() =>
        isSoldOut() ? undefined : this.options.cloudCalls.acquire(),
      );
      await this.lastQueuedCall;
      if (this.ctx.isEnded()) return null;
      if (isSoldOut()) return 'sold out';
      if (!this.ctx.isLeaseValid()) {
        await sleep(this.ctx.clock, LEASE_CHECK_INTERVAL_MS);
        continue;
      }
      try {
        return await this.ctx.cloud.createMachines(request);
      } catch (error) {
        if (attempt >= MAX_ATTEMPT_COUNT) throw error;
        const retryDelayMs =
          error instanceof CloudRequestRefusedError ? REFUSED_RETRY_DELAY_MS : UNANSWERED_RETRY_DELAY_MS;
        await sleep(this.ctx.clock, retryDelayMs * attempt + this.ctx.random() * MAX_RETRY_JITTER_MS);
      }
    }
  }
}
