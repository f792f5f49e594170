import type { LeaderContext } from '../cluster/context.js';
import { CloudRefused, type Rented } from '../cloud/client.js';
import { lateNeeds, LateWatch, type QueuedWork } from './backlog.js';
import { machinesToEmpty, type MovableTask, type PartlyUsed } from './consolidation.js';
import { projectCapacity, type CapacityProjection } from './capacity-projection.js';
import { Ensemble, type PredictionCost } from '../forecast/ensemble.js';
import type { SlackFactors } from '../scheduler/slack-factors.js';
import type { Lifetimes } from '../forecast/lifetimes.js';
import { Arrivals } from '../forecast/arrivals.js';
import { autoregression, highQuantile, movingAverage } from '../forecast/predictors.js';
import { reason } from '../log/logger.js';
import type { HostId, RentalName, TypeId, ZoneId } from '../model/ids.js';
import type { ListedMachine, Machine } from '../model/machine.js';
import { type Steady, plus, seconds, since, sleep } from '../model/time.js';
import type { Budget } from '../net/budget.js';
import type { OpenJob } from '../scheduler/open-job.js';
import type { Task } from '../scheduler/task.js';
import type { Urgency } from '../scheduler/urgency.js';
import type { Rental } from '../wire/cloud.js';
import { Host } from '../workers/host.js';
import {
  allPools,
  cheapestPool,
  type Coming,
  type Need,
  perMachine,
  type Pool,
  poolKey,
  price,
  rentFor,
  readSeriesKey,
  seriesKey,
  type Wish,
} from './plan.js';

/** A refused pool is asked again after this. */
const REFUSED_MS = 15_000;
const MOST_PER_RENTAL = 50;
const MOST_PER_DELETE = 100;
const RENT_TRIES = 4;
const FIRST_SLOT = 0.3;
/** Between two looks whether we surely lead. */
const UNSURE_MS = 250;
/** A machine costs this much of its time however soon it goes back (PROTOCOL). */
const PAID_MS = 60_000;
/** Between two looks for machines to be emptied; the last one's work has found its place by then. */
const EMPTY_EVERY_MS = 2000;
/** The record, beside the series', of what classes have missed. */
const PATIENCE = '~patience';
/** A need of less than this part of a machine is not rented for. */
const ROUND_DOWN = 0.3;
/** By then a machine that is up has been heard by a new leader. */
const HEARING_MS = 15_000;
/** Unmet demand is turned into this many rentals at a time, so that each knows the last one's refusal. */
const MOST_PENDING = 2;
/** The pause after looking what to rent: at least this, or so many times what it took. */
const RENT_PAUSE_MS = 150;
const RENT_PAUSE = 10;

interface PendingRental {
  readonly pool: Pool;
  readonly count: number;
}

/** Rents, keeps and returns machines: the paper's forecast, reserves and on-the-fly misses. */
export class FleetManager {
  private readonly ensembles = new Map<string, Ensemble>();
  /** New need of the running slot, in machines, by series. */
  private readonly slotNeed = new Map<string, number>();
  private readonly arrivals = { spot: new Arrivals(), ordinary: new Arrivals() };
  private readonly refusedUntil = new Map<string, Steady>();
  private readonly refusedInSlot = new Set<string>();
  private readonly pending = new Map<string, PendingRental>();
  private readonly removing = new Set<HostId>();
  /** Of those, the ones that go even while it is not sure that we lead. */
  private readonly mustGo = new Set<HostId>();
  private slotEnds: Steady;
  private rentals = 0;
  private queue: readonly QueuedWork[] = [];
  private listing = false;
  private lastList: Steady | null = null;
  private dirty = false;
  private rentLater = false;
  private lookAgainAt: Steady | null = null;
  /** Rentals take their turns one after the other: a deletion never waits behind all of them. */
  private rentalTurn: Promise<void> = Promise.resolve();
  private firstSlot = true;
  private readonly lateWatch = new LateWatch();
  private emptiedAt: Steady | null = null;
  private looked: CapacityProjection | null = null;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly budget: Budget,
    private readonly lifetimes: Lifetimes,
    private readonly slackFactors: SlackFactors,
    private readonly urgency: Urgency,
    private readonly onGone: (host: Host) => void,
    private readonly saveFleet: () => void,
  ) {
    this.slotEnds = plus(ctx.startedAt, ctx.ops.forecast.slot_s * 1000);
  }

  private ensemble(key: string): Ensemble {
    let e = this.ensembles.get(key);
    if (!e) {
      const f = this.ctx.ops.forecast;
      const { type: id, spot } = readSeriesKey(key);
      const type = this.ctx.types.get(id);
      const cost: PredictionCost = {
        // Ordinary machines are forecast for work that must not wait for a boot.
        beta: spot ? f.beta : f.firm_beta,
        hit: f.hit_s,
        miss: type ? type.boot / 1000 : f.slot_s,
        idle: f.idle_cost,
      };
      e = new Ensemble([movingAverage(f.average_slots), autoregression(7), highQuantile(8, 0.15)], cost);
      this.ensembles.set(key, e);
    }
    return e;
  }

  restoreForecast(key: string, stored: unknown): void {
    if (key === PATIENCE) this.slackFactors.restore(stored);
    else this.ensemble(key).restore(stored);
  }

  forecastRecords(): Map<string, unknown> {
    const records = new Map<string, unknown>([...this.ensembles].map(([k, e]) => [k, e.record()]));
    return records.set(PATIENCE, this.slackFactors.record());
  }

  /** New demand: counted once for the type that would serve it best, refused or not. */
  demanded(job: OpenJob): void {
    const need = this.needOf(job);
    if (!need) return;
    const { key, machines, pool } = need;
    this.slotNeed.set(key, (this.slotNeed.get(key) ?? 0) + machines);
    this.arrivals[pool.spot ? 'spot' : 'ordinary'].arrived(this.ctx.clock.now());
  }

  /** In machines of the type that would serve it best. */
  private needOf(job: OpenJob): { key: string; machines: number; pool: Pool } | null {
    const { spec } = job;
    const pool = cheapestPool(spec, spec.tasks, allPools(this.ctx.types.values()));
    if (!pool) return null;
    const team = this.ctx.settings.teams.find((t) => t.id === spec.team);
    const limit = team?.cpusMax != null && spec.cpus > 0 ? Math.floor(team.cpusMax / spec.cpus) : Infinity;
    const machines = Math.min(spec.tasks, limit) / perMachine(spec, pool.type);
    return { key: seriesKey(pool.type.id, pool.spot), machines, pool };
  }

  /** The queue's unmet demand, as the last decision round left it. */
  unmet(queue: readonly QueuedWork[]): void {
    this.queue = queue;
    if (queue.length === 0) this.lateWatch.left(false, this.ctx.clock.now());
    this.rentUnmet();
  }

  private refused(pool: { type: TypeId; zone: ZoneId; spot: boolean }, now: Steady): boolean {
    const until = this.refusedUntil.get(poolKey(pool));
    return until !== undefined && until > now;
  }

  private openPools(): Pool[] {
    const now = this.ctx.clock.now();
    return allPools(this.ctx.types.values()).filter(
      (p) => !this.refused({ type: p.type.id, zone: p.zone, spot: p.spot }, now),
    );
  }

  private bootLimit(host: Host): Steady {
    // A new leader first gives every machine time to be heard: it does not know which ones are up.
    const booted = plus(host.since, host.type.boot * this.ctx.ops.fleet.boot_patience + 10_000);
    const heard = plus(this.ctx.startedAt, HEARING_MS);
    return booted > heard ? booted : heard;
  }

  /** Machines rented and not yet up, unless they are so late that they may never come. */
  private coming(): Coming[] {
    const now = this.ctx.clock.now();
    const list: Coming[] = [];
    for (const host of this.ctx.hosts.values()) {
      if (host.up || host.closed) continue;
      if (since(now, host.since) > host.type.boot * 1.7 + 3000) continue;
      list.push({ ...host.machine, free: host.free });
    }
    for (const p of this.pending.values()) {
      const { cpus, gpus, memoryGb } = p.pool.type;
      for (let i = 0; i < p.count; i++) {
        list.push({
          type: p.pool.type.id,
          zone: p.pool.zone,
          spot: p.pool.spot,
          free: { cpus, gpus, memoryGb },
        });
      }
    }
    return list;
  }

  private rentUnmet(): void {
    if (this.queue.length === 0 || this.pending.size >= MOST_PENDING) return;
    const began = this.ctx.clock.now();
    const wait = Math.max(this.budget.wait(), (this.lookAgainAt ?? began) - began);
    if (wait > 0) {
      if (!this.rentLater) {
        this.rentLater = true;
        this.ctx.clock.after(wait + 1, () => {
          this.rentLater = false;
          if (!this.ctx.ended()) this.rentUnmet();
        });
      }
      return;
    }
    const most = this.ctx.ops.fleet.max_machines - this.ctx.hosts.size - this.pending.size;
    const wishes = this.wishes(most);
    for (const wish of wishes.slice(0, MOST_PENDING - this.pending.size)) this.rent(wish, 'queue');
    const now = this.ctx.clock.now();
    this.lookAgainAt = plus(now, Math.max(RENT_PAUSE_MS, since(now, began) * RENT_PAUSE));
  }

  /**
   * Spot machines for all that waits; ordinary ones, which cost several times as much, for what
   * must run on them and for what the fleet would start too late.
   */
  private wishes(most: number): Wish[] {
    const coming = this.coming();
    const open = this.openPools();
    const needs = (jobs: readonly QueuedWork[]): Need[] => jobs.map(({ spec, tasks }) => ({ spec, tasks }));
    const spotWork = this.queue.filter((j) => j.spec.spot);
    const firm = this.queue.filter((j) => !j.spec.spot);
    const cheap = rentFor(
      needs(spotWork),
      coming,
      open.filter((p) => p.spot),
      most,
    );
    const must = rentFor(needs(firm), coming, open, most);
    if (cheap.length > 0) return [...must, ...cheap];
    const cpus = this.workingCpus(coming);
    const busy = this.busyCpuMs();
    const tooLong = lateNeeds(spotWork, cpus, busy, 0).length > 0;
    const late = lateNeeds(spotWork, cpus, busy, this.lateWatch.left(tooLong, this.ctx.clock.now()));
    const ordinary = open.filter((p) => !p.spot);
    return [...must, ...rentFor(late, [], ordinary, most)];
  }

  slowestBoot(): number {
    let boot = 0;
    for (const type of this.ctx.types.values()) boot = Math.max(boot, type.boot);
    return boot;
  }

  /** What works off the queue of spot work: machines up and coming, less what others hold there. */
  private workingCpus(coming: readonly Coming[]): number {
    let cpus = coming.reduce((sum, c) => sum + c.free.cpus, 0);
    for (const host of this.ctx.hosts.values()) {
      if (!host.up || host.closed) continue;
      cpus += host.type.cpus;
      for (const task of host.tasks) if (!task.job.spec.spot) cpus -= task.job.spec.cpus;
    }
    return cpus;
  }

  /** Expected time still to run of the spot work on the machines. */
  private busyCpuMs(): number {
    const now = this.ctx.clock.now();
    let sum = 0;
    for (const host of this.ctx.hosts.values()) {
      for (const task of host.tasks) {
        const { spec } = task.job;
        if (!spec.spot) continue;
        const run = this.lifetimes.expectedRun(spec);
        const ran = task.runningAt === null ? 0 : now - task.runningAt;
        sum += Math.max(run * 0.2, run - ran) * spec.cpus;
      }
    }
    return sum;
  }

  private rent(wish: Wish, why: string): void {
    let left = wish.count;
    while (left > 0) {
      const count = Math.min(left, MOST_PER_RENTAL);
      left -= count;
      const name = `p${this.ctx.epoch}-${++this.rentals}` as RentalName;
      this.pending.set(name, { pool: wish.pool, count });
      void this.doRent(name, wish.pool, count, why);
    }
  }

  private async doRent(name: RentalName, pool: Pool, count: number, why: string): Promise<void> {
    const rental: Rental = { name, type: pool.type.id, zone: pool.zone, spot: pool.spot, count };
    const { clock, log } = this.ctx;
    try {
      const result = await this.tryRent(rental);
      if (result === null || result === 'sold out' || this.ctx.ended()) return;
      const got = result === 'no capacity' ? [] : result.hosts;
      log.info({ name, pool: poolKey(rental), asked: count, got: got.length, why }, 'rented');
      const now = clock.now();
      for (const id of got) this.adopt({ id, type: rental.type, zone: rental.zone, spot: rental.spot }, now);
      if (got.length < count) {
        // A stockout is remembered: other zones and types are asked meanwhile.
        this.refusedUntil.set(poolKey(rental), plus(now, REFUSED_MS));
        this.refusedInSlot.add(seriesKey(rental.type, rental.spot));
      }
      if (got.length > 0) this.saveFleet();
      if (why === 'forecast' && got.length < count) {
        this.rentAhead(seriesKey(rental.type, rental.spot), count - got.length);
      }
    } catch (error) {
      log.info({ name, pool: poolKey(rental), error: reason(error) }, 'rental failed');
    } finally {
      this.pending.delete(name);
      if (!this.ctx.ended()) this.rentUnmet();
    }
  }

  /** The same name is tried again: a rental without an answer may have been carried out. */
  private async tryRent(rental: Rental): Promise<Rented | 'sold out' | null> {
    for (let tries = 1; ; tries++) {
      // Refused meanwhile, to a rental before this one: nothing has been asked under this name yet.
      const soldOut = (): boolean => tries === 1 && this.refused(rental, this.ctx.clock.now());
      this.rentalTurn = this.rentalTurn.then(() => (soldOut() ? undefined : this.turn()));
      await this.rentalTurn;
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
        const wait = (error instanceof CloudRefused ? 700 : 200) * tries;
        await sleep(this.ctx.clock, wait + this.ctx.random() * 300);
      }
    }
  }

  private async turn(): Promise<void> {
    const wait = this.budget.wait();
    this.budget.force();
    if (wait > 0) await sleep(this.ctx.clock, wait);
  }

  /** `placeholder`: known only by a predecessor's task, until a list or a report tells the rest. */
  adopt(machine: Machine, since: Steady, address = '', placeholder = false): Host | null {
    if (this.ctx.hosts.isGone(machine.id)) return null;
    const known = this.ctx.hosts.get(machine.id);
    let host = known;
    if (!host || (host.placeholder && !placeholder)) {
      const type = this.ctx.types.get(machine.type);
      if (!type) return null;
      host = new Host(machine, type, since);
      host.placeholder = placeholder;
      if (known) host.inherit(known);
      this.ctx.hosts.add(host);
    }
    if (address !== '' && host.address === '') host.address = address;
    return host;
  }

  /** The fast fence: once the cloud has answered, the machine and everything on it are gone. */
  remove(host: Host, why: string, unsureToo = false): void {
    if (unsureToo) this.mustGo.add(host.id);
    if (host.removing) return;
    host.removing = true;
    host.closed ??= 'returning';
    this.ctx.log.info({ host: host.id, why, tasks: host.tasks.size }, 'deleting machine');
    this.removing.add(host.id);
    if (this.removing.size === 1) this.ctx.clock.after(20, () => void this.flushRemovals());
  }

  private async flushRemovals(): Promise<void> {
    while (this.removing.size > 0 && !this.ctx.ended()) {
      await this.turn();
      const may = this.ctx.sure() ? this.removing : this.mustGo;
      const batch = [...may].slice(0, MOST_PER_DELETE);
      if (batch.length === 0) {
        await sleep(this.ctx.clock, UNSURE_MS);
        continue;
      }
      try {
        await this.ctx.cloud.remove(batch);
        for (const id of batch) {
          this.removing.delete(id);
          this.mustGo.delete(id);
          const host = this.ctx.hosts.get(id);
          this.ctx.hosts.remove(id);
          if (host) this.onGone(host);
        }
        this.saveFleet();
        this.ctx.requestDecision();
      } catch (error) {
        this.ctx.log.info({ count: batch.length, error: reason(error) }, 'deletion not confirmed');
        await sleep(this.ctx.clock, 700 + this.ctx.random() * 300);
      }
    }
  }

  tick(): void {
    const now = this.ctx.clock.now();
    this.looked = null;
    if (!this.listing && (this.lastList === null || since(now, this.lastList) > 4000)) void this.list();
    this.dropLate(now);
    this.rentUnmet();
    if (now >= this.slotEnds) this.endSlot(now);
    else this.topUp(now);
    this.giveBack(now);
    this.emptyPartlyUsed(now);
  }

  private dropLate(now: Steady): void {
    for (const host of this.ctx.hosts.values()) {
      if (!host.up && !host.removing && now > this.bootLimit(host)) this.remove(host, 'never came up');
    }
  }

  private async list(): Promise<void> {
    this.listing = true;
    try {
      let after = '';
      for (;;) {
        await this.turn();
        const page = await this.ctx.cloud.list(after);
        const now = this.ctx.clock.now();
        for (const m of page.machines) this.listed(m, now);
        const last = page.machines[page.machines.length - 1];
        if (!page.more || !last) break;
        after = last.id;
      }
    } catch (error) {
      this.ctx.log.debug({ error: reason(error) }, 'list failed');
    } finally {
      this.listing = false;
      this.lastList = this.ctx.clock.now();
    }
  }

  private listed(m: ListedMachine, now: Steady): void {
    const known = this.ctx.hosts.has(m.id);
    const host = this.adopt(m, (now - m.age) as Steady, m.address);
    if (!host) return;
    host.listed = m.status === 'running';
    if (!known)
      this.ctx.log.info({ host: m.id, type: m.type, status: m.status }, 'machine found in the list');
    if (m.status === 'failed') this.remove(host, 'failed');
    else if (m.status === 'running' && !host.known) this.ctx.dispatch(host.id);
  }

  /** Expected frees and idle room, reckoned at most once a tick. */
  private projection(now: Steady): CapacityProjection {
    const { hosts, ops, types } = this.ctx;
    this.looked ??= projectCapacity(
      {
        hosts: hosts.values(),
        pending: this.pending.values(),
        queue: this.queue,
        types: types.values(),
      },
      this.lifetimes,
      seconds(ops.forecast.slot_s),
      now,
    );
    return this.looked;
  }

  /** New machines that the slot will need. */
  private forecastOf(key: string): number {
    const ensemble = this.ensemble(key);
    // Before the first slot has ended, its stock of old work tells what a slot may bring.
    const early = (this.slotNeed.get(key) ?? 0) * FIRST_SLOT;
    if (ensemble.series.length === 0) return early;
    const arrivals = this.arrivals[readSeriesKey(key).spot ? 'spot' : 'ordinary'];
    const slot = seconds(this.ctx.ops.forecast.slot_s);
    return ensemble.forecast() * arrivals.borneOut(this.ctx.clock.now(), slot);
  }

  /**
   * New need of all series of spot work, less what such work, its own included, is expected to free,
   * in CPUs. It runs
   * wherever there is room, so what one type frees serves the need of another: reckoned type by
   * type, machines would be kept for demand that the others' frees have long met.
   */
  private spotNet(projection: CapacityProjection): { need: number; net: number } {
    let need = 0;
    for (const key of this.ensembles.keys()) {
      const { type, spot } = readSeriesKey(key);
      if (spot) need += this.forecastOf(key) * (this.ctx.types.get(type)?.cpus ?? 0);
    }
    return { need, net: Math.max(0, need * (1 - projection.spotOwnFrees) - projection.spotFrees) };
  }

  /**
   * The reserve wanted: new need less expected frees. What is rented now serves only after its boot:
   * ordinary machines are wanted for a slot and a boot, since their work must not wait for either.
   */
  private wanted(key: string, projection: CapacityProjection): number {
    const { type: id, spot } = readSeriesKey(key);
    const forecast = this.forecastOf(key);
    if (spot) {
      const { need, net } = this.spotNet(projection);
      return need > 0 ? (forecast * net) / need : 0;
    }
    const perSlot = forecast - (projection.frees.get(key) ?? 0);
    const type = this.ctx.types.get(id);
    if (!type) return perSlot;
    // One machine's replicas find room at once when it dies.
    const floor = projection.replicasOn.has(type.id) ? 1 : 0;
    return Math.max(floor, perSlot * (1 + type.boot / (this.ctx.ops.forecast.slot_s * 1000)));
  }

  /** Machines to rent ahead: the reserve wanted, less the one that is there. */
  private missing(key: string, projection: CapacityProjection): number {
    const { type: id, spot } = readSeriesKey(key);
    const count = Math.ceil(this.wanted(key, projection) - (projection.reserves.get(key) ?? 0) - ROUND_DOWN);
    if (!spot) return count;
    // Idle room on other machines serves spot work as well.
    const short = this.spotNet(projection).net - projection.spotIdle;
    return Math.min(count, Math.ceil(short / (this.ctx.types.get(id)?.cpus ?? 1) - ROUND_DOWN));
  }

  /**
   * Ordinary machines are topped up within the slot too: a replica that took from the reserve must
   * not leave the next one to wait for the slot's end and a boot.
   */
  private topUp(now: Steady): void {
    if (this.pending.size > 0) return;
    const projection = this.projection(now);
    for (const key of new Set([...this.ensembles.keys(), ...this.slotNeed.keys()])) {
      if (readSeriesKey(key).spot) continue;
      const count = this.missing(key, projection);
      if (count > 0) this.rentAhead(key, count);
    }
  }

  private endSlot(now: Steady): void {
    const first = this.firstSlot;
    this.firstSlot = false;
    this.slotEnds = plus(now, this.ctx.ops.forecast.slot_s * 1000);
    const projection = this.projection(now);
    const { frees, reserves } = projection;
    for (const key of this.slotNeed.keys()) this.ensemble(key);
    const told: Record<string, unknown> = {};
    for (const [key, ensemble] of this.ensembles) {
      // The first slot of a site holds a stock of old work: a slot's arrivals are a part of it.
      const stock = first && ensemble.series.length === 0 ? FIRST_SLOT : 1;
      const need = (this.slotNeed.get(key) ?? 0) * stock;
      ensemble.observe(need, !this.refusedInSlot.has(key));
      const forecast = ensemble.forecast();
      told[key] = [need, forecast, frees.get(key) ?? 0, reserves.get(key) ?? 0].map(
        (n) => Math.round(n * 100) / 100,
      );
    }
    for (const key of this.ensembles.keys()) {
      const count = this.missing(key, projection);
      if (count > 0) this.rentAhead(key, count);
    }
    const { spotFrees, spotIdle } = projection;
    this.ctx.log.info(
      { needForecastFreesReserve: told, spotFrees: Math.round(spotFrees), spotIdle: Math.round(spotIdle) },
      'slot',
    );
    this.slotNeed.clear();
    this.arrivals.spot.endSlot();
    this.arrivals.ordinary.endSlot();
    this.refusedInSlot.clear();
    this.dirty = true;
  }

  /** Whether a slot has ended since the last call: weights and machines are then written. */
  takeDirty(): boolean {
    const was = this.dirty;
    this.dirty = false;
    return was;
  }

  /** One batched call; what a stockout leaves over is asked of another zone, then of another type. */
  private rentAhead(key: string, count: number): void {
    const { type: id, spot } = readSeriesKey(key);
    const type = this.ctx.types.get(id);
    if (!type) return;
    const open = this.openPools().filter((p) => p.spot === spot);
    const same = open.filter((p) => p.type.id === type.id);
    if (same.length > 0) {
      const pool = same[Math.floor(this.ctx.random() * same.length)] as Pool;
      this.rent({ pool, count }, 'forecast');
      return;
    }
    // Replicas cannot wait for the type to come back; spot work can.
    if (spot || open.length === 0) return;
    const next = open.reduce((best, p) => (price(p) < price(best) ? p : best));
    this.rent(
      { pool: next, count: Math.max(1, Math.round((count * type.cpus) / next.type.cpus)) },
      'forecast',
    );
  }

  /** While nothing waits: machines that are mostly idle are emptied, if their work fits elsewhere. */
  private emptyPartlyUsed(now: Steady): void {
    if (this.queue.length > 0 || this.pending.size > 0) return;
    if (this.emptiedAt !== null && since(now, this.emptiedAt) < EMPTY_EVERY_MS) return;
    this.emptiedAt = now;
    const projection = this.projection(now);
    const surplus = projection.spotIdle - this.spotNet(projection).net;
    const machines: PartlyUsed[] = [];
    for (const host of this.ctx.hosts.values()) {
      if (!host.up || !host.known || host.closed || host.takenAt !== null || host.unreachable > 0) continue;
      if (since(now, host.since) < PAID_MS) continue;
      machines.push({
        id: host.id,
        cpus: host.type.cpus,
        freeCpus: Math.max(0, host.free.cpus),
        freeMemoryGb: Math.max(0, host.free.memoryGb),
        price: price({ type: host.type, spot: host.machine.spot }),
        tasks: [...host.tasks].map((task) => this.movable(task, now)),
      });
    }
    let cpuPrice = Infinity;
    for (const pool of allPools(this.ctx.types.values())) {
      cpuPrice = Math.min(cpuPrice, price(pool) / pool.type.cpus);
    }
    const chosen = machinesToEmpty(machines, surplus, cpuPrice);
    if (chosen.length > 0) this.ctx.log.info({ machines: chosen.length, surplus }, 'emptying machines');
    for (const id of chosen) this.ctx.empty(id);
  }

  private movable(task: Task, now: Steady): MovableTask {
    const { ranked: spec, readyAt } = task.job;
    const run = this.lifetimes.expectedRun(spec);
    const ran = task.runningAt === null ? 0 : since(now, task.runningAt);
    const leftMs = Math.max(run * 0.2, run - ran);
    const age = Math.max(0, this.ctx.clock.wall() - readyAt);
    return {
      cpus: spec.cpus,
      memoryGb: spec.memoryGb,
      lostMs: spec.checkpointS > 0 ? Math.min(ran, spec.checkpointS * 1000) : ran,
      leftMs,
      mayMove:
        spec.spot &&
        spec.kind === 'array' &&
        task.phase === 'placed' &&
        task.kill === null &&
        this.urgency.mayStartAgain(spec, age, leftMs, run),
    };
  }

  /** Idle machines beyond what the forecast still wants go back after the wait. */
  private giveBack(now: Steady): void {
    const idle = new Map<string, Host[]>();
    for (const host of this.ctx.hosts.values()) {
      if (!host.up || host.removing || !host.empty || host.idleSince === null) continue;
      if (host.closed === 'sick' || host.closed === 'emptying') {
        this.remove(host, host.closed);
        continue;
      }
      const wait = host.machine.spot ? this.ctx.ops.fleet.spot_give_back_s : this.ctx.ops.fleet.give_back_s;
      if (since(now, host.idleSince) < wait * 1000 || since(now, host.since) < PAID_MS) continue;
      const key = seriesKey(host.machine.type, host.machine.spot);
      const hosts = idle.get(key);
      if (hosts) hosts.push(host);
      else idle.set(key, [host]);
    }
    if (idle.size === 0) return;
    const projection = this.projection(now);
    for (const [key, hosts] of idle) {
      const need = Math.max(0, this.wanted(key, projection));
      const surplus = Math.floor((projection.reserves.get(key) ?? 0) - need + ROUND_DOWN);
      for (const host of hosts.slice(0, Math.max(0, surplus))) this.remove(host, 'surplus');
    }
  }
}
