/**
 * Takes units over when their owners fail, one survivor a unit. Verdicts of the membership decide when a member
 * tries; the conditional write in `OwnershipClaims` decides who owns.
 */
import type { Cancel, Clock, Logger, MemberId, Membership } from '@plumyoke/membership';
import { EffectGate } from './effect-gate.js';
import { describeDamage, describeReplaced } from './operator-messages.js';
import {
  Confirmation,
  type Owned,
  type Owner,
  type Ownership,
  type OwnershipClaims,
  type OwnershipReading,
  sameOwner,
  type UnitId,
} from './ownership.js';
import { nextStage, owns, type Stage, type StageEvent, WATCHING } from './stage.js';
import {
  claimDelayMs,
  noSignOfLife,
  OwnerStanding,
  standingOf,
  usable,
  type UsableReading,
} from './succession.js';
import { rankSuccessors } from './successor.js';
import { checkTakeover, observeMs, type TakeoverSettings } from './takeover-settings.js';

/** What is done with a unit; `P` is what is read ahead for it. */
export interface UnitHandler<P> {
  /** Reads ahead what a new owner needs. Has no effect on anything that others see. */
  prepare(unit: UnitId): Promise<P>;
  /** The suspicion was refuted: what was read ahead is dropped. */
  discard(unit: UnitId): void;
  /** Makes the unit's machines and jobs this process's own. */
  adopt(ownership: Ownership, prepared: P | null): Promise<void>;
  /** The ownership has ended: everything under its epoch stops now. */
  stop(ownership: Ownership, why: string): void;
}

/** What a coordinator is handed. */
export interface TakeoverEnvironment {
  readonly clock: Clock;
  readonly log: Logger;
  readonly membership: Membership;
  readonly claims: OwnershipClaims;
  readonly settings: TakeoverSettings;
}

interface UnitEntry<P> {
  readonly unit: UnitId;
  stage: Stage;
  reading: OwnershipReading | null;
  readAt: number;
  /** A look at the unit is under way. */
  busy: boolean;
  /** From when on the owner has been failed or gone; null: it is not. */
  vacantSince: number | null;
  preparation: Promise<P | null> | null;
  /** When the owner, this process, last showed its life through the store. */
  signedAt: number;
}

function newEntry<P>(unit: UnitId): UnitEntry<P> {
  return {
    unit,
    stage: WATCHING,
    reading: null,
    readAt: -Infinity,
    busy: false,
    vacantSince: null,
    preparation: null,
    signedAt: -Infinity,
  };
}

/** One member's part in the takeover of its units. */
export class TakeoverCoordinator<P> {
  private readonly units: ReadonlyMap<UnitId, UnitEntry<P>>;
  private readonly gate: EffectGate;
  private timer: Cancel | null = null;
  private unlisten: () => void = () => {};
  /** The last pause of this process, for the log. */
  private pausedMs: number | null = null;
  private leaving = false;

  /** Throws `TakeoverSettingsError`. */
  constructor(
    units: readonly UnitId[],
    private readonly environment: TakeoverEnvironment,
    private readonly handler: UnitHandler<P>,
  ) {
    const { membership, settings } = environment;
    checkTakeover(settings);
    this.units = new Map(units.map((unit) => [unit, newEntry<P>(unit)]));
    this.gate = new EffectGate(membership, (pausedMs) => {
      this.pausedMs = pausedMs;
      this.lookNow();
    });
  }

  start(): void {
    this.unlisten = this.environment.membership.listen((event) => {
      if (event.kind === 'state-changed' || event.kind === 'restarted') this.lookNow();
    });
    this.schedule();
  }

  stop(): void {
    this.unlisten();
    this.timer?.();
    this.timer = null;
  }

  /** The ownership under which this process may act on the unit now; null: it may not act. */
  permit(unit: UnitId): Ownership | null {
    const stage = this.stage(unit);
    return stage.kind === 'serving' && this.gate.open ? stage.ownership : null;
  }

  stage(unit: UnitId): Stage {
    return this.units.get(unit)?.stage ?? WATCHING;
  }

  /** The unit's owner may have changed: its records are read again at once. */
  refresh(unit: UnitId): void {
    const entry = this.units.get(unit);
    if (!entry) return;
    entry.readAt = -Infinity;
    this.lookNow();
  }

  /** The ownership was given up by another way, and nothing is left to be stopped. */
  relinquished(unit: UnitId): void {
    const entry = this.units.get(unit);
    if (!entry || !owns(entry.stage)) return;
    this.advance(entry, { kind: 'superseded' });
    entry.readAt = -Infinity;
  }

  /** Gives all units up, each to its best successor, without anybody having to suspect this process. */
  async leave(): Promise<void> {
    this.leaving = true;
    for (const entry of this.units.values()) {
      if (!owns(entry.stage)) continue;
      const { ownership } = entry.stage;
      this.end(entry, 'this controller leaves');
      await this.environment.claims.release(ownership, this.heirOf(entry.unit));
    }
  }

  private schedule(): void {
    const { clock, settings } = this.environment;
    const delayMs = this.calm ? settings.calmLookEveryMs : settings.lookEveryMs;
    this.timer = clock.after(delayMs, () => this.lookNow());
  }

  /** Every unit is served, here or elsewhere, by an owner that nobody suspects. */
  private get calm(): boolean {
    const { membership } = this.environment;
    if (!membership.hasMajority) return false;
    return [...this.units.values()].every(({ stage, reading }) => {
      if (stage.kind === 'serving') return true;
      return stage.kind === 'watching' && reading?.kind === 'owned';
    });
  }

  private lookNow(): void {
    // Not started, or stopped.
    if (this.timer === null) return;
    this.timer();
    for (const entry of this.units.values()) void this.look(entry);
    this.schedule();
  }

  private get self(): Owner {
    const { member, process } = this.environment.membership.identity;
    return { member, process };
  }

  private ranking(unit: UnitId): MemberId[] {
    return rankSuccessors(unit, this.environment.membership.members());
  }

  private heirOf(unit: UnitId): MemberId | null {
    return this.ranking(unit).find((member) => member !== this.self.member) ?? null;
  }

  private advance(entry: UnitEntry<P>, event: StageEvent): void {
    const before = entry.stage;
    entry.stage = nextStage(before, event, this.environment.clock.now());
    if (before.kind === 'suspecting' && entry.stage.kind === 'watching') this.discard(entry);
    if (entry.stage.kind === 'blocked' && before.kind !== 'blocked') {
      const { damage } = entry.stage;
      this.environment.log.warn({ key: damage.key }, describeDamage(entry.unit, damage));
    }
  }

  /** One look at a unit; the looks of one unit never overlap. */
  private async look(entry: UnitEntry<P>): Promise<void> {
    if (entry.busy || this.leaving) return;
    entry.busy = true;
    try {
      if (owns(entry.stage)) await this.tend(entry, entry.stage.ownership);
      else await this.consider(entry);
    } finally {
      entry.busy = false;
    }
  }

  // The owner's side

  /** Confirms the ownership, and shows through the store that this process lives where its peers cannot see it. */
  private async tend(entry: UnitEntry<P>, ownership: Ownership): Promise<void> {
    const { clock, claims, settings, membership } = this.environment;
    const now = clock.now();
    if (!this.gate.open || now - entry.readAt >= settings.readEveryMs) await this.confirm(entry, ownership);
    if (!owns(entry.stage) || membership.hasMajority) return;
    if (now - entry.signedAt < settings.signEveryMs) return;
    entry.signedAt = now;
    await claims.showLife(ownership);
  }

  private async confirm(entry: UnitEntry<P>, ownership: Ownership): Promise<void> {
    const { generation } = this.gate;
    const confirmation = await this.environment.claims.confirm(ownership);
    entry.readAt = this.environment.clock.now();
    if (confirmation === Confirmation.Held) this.gate.reopen(generation);
    if (confirmation !== Confirmation.Superseded) return;
    const why = describeReplaced(entry.unit, this.gate.open ? null : this.pausedMs);
    this.environment.log.warn({ unit: entry.unit, epoch: ownership.epoch }, why);
    this.end(entry, why);
    entry.readAt = -Infinity;
  }

  private end(entry: UnitEntry<P>, why: string): void {
    if (!owns(entry.stage)) return;
    const { ownership } = entry.stage;
    this.advance(entry, { kind: 'superseded' });
    this.handler.stop(ownership, why);
  }

  // The follower's side

  private async consider(entry: UnitEntry<P>): Promise<void> {
    const { clock, settings } = this.environment;
    if (entry.reading === null || clock.now() - entry.readAt >= settings.readEveryMs) await this.read(entry);
    const reading = usable(entry.reading);
    if (reading === null) return;
    if (reading.kind === 'owned' && sameOwner(reading.owner, this.self)) await this.adoptLate(entry, reading);
    else await this.follow(entry, reading);
  }

  private async read(entry: UnitEntry<P>): Promise<void> {
    const reading = await this.environment.claims.read(entry.unit);
    if (reading === null) return;
    entry.reading = reading;
    entry.readAt = this.environment.clock.now();
    if (reading.kind === 'damaged') this.advance(entry, { kind: 'damaged', damage: reading });
    else {
      this.advance(entry, { kind: 'repaired' });
      if (reading.kind === 'owned') this.advance(entry, { kind: 'holder-read', reading });
    }
  }

  private standing(reading: UsableReading): OwnerStanding {
    const { membership, settings } = this.environment;
    return standingOf(reading, membership.members(), settings.unknownOwnerMs);
  }

  private async follow(entry: UnitEntry<P>, reading: UsableReading): Promise<void> {
    const standing = this.standing(reading);
    if (standing === OwnerStanding.Present) {
      entry.vacantSince = null;
      this.advance(entry, { kind: 'owner-cleared' });
      return;
    }
    if (reading.kind === 'owned') this.advance(entry, { kind: 'owner-suspected', reading });
    this.prepareIfFirst(entry);
    if (standing === OwnerStanding.Suspected) {
      entry.vacantSince = null;
      return;
    }
    entry.vacantSince ??= this.environment.clock.now();
    if (this.myTurn(entry, reading)) await this.claim(entry);
  }

  /** Only the first choice reads ahead: the others would ask the store for the same. */
  private prepareIfFirst(entry: UnitEntry<P>): void {
    if (entry.preparation !== null || this.ranking(entry.unit)[0] !== this.self.member) return;
    entry.preparation = this.handler.prepare(entry.unit).catch(() => null);
  }

  private discard(entry: UnitEntry<P>): void {
    if (entry.preparation === null) return;
    entry.preparation = null;
    this.handler.discard(entry.unit);
  }

  private myTurn(entry: UnitEntry<P>, reading: UsableReading): boolean {
    const { membership, settings, clock } = this.environment;
    if (!settings.claimOnFailure || !membership.hasMajority || entry.vacantSince === null) return false;
    const delay = claimDelayMs(reading, this.ranking(entry.unit), this.self.member, settings.staggerMs);
    return clock.now() - entry.vacantSince >= delay;
  }

  /** Reads once more first: an owner that reaches the store has had time to say so. */
  private async claim(entry: UnitEntry<P>): Promise<void> {
    await this.read(entry);
    const reading = usable(entry.reading);
    if (reading === null || !this.mayClaim(entry, reading)) return;
    this.advance(entry, { kind: 'claim-began' });
    const { generation } = this.gate;
    const result = await this.environment.claims.claim(entry.unit, this.self, reading);
    entry.readAt = -Infinity;
    if (result.kind !== 'won') {
      this.advance(entry, { kind: 'claim-lost' });
      return;
    }
    this.gate.reopen(generation);
    await this.adopt(entry, result.ownership);
  }

  private mayClaim({ stage }: UnitEntry<P>, reading: UsableReading): boolean {
    const standing = this.standing(reading);
    if (standing === OwnerStanding.Gone) return true;
    if (standing !== OwnerStanding.Failed || stage.kind !== 'suspecting') return false;
    const { clock, settings } = this.environment;
    return noSignOfLife(stage, clock.now(), observeMs(settings), settings.signValidMs);
  }

  /** A claim of ours whose answer was lost has won after all. */
  private async adoptLate(entry: UnitEntry<P>, reading: Owned): Promise<void> {
    const { generation } = this.gate;
    const { owner, epoch, revisions } = reading;
    const ownership: Ownership = { unit: entry.unit, owner, epoch, epochRevision: revisions.epoch };
    const confirmation = await this.environment.claims.confirm(ownership);
    entry.readAt = -Infinity;
    if (confirmation !== Confirmation.Held) return;
    this.gate.reopen(generation);
    await this.adopt(entry, ownership);
  }

  private async adopt(entry: UnitEntry<P>, ownership: Ownership): Promise<void> {
    this.advance(entry, { kind: 'claim-won', ownership });
    entry.vacantSince = null;
    entry.readAt = this.environment.clock.now();
    const prepared = (await entry.preparation) ?? null;
    entry.preparation = null;
    try {
      await this.handler.adopt(ownership, prepared);
      this.advance(entry, { kind: 'adopted' });
    } catch (error) {
      const why = error instanceof Error ? error.message : String(error);
      this.environment.log.warn(
        { unit: entry.unit, why },
        'a unit could not be adopted; another controller may try',
      );
      this.end(entry, why);
      await this.environment.claims.release(ownership, this.heirOf(entry.unit));
    }
  }
}
