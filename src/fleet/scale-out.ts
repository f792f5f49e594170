/** Rents machines: asks for them by name, remembers what is sold out, and never rents while unsure of leading. */
import type { LeaderContext } from '../core/context.js';
import { CloudRefused, type Rented } from '../cloud/client.js';
import { reason } from '../log/logger.js';
import type { RentalName, TypeId, ZoneId } from '../model/ids.js';
import { FactSource } from '../model/machine-facts.js';
import { type Steady, plus, since, sleep } from '../model/time.js';
import type { Rental } from '../wire/cloud.js';
import type { CloudTurns } from './cloud-call-queue.js';
import type { MachineInventory } from './inventory.js';
import {
  allPools,
  type Coming,
  type Pool,
  poolKey,
  price,
  seriesKey,
  readSeriesKey,
  type Wish,
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
export type RentalPurpose = 'forecast' | 'queue';

interface PendingRental {
  readonly pool: Pool;
  readonly count: number;
}

type RentalResult = Rented | 'sold out' | null;

/** Is told of what rentals come to. */
export interface RentalListener {
  /** Machines were rented. */
  rented(): void;
  /** A series' pool gave fewer machines than were asked for. */
  refused(series: string): void;
  /** One rental is over: more may be asked for. */
  settled(): void;
}

/** Rentals under way and pools that have none left. */
export class Renter {
  private readonly refusedUntil = new Map<string, Steady>();
  private readonly underWay = new Map<string, PendingRental>();
  private rentals = 0;
  /** Rentals take their turns one after the other: a deletion never waits behind all of them. */
  private lastTurn: Promise<void> = Promise.resolve();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly turns: CloudTurns,
    private readonly inventory: MachineInventory,
    private readonly listener: RentalListener,
  ) {}

  get pending(): ReadonlyMap<string, PendingRental> {
    return this.underWay;
  }

  /** Pools that have not lately refused. */
  openPools(): Pool[] {
    const now = this.ctx.clock.now();
    return allPools(this.ctx.types.values()).filter(
      (pool) => !this.isRefused({ type: pool.type.id, zone: pool.zone, spot: pool.spot }, now),
    );
  }

  /** Machines rented and not yet up, unless they are so late that they may never come. */
  coming(): Coming[] {
    const now = this.ctx.clock.now();
    const list: Coming[] = [];
    for (const host of this.ctx.hosts.values()) {
      if (host.up || host.closed) continue;
      if (!host.presumed) continue;
      const { machine, type } = host.presumed;
      if (since(now, host.since) > type.boot * SLOW_BOOT + SLOW_BOOT_MS) continue;
      list.push({ ...machine, free: host.free });
    }
    for (const { pool, count } of this.underWay.values()) {
      const { id, cpus, gpus, memoryGb } = pool.type;
      const { zone, spot } = pool;
      for (let i = 0; i < count; i++) list.push({ type: id, zone, spot, free: { cpus, gpus, memoryGb } });
    }
    return list;
  }

  /** Asks for these machines, in calls of the size that the cloud takes. */
  rent({ pool, count }: Wish, purpose: RentalPurpose): void {
    for (let left = count; left > 0; left -= MOST_PER_RENTAL) {
      const part = Math.min(left, MOST_PER_RENTAL);
      const name = `p${this.ctx.epoch}-${++this.rentals}` as RentalName;
      this.underWay.set(name, { pool, count: part });
      void this.carryOut(name, pool, part, purpose);
    }
  }

  /** One batched call; what a stockout leaves over is asked of another zone, then of another type. */
  rentAhead(series: string, count: number): void {
    const { type: id, spot } = readSeriesKey(series);
    const type = this.ctx.types.get(id);
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

  private isRefused(pool: { type: TypeId; zone: ZoneId; spot: boolean }, now: Steady): boolean {
    const until = this.refusedUntil.get(poolKey(pool));
    return until !== undefined && until > now;
  }

  private async carryOut(name: RentalName, pool: Pool, count: number, why: RentalPurpose): Promise<void> {
    const rental: Rental = { name, type: pool.type.id, zone: pool.zone, spot: pool.spot, count };
    try {
      const result = await this.tryRent(rental);
      if (result !== null && result !== 'sold out' && !this.ctx.ended()) this.answered(rental, result, why);
    } catch (error) {
      this.ctx.log.info({ name, pool: poolKey(rental), error: reason(error) }, 'rental failed');
    } finally {
      this.underWay.delete(name);
      if (!this.ctx.ended()) this.listener.settled();
    }
  }

  private answered(rental: Rental, result: Rented, why: RentalPurpose): void {
    const { name, type, zone, spot, count } = rental;
    const got = result === 'no capacity' ? [] : result.hosts;
    this.ctx.log.info({ name, pool: poolKey(rental), asked: count, got: got.length, why }, 'rented');
    const now = this.ctx.clock.now();
    for (const id of got) this.inventory.adopt({ id, type, zone, spot }, FactSource.Rental, now);
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
  private async tryRent(rental: Rental): Promise<RentalResult> {
    for (let tries = 1; ; tries++) {
      // Refused meanwhile, to a rental before this one: nothing has been asked under this name yet.
      const soldOut = (): boolean => tries === 1 && this.isRefused(rental, this.ctx.clock.now());
      this.lastTurn = this.lastTurn.then(() => (soldOut() ? undefined : this.turns.next()));
      await this.lastTurn;
      if (this.ctx.ended()) return null;
      if (soldOut()) return 'sold out';
      if (!this.ctx.sure()) {
        await sleep(this.ctx.clock, UNSURE_MS);
        continue;
      }
      try {
        return await this.ctx.cloud.rent(rental);
      } catch (error) {
        if (tries >= RENT_TRIES) throw error;
        const wait = (error instanceof CloudRefused ? REFUSED_AGAIN_MS : UNANSWERED_AGAIN_MS) * tries;
        await sleep(this.ctx.clock, wait + this.ctx.random() * AGAIN_JITTER_MS);
      }
    }
  }
}
