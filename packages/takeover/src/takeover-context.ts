/**
 * The state that the owner's and the follower's side of a takeover share: dependencies, effect gate, stage transitions.
 */
import type { Clock, Logger, MemberId, Membership } from '@plumyoke/membership';
import { EffectGate } from './effect-gate.js';
import { describeDamage } from './operator-messages.js';
import type { Owner, Ownership, OwnershipClaims, UnitId } from './ownership.js';
import { isOwnerStage, nextStage, type StageEvent } from './stage.js';
import { rankSuccessors } from './successor-ranking.js';
import type { TakeoverSettings } from './takeover-settings.js';
import type { UnitState } from './unit-state.js';

/** The callbacks through which an application takes part in takeovers. `Prepared` is the data prefetched for a unit. */
export interface UnitHandler<Prepared> {
  /** Prefetches the data that a new owner needs. Must have no effect that other processes can observe. */
  prepare(unit: UnitId): Promise<Prepared>;
  /** Discards the prefetched data, because the suspicion was refuted or another process owns the unit. */
  discard(unit: UnitId): void;
  /**
   * Takes over the unit's machines and jobs. If the promise is rejected, the coordinator releases the unit. `prepared`
   * is null if this member prefetched nothing or the prefetch failed.
   */
  adopt(ownership: Ownership, prepared: Prepared | null): Promise<void>;
  /** Stops all work under the ownership's epoch, because the ownership has ended. */
  stop(ownership: Ownership, reason: string): void;
}

/** The dependencies of a takeover coordinator. */
export interface TakeoverEnvironment {
  readonly clock: Clock;
  readonly log: Logger;
  readonly membership: Membership;
  readonly claims: OwnershipClaims;
  readonly settings: TakeoverSettings;
}

/** The state that a coordinator shares with its owner and follower roles. */
export class TakeoverContext<Prepared> {
  readonly gate: EffectGate;
  /** The duration of the last pause of this process, for log messages; null: the process was never paused. */
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

  /** Returns the members that are eligible to own the unit, best first. */
  ranking(unit: UnitId): MemberId[] {
    return rankSuccessors(unit, this.environment.membership.members());
  }

  /** Returns the best-ranked member other than this process; null if no other member is eligible. */
  successorFor(unit: UnitId): MemberId | null {
    return this.ranking(unit).find((member) => member !== this.self.member) ?? null;
  }

  /**
   * Moves a unit to the stage that follows an event. Discards prefetched data when a suspicion ends without a
   * claim, and logs a warning when a damaged record blocks the unit.
   */
  advance(state: UnitState<Prepared>, event: StageEvent): void {
    const previousStage = state.stage;
    state.stage = nextStage(previousStage, event, this.now);
    if (previousStage.kind === 'suspecting' && state.stage.kind === 'watching')
      this.discardPreparation(state);
    if (state.stage.kind === 'blocked' && previousStage.kind !== 'blocked') {
      const { damage } = state.stage;
      this.environment.log.warn({ key: damage.key }, describeDamage(state.unit, damage));
    }
  }

  /** Ends this process's ownership of a unit and stops the work under that ownership. */
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
