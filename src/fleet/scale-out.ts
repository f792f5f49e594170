/** Rents machines: asks for them by name, remembers what is sold out, and never rents while unsure of leading. */
import type { LeaderContext } from '../core/context.js';
import { CloudRequestRefusedError, type ScaleOutResult } from '../cloud/client.js';
import { errorMessage } from '../log/logger.js';
import type { ScaleOutRequestId, MachineTypeId, ZoneId } from '../model/ids.js';
import { FactSource } from '../model/machine-facts.js';
import { type MonotonicTime, plus, since, sleep } from '../model/time.js';
import type { ScaleOutRequest } from '../wire/cloud.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { MachineInventory } from './inventory.js';
import {
  allPools,
  type PendingMachine,
  type Pool,
  poolKey,
  price,
  seriesKey,
  readSeriesKey,
  type CapacityRequest,
} from './capacity-plan.js';

/** A refused pool is asked again after this. */
const REFUSED_MS = 15_000;
const MOST_PER_RENTAL = 50;
const RENT_TRIES = 4;
/** Between two looks whether we surely lead. */
const UNSURE_MS = 250;
const REFUSED_AGAIN_MS = 700;
const UNANSWERED_AGAIN_MS = 200;
const AGAIN_JITTER_MS = 300;
/** A boot may take so many times as long as usual, and this much more, before it counts as failed. */
const SLOW_BOOT = 1.7;
const SLOW_BOOT_MS = 3000;

/** What a rental is for: the forecast, or work that waits. */
export type ScaleOutPurpose = 'forecast' | 'queue';

interface PendingScaleOut {
  readonly pool: Pool;
  readonly count: number;
}

type RentalResult = ScaleOutResult | 'sold out' | null;

/** Is told of what rentals come to. */
export interface ScaleOutListener {
  /** Machines were rented. */
  rented(): void;
  /** A series' pool gave fewer machines than were asked for. */
  refused(series: string): void;
  /** One rental is over: more may be asked for. */
  settled(): void;
}

/** Rentals under way and pools that have none left. */
export class ScaleOut {
  private readonly refusedUntil = new Map<string, MonotonicTime>();
  private readonly underWay = new Map<string, PendingScaleOut>();
  private rentals = 0;
  /** Rentals take their turns one after the other: a deletion never waits behind all of them. */
  private lastTurn: Promise<void> = Promise.resolve();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly turns: CloudCallQueue,
    private readonly inventory: MachineInventory,
    private readonly listener: ScaleOutListener,
  ) {}

  get pending(): ReadonlyMap<string, PendingScaleOut> {
    return this.underWay;
  }

  /** Pools that have not lately refused. */
  openPools(): Pool[] {
    const now = this.ctx.clock.now();
    return allPools(this.ctx.machineTypes.values()).filter(
      (pool) => !this.isRefused({ type: pool.type.id, zone: pool.zone, spot: pool.spot }, now),
    );
  }

  /** Machines rented and not yet up, unless they are so late that they may never come. */
  coming(): PendingMachine[] {
    const now = this.ctx.clock.now();
    const list: PendingMachine[] = [];
    for (const worker of this.ctx.workers.values()) {
      if (worker.isUp || worker.cordon) continue;
      if (!worker.presumedFacts) continue;
      const { machine, type } = worker.presumedFacts;
      if (since(now, worker.rentedAt) > type.bootTime * SLOW_BOOT + SLOW_BOOT_MS) continue;
      list.push({ ...machine, free: worker.free });
    }
    for (const { pool, count } of this.underWay.values()) {
      const { id, cpus, gpus, memoryGb } = pool.type;
      const { zone, spot } = pool;
      for (let i = 0; i < count; i++) list.push({ type: id, zone, spot, free: { cpus, gpus, memoryGb } });
    }
    return list;
  }

  /** Asks for these machines, in calls of the size that the cloud takes. */
  rent({ pool, count }: CapacityRequest, purpose: ScaleOutPurpose): void {
    for (let left = count; left > 0; left -= MOST_PER_RENTAL) {
      const part = Math.min(left, MOST_PER_RENTAL);
      const name = `p${this.ctx.epoch}-${++this.rentals}` as ScaleOutRequestId;
      this.underWay.set(name, { pool, count: part });
      void this.carryOut(name, pool, part, purpose);
    }
  }

  /** One batched call; what a stockout leaves over is asked of another zone, then of another type. */
  rentAhead(series: string, count: number): void {
    const { type: id, spot } = readSeriesKey(series);
    const type = this.ctx.machineTypes.get(id);
    if (!type) return;
    const open = this.openPools().filter((pool) => pool.spot === spot);
    const same = open.filter((pool) => pool.type.id === type.id);
    if (same.length > 0) {
      const pool = same[Math.floor(this.ctx.random() * same.length)] as Pool;
      this.rent({ pool, count }, 'forecast');
      return;
    }
    // Replicas cannot wait for the type to come back; spot work can.
    if (spot || open.length === 0) return;
    const next = open.reduce((best, pool) => (price(pool) < price(best) ? pool : best));
    const alike = Math.max(1, Math.round((count * type.cpus) / next.type.cpus));
    this.rent({ pool: next, count: alike }, 'forecast');
  }

  private isRefused(pool: { type: MachineTypeId; zone: ZoneId; spot: boolean }, now: MonotonicTime): boolean {
    const until = this.refusedUntil.get(poolKey(pool));
    return until !== undefined && until > now;
  }

  private async carryOut(
    name: ScaleOutRequestId,
    pool: Pool,
    count: number,
    why: ScaleOutPurpose,
  ): Promise<void> {
    const rental: ScaleOutRequest = { name, type: pool.type.id, zone: pool.zone, spot: pool.spot, count };
    try {
      const result = await this.tryRent(rental);
      if (result !== null && result !== 'sold out' && !this.ctx.isEnded()) this.answered(rental, result, why);
    } catch (error) {
      this.ctx.log.info({ name, pool: poolKey(rental), error: errorMessage(error) }, 'rental failed');
    } finally {
      this.underWay.delete(name);
      if (!this.ctx.isEnded()) this.listener.settled();
    }
  }

  private answered(rental: ScaleOutRequest, result: ScaleOutResult, why: ScaleOutPurpose): void {
    const { name, type, zone, spot, count } = rental;
    const got = result === 'no capacity' ? [] : result.machines;
    this.ctx.log.info({ name, pool: poolKey(rental), asked: count, got: got.length, why }, 'rented');
    const now = this.ctx.clock.now();
    for (const id of got) this.inventory.registerMachine({ id, type, zone, spot }, FactSource.Rental, now);
    const missing = count - got.length;
    const series = seriesKey(type, spot);
    if (missing > 0) {
      // A stockout is remembered: other zones and types are asked meanwhile.
      this.refusedUntil.set(poolKey(rental), plus(now, REFUSED_MS));
      this.listener.refused(series);
    }
    if (got.length > 0) this.listener.rented();
    if (why === 'forecast' && missing > 0) this.rentAhead(series, missing);
  }

  /** The same name is tried again: a rental without an answer may have been carried out. */
  private async tryRent(rental: ScaleOutRequest): Promise<RentalResult> {
    for (let tries = 1; ; tries++) {
      // Refused meanwhile, to a rental before this one: nothing has been asked under this name yet.
      const soldOut = (): boolean => tries === 1 && this.isRefused(rental, this.ctx.clock.now());
      this.lastTurn = this.lastTurn.then(() => (soldOut() ? undefined : this.turns.next()));
      await this.lastTurn;
      if (this.ctx.isEnded()) return null;
      if (soldOut()) return 'sold out';
      if (!this.ctx.isLeaseValid()) {
        await sleep(this.ctx.clock, UNSURE_MS);
        continue;
      }
      try {
        return await this.ctx.cloud.createMachines(rental);
      } catch (error) {
        if (tries >= RENT_TRIES) throw error;
        const wait =
          (error instanceof CloudRequestRefusedError ? REFUSED_AGAIN_MS : UNANSWERED_AGAIN_MS) * tries;
        await sleep(this.ctx.clock, wait + this.ctx.random() * AGAIN_JITTER_MS);
      }
    }
  }
}
