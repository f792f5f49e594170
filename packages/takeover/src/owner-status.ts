/** The status of a unit's owner, and the rules for replacing it. Pure functions. */
import { type MemberId, MemberState, type MemberView } from '@plumyoke/membership';
import type { ClaimableReading, Owned, OwnershipReading } from './ownership.js';
import type { Suspecting } from './stage.js';

/** The status of a unit's owner. */
export enum OwnerStatus {
  /** The owner is alive, as far as is known. */
  Present = 'present',
  Suspected = 'suspected',
  /** A majority found the owner silent; it may still be running. */
  Failed = 'failed',
  /** The owner has left, was restarted, was never seen, or there is none. */
  Gone = 'gone',
}

/** Returns the reading if a claim can be based on it; null if there is none or the record is damaged. */
export function claimableReading(reading: OwnershipReading | null): ClaimableReading | null {
  return reading === null || reading.kind === 'damaged' ? null : reading;
}

function memberStatus(
  { owner }: Owned,
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

/** Returns the status of a unit's owner. `unknownOwnerTimeoutMs`: after this, an owner that was never seen is gone. */
export function ownerStatus(
  reading: ClaimableReading,
  members: readonly MemberView[],
  unknownOwnerTimeoutMs: number,
): OwnerStatus {
  if (reading.kind !== 'owned') return OwnerStatus.Gone;
  const view = members.find(({ member }) => member === reading.owner.member);
  return memberStatus(reading, view, unknownOwnerTimeoutMs);
}

/** Returns how long a member waits after the unit became vacant before it claims, by its rank among the successors. */
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

/** Returns whether the owner had time to write a heartbeat to the store, and has not done so. */
export function hasMissedHeartbeats(
  stage: Suspecting,
  nowMs: number,
  minObservedMs: number,
  heartbeatTimeoutMs: number,
): boolean {
  if (nowMs - stage.sinceMs < minObservedMs) return false;
  return stage.lastHeartbeatMs === null || nowMs - stage.lastHeartbeatMs >= heartbeatTimeoutMs;
}
