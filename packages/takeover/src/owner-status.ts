/** Pure functions that derive the status of a unit's owner and decide when another member may claim the unit. */
import { type MemberId, MemberState, type MemberView } from '@plumyoke/membership';
import type { ClaimableReading, OwnedReading, OwnershipReading } from './ownership.js';
import type { Suspecting } from './stage.js';

/** The status of a unit's owner, derived from the unit's records and this member's view of the membership. */
export enum OwnerStatus {
  /**
   * The owner is alive as the same process in this member's view, or its member has been in state unknown for less than
   * `unknownOwnerTimeoutMs`.
   */
  Present = 'present',
  /** The owner's member is suspect in this member's view, as the same or another process. */
  Suspected = 'suspected',
  /** A majority of the members has lost contact with the owner, which may still be running. */
  Failed = 'failed',
  /**
   * The owner's member has left, is alive or failed as another process, is not configured, or has been in state unknown
   * for `unknownOwnerTimeoutMs` or longer; or the unit has no owner.
   */
  Gone = 'gone',
}

/** Returns the reading if a claim can be based on the reading; null if there is no reading or the record is damaged. */
export function claimableReading(reading: OwnershipReading | null): ClaimableReading | null {
  return reading === null || reading.kind === 'damaged' ? null : reading;
}

function memberStatus(
  { owner }: OwnedReading,
  view: MemberView | undefined,
  unknownOwnerTimeoutMs: number,
): OwnerStatus {
  if (view === undefined) return OwnerStatus.Gone;
  const hasRestarted = view.identity !== null && view.identity.process !== owner.process;
  switch (view.state) {
    case MemberState.Left:
      return OwnerStatus.Gone;
    case MemberState.Failed:
      return hasRestarted ? OwnerStatus.Gone : OwnerStatus.Failed;
    case MemberState.Suspect:
      return OwnerStatus.Suspected;
    case MemberState.Unknown:
      return view.forMs >= unknownOwnerTimeoutMs ? OwnerStatus.Gone : OwnerStatus.Present;
    case MemberState.Alive:
      return hasRestarted ? OwnerStatus.Gone : OwnerStatus.Present;
  }
}

/** Returns the status of a unit's owner. An owner in state unknown for `unknownOwnerTimeoutMs` counts as gone. */
export function ownerStatus(
  reading: ClaimableReading,
  members: readonly MemberView[],
  unknownOwnerTimeoutMs: number,
): OwnerStatus {
  if (reading.kind !== 'owned') return OwnerStatus.Gone;
  const view = members.find(({ member }) => member === reading.owner.member);
  return memberStatus(reading, view, unknownOwnerTimeoutMs);
}

/**
 * Returns how long member `self` waits after the unit became vacant before claiming the unit: `claimStaggerMs` for each
 * better-ranked successor, 0 if the last owner named `self` as successor, Infinity if `self` is not ranked.
 */
export function claimDelayMs(
  reading: ClaimableReading,
  ranking: readonly MemberId[],
  self: MemberId,
  claimStaggerMs: number,
): number {
  if (reading.kind === 'released' && reading.successor === self) return 0;
  const rank = ranking.indexOf(self);
  return rank < 0 ? Infinity : rank * claimStaggerMs;
}

/**
 * Returns whether the suspected owner was observed for at least `minObservedMs` and none of its heartbeats in the store
 * was observed within the last `heartbeatTimeoutMs`.
 */
export function hasMissedHeartbeats(
  stage: Suspecting,
  nowMs: number,
  minObservedMs: number,
  heartbeatTimeoutMs: number,
): boolean {
  if (nowMs - stage.sinceMs < minObservedMs) return false;
  return stage.lastHeartbeatMs === null || nowMs - stage.lastHeartbeatMs >= heartbeatTimeoutMs;
}
