/** What the owner's and the follower's side of a takeover share: dependencies, the effect gate, and stage changes. */
import type { Clock, Logger, MemberId, Membership } from '@plumyoke/membership';
import { EffectGate } from './effect-gate.js';
import { describeDamage } from './operator-messages.js';
import type { Owner, Ownership, OwnershipClaims, UnitId } from './ownership.js';
import { isOwnerStage, nextStage, type StageEvent } from './stage.js';
import { rankSuccessors } from './successor-ranking.js';
import type { TakeoverSettings } from './takeover-settings.js';
import type { UnitState } from './unit-state.js';

/** The application's part of a takeover. `Prepared` is what is read ahead for a unit. */
export interface UnitHandler<Prepared> {
  /** Reads ahead what a new owner needs. Must have no effect that others can observe. */
  prepare(unit: UnitId): Promise<Prepared>;
  /** Drops what was read ahead, because the suspicion was refuted. */
  discard(unit: UnitId): void;
  /** Takes over the unit's machines and jobs. A rejection releases the unit. */
  adopt(ownership: Ownership, prepared: Prepared | null): Promise<void>;
  /** Stops everything that runs under the ownership's epoch: the ownership has ended. */
  stop(ownership: Ownership, reason: string): void;
}

/** The dependencies of a coordinator. */
export interface TakeoverEnvironment {
  readonly clock: Clock;
  readonly log: Logger;
  readonly membership: Membership;
  readonly claims: OwnershipClaims;
  readonly settings: TakeoverSettings;
}

/** The shared state of one coordinator. */
export class TakeoverContext<Prepared> {
  readonly gate: EffectGate;
  /** The duration of the last pause of this process, for the log; null: there was none. */
  lastPauseMs: number | null = null;

  constructor(
    readonly environment: TakeoverEnvironment,
    readonly handler: UnitHandler<Prepared>,
    onPause: () => void,
  ) {
    this.gate = new EffectGate(environment.membership, (pausedMs) => {
      this.lastPauseMs = pausedMs;
      onPause();
    });
  }

  /** Monotonic time in milliseconds. */
  get now(): number {
    return this.environment.clock.now();
  }

  /** This process as an owner. */
  get self(): Owner {
    const { member, process } = this.environment.membership.identity;
    return { member, process };
  }

  /** Returns the members that could own the unit, the best first. */
  ranking(unit: UnitId): MemberId[] {
    return rankSuccessors(unit, this.environment.membership.members());
  }

  /** Returns the best successor of this process; null if there is none. */
  successorFor(unit: UnitId): MemberId | null {
    return this.ranking(unit).find((member) => member !== this.self.member) ?? null;
  }

  /** Moves a unit to the stage that follows an event. */
  advance(state: UnitState<Prepared>, event: StageEvent): void {
    const before = state.stage;
    state.stage = nextStage(before, event, this.now);
    if (before.kind === 'suspecting' && state.stage.kind === 'watching') this.discardPreparation(state);
    if (state.stage.kind === 'blocked' && before.kind !== 'blocked') {
      const { damage } = state.stage;
      this.environment.log.warn({ key: damage.key }, describeDamage(state.unit, damage));
    }
  }

  /** Ends this process's ownership of a unit and stops the work under it. */
  endOwnership(state: UnitState<Prepared>, reason: string): void {
    if (!isOwnerStage(state.stage)) return;
    const { ownership } = state.stage;
    this.advance(state, { kind: 'superseded' });
    this.handler.stop(ownership, reason);
  }

  private discardPreparation(state: UnitState<Prepared>): void {
    if (state.preparation === null) return;
    state.preparation = null;
    this.handler.discard(state.unit);
  }
}
