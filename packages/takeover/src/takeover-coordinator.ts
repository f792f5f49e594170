/**
 * The coordinator of takeovers: when an owner fails, one surviving member takes over each of its units. The verdicts of
 * the failure detector decide when a member tries to claim; the conditional write in `OwnershipClaims` decides which
 * member becomes the owner.
 */
import type { Cancel } from '@plumyoke/membership';
import { FollowerRole } from './follower-role.js';
import { OwnerRole } from './owner-role.js';
import type { Ownership, UnitId } from './ownership.js';
import { isOwnerStage, type Stage, WATCHING } from './stage.js';
import { TakeoverContext, type TakeoverEnvironment, type UnitHandler } from './takeover-context.js';
import { checkTakeoverSettings } from './takeover-settings.js';
import { createUnitState, type UnitState } from './unit-state.js';

/** Polls every unit on behalf of one member, as the unit's owner or as a follower. */
export class TakeoverCoordinator<Prepared> {
  private readonly units: ReadonlyMap<UnitId, UnitState<Prepared>>;
  private readonly context: TakeoverContext<Prepared>;
  private readonly ownerRole: OwnerRole<Prepared>;
  private readonly followerRole: FollowerRole<Prepared>;
  /** Cancels the next periodic poll; null: polling has not started or was stopped. */
  private cancelPollTimer: Cancel | null = null;
  private stopListening: () => void = () => {};
  private isLeaving = false;

  /** Creates a coordinator that is not yet polling. Throws `TakeoverSettingsError` for invalid settings. */
  constructor(
    units: readonly UnitId[],
    private readonly environment: TakeoverEnvironment,
    handler: UnitHandler<Prepared>,
  ) {
    checkTakeoverSettings(environment.settings);
    this.units = new Map(units.map((unit) => [unit, createUnitState<Prepared>(unit)]));
    this.context = new TakeoverContext(environment, handler, () => this.pollAll());
    this.ownerRole = new OwnerRole(this.context);
    this.followerRole = new FollowerRole(this.context);
  }

  /**
   * Starts polling the units, periodically, whenever a member changes its state or restarts, and after a pause of this
   * process.
   */
  start(): void {
    this.stopListening = this.environment.membership.listen((event) => {
      if (event.kind === 'state-changed' || event.kind === 'restarted') this.pollAll();
    });
    this.schedulePoll();
  }

  /** Stops polling. This process keeps the ownership of its units; `leave` releases them. */
  stop(): void {
    this.stopListening();
    this.cancelPollTimer?.();
    this.cancelPollTimer = null;
  }

  /** Returns the ownership under which this process may act on the unit now; null: the process must not act. */
  currentOwnership(unit: UnitId): Ownership | null {
    const stage = this.stage(unit);
    return stage.kind === 'serving' && this.context.gate.isOpen ? stage.ownership : null;
  }

  /** Returns the stage of the unit's takeover from the view of this process; `watching` for an unknown unit. */
  stage(unit: UnitId): Stage {
    return this.units.get(unit)?.stage ?? WATCHING;
  }

  /**
   * Polls all units now, because the unit's owner may have changed. The next poll of the unit reads its records again,
   * or confirms the ownership if this process owns the unit.
   */
  refresh(unit: UnitId): void {
    const state = this.units.get(unit);
    if (!state) return;
    state.readAtMs = -Infinity;
    this.pollAll();
  }

  /** Records that the application itself ended the ownership of the unit. The handler's `stop` is not called. */
  markRelinquished(unit: UnitId): void {
    const state = this.units.get(unit);
    if (!state || !isOwnerStage(state.stage)) return;
    this.context.advance(state, { kind: 'superseded' });
    state.readAtMs = -Infinity;
  }

  /** Releases every owned unit to its best successor, so that takeovers do not wait for a suspicion of this process. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    for (const state of this.units.values()) {
      if (!isOwnerStage(state.stage)) continue;
      const { ownership } = state.stage;
      this.context.endOwnership(state, 'this controller is leaving the cluster');
      await this.environment.claims.release(ownership, this.context.successorFor(state.unit));
    }
  }

  private schedulePoll(): void {
    const { clock, settings } = this.environment;
    const delayMs = this.isIdle ? settings.idlePollIntervalMs : settings.pollIntervalMs;
    this.cancelPollTimer = clock.after(delayMs, () => this.pollAll());
  }

  /**
   * Whether this member has contact to a majority, every unit is owned by another process or served by this one, and no
   * owner is suspected.
   */
  private get isIdle(): boolean {
    if (!this.environment.membership.hasMajority) return false;
    return [...this.units.values()].every(({ stage, reading }) => {
      if (stage.kind === 'serving') return true;
      return stage.kind === 'watching' && reading?.kind === 'owned';
    });
  }

  private pollAll(): void {
    if (this.cancelPollTimer === null) return;
    this.cancelPollTimer();
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
