/** Ranks the possible successors of an owner. Members with the same view of the membership compute the same order. */
import { type MemberId, MemberState, type MemberView } from '@plumyoke/membership';
import type { UnitId } from './ownership.js';

/**
 * The size of the buckets in which loads are compared, as a fraction of full load. Exact loads change faster than the
 * members' views converge, and would give the members different orders.
 */
const LOAD_STEP_RATIO = 0.25;

/** Returns an FNV-1a hash of unit and member, which spreads units evenly over members that are otherwise equal. */
function tieBreakHash(unit: UnitId, member: MemberId): number {
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

/** Compares two candidates. Returns a negative number if `left` is the better candidate. */
function compareCandidates(unit: UnitId, left: MemberView, right: MemberView): number {
  const loadStep = (view: MemberView): number => Math.floor((view.load ?? 1) / LOAD_STEP_RATIO);
  return (
    right.receiverCount - left.receiverCount ||
    (left.localHealth ?? 0) - (right.localHealth ?? 0) ||
    loadStep(left) - loadStep(right) ||
    tieBreakHash(unit, left.member) - tieBreakHash(unit, right.member)
  );
}

/**
 * Returns the members that are eligible to own the unit, best first: by reachability, local health, load, then a hash.
 */
export function rankSuccessors(unit: UnitId, members: readonly MemberView[]): MemberId[] {
  return members
    .filter(isEligible)
    .sort((left, right) => compareCandidates(unit, left, right))
    .map(({ member }) => member);
}
