/** Who should take a unit over: every member comes to the same order from the same view. */
import { type MemberId, MemberState, type MemberView } from '@plumyoke/membership';
import type { UnitId } from './ownership.js';

/** Loads within one step of each other count as equal: they change faster than views agree. */
const LOAD_STEP = 0.25;

/** A number that depends on unit and member alone, spread evenly (FNV-1a): units without other reasons are spread. */
function spread(unit: UnitId, member: MemberId): number {
  let hash = 0x811c9dc5;
  for (const character of `${unit} ${member}`) {
    hash ^= character.codePointAt(0) ?? 0;
    hash = Math.imul(hash, 0x01000193);
  }
  return hash >>> 0;
}

function ableToOwn({ state, ready, load }: MemberView): boolean {
  return state === MemberState.Alive && ready && load !== null;
}

/** Negative: `a` comes first. */
function compare(unit: UnitId, a: MemberView, b: MemberView): number {
  const loadStep = (view: MemberView): number => Math.floor((view.load ?? 1) / LOAD_STEP);
  return (
    b.reachedBy - a.reachedBy ||
    (a.localHealth ?? 0) - (b.localHealth ?? 0) ||
    loadStep(a) - loadStep(b) ||
    spread(unit, a.member) - spread(unit, b.member)
  );
}

/** Members that could own the unit, the best first: well connected, prompt, with time to spare. */
export function rankSuccessors(unit: UnitId, members: readonly MemberView[]): MemberId[] {
  return members
    .filter(ableToOwn)
    .sort((a, b) => compare(unit, a, b))
    .map(({ member }) => member);
}
