/** Messages for operators: what is wrong, and what to do next. */
import type { Damaged, UnitId } from './ownership.js';

/** Describes a damaged record. */
export function describeDamage(unit: UnitId, { key, problem }: Damaged): string {
  return (
    `Nobody takes over ${unit}: its record ${key} ${problem}. ` +
    `Look at the key in the state service. If no controller is serving ${unit}, delete the key; ` +
    `the next controller to look claims the unit within seconds. Leave every key that ends in /epoch as it is.`
  );
}

/** Describes the replacement of this owner. `pausedMs`: how long it was paused; null: it was not. */
export function describeReplaced(unit: UnitId, pausedMs: number | null): string {
  const cause =
    pausedMs === null ? '' : ` while this process stood still for ${(pausedMs / 1000).toFixed(1)} s`;
  return `another controller took over ${unit}${cause}; this one stopped before its next action and goes on as a follower`;
}
