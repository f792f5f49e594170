/** What a member makes of a unit that it does not own. Pure. */
import { type MemberId, MemberState, type MemberView } from '@plumyoke/membership';
import type { Owned, OwnershipReading, Released, Unowned } from './ownership.js';
import type { Suspecting } from './stage.js';

/** How the owner of a unit stands. */
export enum OwnerStanding {
  /** It is there, as far as is known. */
  Present = 'present',
  Suspected = 'suspected',
  /** A majority found it silent; it may still be there. */
  Failed = 'failed',
  /** It has said goodbye, was started again and has forgotten, never came, or there is none. */
  Gone = 'gone',
}

/** A reading that can be acted upon. */
export type UsableReading = Unowned | Owned | Released;

/** A reading that can be acted upon; null: none, or a damaged record. */
export function usable(reading: OwnershipReading | null): UsableReading | null {
  return reading === null || reading.kind === 'damaged' ? null : reading;
}

function ownerStanding(
  { owner }: Owned,
  view: MemberView | undefined,
  unknownOwnerMs: number,
): OwnerStanding {
  if (view === undefined) return OwnerStanding.Gone;
  const restarted = view.identity !== null && view.identity.process !== owner.process;
  switch (view.state) {
    case MemberState.Left:
      return OwnerStanding.Gone;
    case MemberState.Failed:
      return restarted ? OwnerStanding.Gone : OwnerStanding.Failed;
    case MemberState.Suspect:
      return OwnerStanding.Suspected;
    case MemberState.Unknown:
      return view.forMs >= unknownOwnerMs ? OwnerStanding.Gone : OwnerStanding.Present;
    case MemberState.Alive:
      return restarted ? OwnerStanding.Gone : OwnerStanding.Present;
  }
}

/** `unknownOwnerMs`: an owner of which nothing was heard for so long since we began is gone. */
export function standingOf(
  reading: UsableReading,
  members: readonly MemberView[],
  unknownOwnerMs: number,
): OwnerStanding {
  if (reading.kind !== 'owned') return OwnerStanding.Gone;
  const view = members.find(({ member }) => member === reading.owner.member);
  return ownerStanding(reading, view, unknownOwnerMs);
}

/** For how long a member holds back after the unit became vacant, by its place among the successors. */
export function claimDelayMs(
  reading: UsableReading,
  ranking: readonly MemberId[],
  self: MemberId,
  staggerMs: number,
): number {
  if (reading.kind === 'released' && reading.heir === self) return 0;
  const rank = ranking.indexOf(self);
  return rank < 0 ? Infinity : rank * staggerMs;
}

/** Whether the owner was given time to show its life through the store, and has not done so. */
export function noSignOfLife(
  stage: Suspecting,
  nowMs: number,
  observeMs: number,
  signValidMs: number,
): boolean {
  if (nowMs - stage.sinceMs < observeMs) return false;
  return stage.lastSignMs === null || nowMs - stage.lastSignMs >= signValidMs;
}
