/** Ranks the possible successors of an owner: members with the same view compute the same order. */
import { type MemberId, MemberState, type MemberView } from '@plumyoke/membership';
import type { UnitId } from './ownership.js';

/** Loads are compared in steps of this size: they change faster than the members' views converge. */
const LOAD_STEP = 0.25;

/** Returns an FNV-1a hash of unit and member: it spreads units evenly over members that are otherwise equal. */
function tieBreaker(unit: UnitId, member: MemberId): number {
  let hash = 0x811c9dc5;
  for (const character of `${unit} ${member}`) {
    hash ^= character.codePointAt(0) ?? 0;
    hash = Math.imul(hash, 0x01000193);
  }
  return hash >>> 0;
}

function isEligible({ state, ready, load }: MemberView): boolean {
  return state === MemberState.Alive && ready && load !== null;
}

/** Compares two candidates; negative: `first` is the better one. */
function compareCandidates(unit: UnitId, first: MemberView, second: MemberView): number {
  const loadStep = (view: MemberView): number => Math.floor((view.load ?? 1) / LOAD_STEP);
  return (
    second.reachedBy - first.reachedBy ||
    (first.localHealth ?? 0) - (second.localHealth ?? 0) ||
    loadStep(first) - loadStep(second) ||
    tieBreaker(unit, first.member) - tieBreaker(unit, second.member)
  );
}

/** Returns the members that could own the unit, the best first: well connected, healthy, lightly loaded. */
export function rankSuccessors(unit: UnitId, members: readonly MemberView[]): MemberId[] {
  return members
    .filter(isEligible)
    .sort((first, second) => compareCandidates(unit, first, second))
    .map(({ member }) => member);
}
