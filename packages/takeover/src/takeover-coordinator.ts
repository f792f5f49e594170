/**
 * Takes units over when their owners fail, one survivor a unit. Verdicts of the failure detector decide when a member
 * tries; the conditional write in `OwnershipClaims` decides who owns.
 */
import type { Cancel } from '@plumyoke/membership';
import { FollowerRole } from './follower-role.js';
import { OwnerRole } from './owner-role.js';
import type { Ownership, UnitId } from './ownership.js';
import { isOwnerStage, type Stage, WATCHING } from './stage.js';
import { TakeoverContext, type TakeoverEnvironment, type UnitHandler } from './takeover-context.js';
import { checkTakeoverSettings } from './takeover-settings.js';
import { newUnitState, type UnitState } from './unit-state.js';

/** One member's part in the takeover of its units: polls each unit, as its owner or as a follower. */
export class TakeoverCoordinator<Prepared> {
  private readonly units: ReadonlyMap<UnitId, UnitState<Prepared>>;
  private readonly context: TakeoverContext<Prepared>;
  private readonly ownerRole: OwnerRole<Prepared>;
  private readonly followerRole: FollowerRole<Prepared>;
  /** Cancels the next poll; null: not started, or stopped. */
  private cancelTimer: Cancel | null = null;
  private unlisten: () => void = () => {};
  private isLeaving = false;

  /** Throws `TakeoverSettingsError` for invalid settings. */
  constructor(
    units: readonly UnitId[],
    private readonly environment: TakeoverEnvironment,
    handler: UnitHandler<Prepared>,
  ) {
    checkTakeoverSettings(environment.settings);
    this.units = new Map(units.map((unit) => [unit, newUnitState<Prepared>(unit)]));
    this.context = new TakeoverContext(environment, handler, () => this.pollAll());
    this.ownerRole = new OwnerRole(this.context);
    this.followerRole = new FollowerRole(this.context);
  }

  /** Starts polling: periodically, and whenever a member's state changes. */
  start(): void {
    this.unlisten = this.environment.membership.listen((event) => {
      if (event.kind === 'state-changed' || event.kind === 'restarted') this.pollAll();
    });
    this.schedulePoll();
  }

  /** Stops polling. Units that this process owns stay its own; see `leave`. */
  stop(): void {
    this.unlisten();
    this.cancelTimer?.();
    this.cancelTimer = null;
  }

  /** Returns the ownership under which this process may act on the unit now; null: it must not act. */
  currentOwnership(unit: UnitId): Ownership | null {
    const stage = this.stage(unit);
    return stage.kind === 'serving' && this.context.gate.open ? stage.ownership : null;
  }

  /** Returns the stage of the unit's takeover as this process sees it. */
  stage(unit: UnitId): Stage {
    return this.units.get(unit)?.stage ?? WATCHING;
  }

  /** Reads the unit's records again at once, because its owner may have changed. */
  refresh(unit: UnitId): void {
    const state = this.units.get(unit);
    if (!state) return;
    state.readAt = -Infinity;
    this.pollAll();
  }

  /** Records that the ownership was given up by other means; the handler has nothing left to stop. */
  markRelinquished(unit: UnitId): void {
    const state = this.units.get(unit);
    if (!state || !isOwnerStage(state.stage)) return;
    this.context.advance(state, { kind: 'superseded' });
    state.readAt = -Infinity;
  }

  /** Releases every unit to its best successor, so that nobody has to suspect this process first. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    for (const state of this.units.values()) {
      if (!isOwnerStage(state.stage)) continue;
      const { ownership } = state.stage;
      this.context.endOwnership(state, 'this controller leaves');
      await this.environment.claims.release(ownership, this.context.successorFor(state.unit));
    }
  }

  private schedulePoll(): void {
    const { clock, settings } = this.environment;
    const delayMs = this.isIdle ? settings.idlePollIntervalMs : settings.pollIntervalMs;
    this.cancelTimer = clock.after(delayMs, () => this.pollAll());
  }

  /** Whether every unit is served, here or elsewhere, by an owner that is not suspected. */
  private get isIdle(): boolean {
    if (!this.environment.membership.hasMajority) return false;
    return [...this.units.values()].every(({ stage, reading }) => {
      if (stage.kind === 'serving') return true;
      return stage.kind === 'watching' && reading?.kind === 'owned';
    });
  }

  private pollAll(): void {
    if (this.cancelTimer === null) return;
    this.cancelTimer();
    for (const state of this.units.values()) void this.poll(state);
    this.schedulePoll();
  }

  /** Polls one unit; polls of the same unit never overlap. */
  private async poll(state: UnitState<Prepared>): Promise<void> {
    if (state.isPolling || this.isLeaving) return;
    state.isPolling = true;
    try {
      if (isOwnerStage(state.stage)) await this.ownerRole.poll(state, state.stage.ownership);
      else await this.followerRole.poll(state);
    } finally {
      state.isPolling = false;
    }
  }
}
