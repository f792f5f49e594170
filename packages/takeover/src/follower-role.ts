/**
 * The follower's side of a takeover: watches a unit's owner and claims the unit when the owner has failed or is gone.
 */
import {
  claimableReading,
  claimDelayMs,
  hasMissedHeartbeats,
  OwnerStatus,
  ownerStatus,
} from './owner-status.js';
import {
  type ClaimableReading,
  OwnershipConfirmation,
  isSameOwner,
  type OwnedReading,
  type Ownership,
} from './ownership.js';
import type { TakeoverContext } from './takeover-context.js';
import { minObservationMs } from './takeover-settings.js';
import type { UnitState } from './unit-state.js';

/** Polls the units that this member does not own, and claims a unit whose owner has failed or is gone. */
export class FollowerRole<Prepared> {
  constructor(private readonly context: TakeoverContext<Prepared>) {}

  /**
   * Acts on the status of the unit's owner, and adopts the unit if its record names this process. Reads the unit's
   * records first if there is no reading or the last reading is at least `maxReadingAgeMs` old.
   */
  async poll(state: UnitState<Prepared>): Promise<void> {
    const { settings } = this.context.environment;
    const isReadDue = state.reading === null || this.context.now - state.readAtMs >= settings.maxReadingAgeMs;
    if (isReadDue) await this.read(state);
    const reading = claimableReading(state.reading);
    if (reading === null) return;
    if (reading.kind === 'owned' && isSameOwner(reading.owner, this.context.self)) {
      await this.adoptEarlierClaim(state, reading);
    } else {
      await this.follow(state, reading);
    }
  }

  private async read(state: UnitState<Prepared>): Promise<void> {
    const reading = await this.context.environment.claims.read(state.unit);
    if (reading === null) return;
    state.reading = reading;
    state.readAtMs = this.context.now;
    if (reading.kind === 'damaged') {
      this.context.advance(state, { kind: 'damaged', damage: reading });
      return;
    }
    this.context.advance(state, { kind: 'repaired' });
    if (reading.kind === 'owned') this.context.advance(state, { kind: 'holder-read', reading });
  }

  private statusOf(reading: ClaimableReading): OwnerStatus {
    const { membership, settings } = this.context.environment;
    return ownerStatus(reading, membership.members(), settings.unknownOwnerTimeoutMs);
  }

  private async follow(state: UnitState<Prepared>, reading: ClaimableReading): Promise<void> {
    const status = this.statusOf(reading);
    if (status === OwnerStatus.Present) {
      state.vacantSinceMs = null;
      this.context.advance(state, { kind: 'owner-cleared' });
      return;
    }
    if (reading.kind === 'owned') this.context.advance(state, { kind: 'owner-suspected', reading });
    this.prepareIfFirstSuccessor(state);
    if (status === OwnerStatus.Suspected) {
      state.vacantSinceMs = null;
      return;
    }
    state.vacantSinceMs ??= this.context.now;
    if (this.isClaimDue(state, reading)) await this.claim(state);
  }

  /**
   * Prefetches the unit's data if this member ranks first and has not prefetched the data yet. Lower-ranked
   * members would only repeat the same store reads.
   */
  private prepareIfFirstSuccessor(state: UnitState<Prepared>): void {
    if (state.preparation !== null) return;
    if (this.context.ranking(state.unit)[0] !== this.context.self.member) return;
    state.preparation = this.context.handler.prepare(state.unit).catch(() => null);
  }

  private isClaimDue(state: UnitState<Prepared>, reading: ClaimableReading): boolean {
    const { membership, settings } = this.context.environment;
    if (!settings.claimOnFailure || !membership.hasMajority || state.vacantSinceMs === null) return false;
    const ranking = this.context.ranking(state.unit);
    const delayMs = claimDelayMs(reading, ranking, this.context.self.member, settings.claimStaggerMs);
    return this.context.now - state.vacantSinceMs >= delayMs;
  }

  /**
   * Reads the unit's records again and claims the unit if the reading still allows a claim, because an owner that
   * reaches the store has had time to write a heartbeat. If this read fails, the claim is based on the last reading.
   */
  private async claim(state: UnitState<Prepared>): Promise<void> {
    await this.read(state);
    const reading = claimableReading(state.reading);
    if (reading === null || !this.mayClaim(state, reading)) return;
    this.context.advance(state, { kind: 'claim-began' });
    const { generation } = this.context.gate;
    const result = await this.context.environment.claims.claim(state.unit, this.context.self, reading);
    state.readAtMs = -Infinity;
    if (result.kind !== 'won') {
      this.context.advance(state, { kind: 'claim-lost' });
      return;
    }
    this.context.gate.reopen(generation);
    await this.adopt(state, result.ownership);
  }

  private mayClaim({ stage }: UnitState<Prepared>, reading: ClaimableReading): boolean {
    const status = this.statusOf(reading);
    if (status === OwnerStatus.Gone) return true;
    if (status !== OwnerStatus.Failed || stage.kind !== 'suspecting') return false;
    const { settings } = this.context.environment;
    return hasMissedHeartbeats(
      stage,
      this.context.now,
      minObservationMs(settings),
      settings.heartbeatTimeoutMs,
    );
  }

  /**
   * Adopts a unit whose record already names this process, if the store confirms the ownership. This happens when an
   * earlier claim succeeded but its response was lost.
   */
  private async adoptEarlierClaim(state: UnitState<Prepared>, reading: OwnedReading): Promise<void> {
    const { generation } = this.context.gate;
    const { owner, epoch, revisions } = reading;
    const ownership: Ownership = { unit: state.unit, owner, epoch, epochRevision: revisions.epoch };
    const confirmation = await this.context.environment.claims.confirm(ownership);
    state.readAtMs = -Infinity;
    if (confirmation !== OwnershipConfirmation.Held) return;
    this.context.gate.reopen(generation);
    await this.adopt(state, ownership);
  }

  private async adopt(state: UnitState<Prepared>, ownership: Ownership): Promise<void> {
    const { environment, handler } = this.context;
    this.context.advance(state, { kind: 'claim-won', ownership });
    state.vacantSinceMs = null;
    state.readAtMs = this.context.now;
    const prepared = (await state.preparation) ?? null;
    state.preparation = null;
    try {
      await handler.adopt(ownership, prepared);
      this.context.advance(state, { kind: 'adopted' });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      environment.log.warn({ unit: state.unit, error: reason }, 'unit adoption failed; ownership released');
      this.context.endOwnership(state, reason);
      await environment.claims.release(ownership, this.context.successorFor(state.unit));
    }
  }
}
