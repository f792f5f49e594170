/** Messages for operators: each says what is wrong and what to do next. */
import type { DamagedReading, UnitId } from './ownership.js';

/** Returns the message for an ownership record that cannot be decoded, with the steps to repair the record. */
export function describeDamage(unit: UnitId, { key, problem }: DamagedReading): string {
  return (
    `No controller takes over ${unit}: its record ${key} ${problem}. ` +
    `Inspect the key in the state service. If no controller is serving ${unit}, delete the key; ` +
    `the next controller that polls the unit claims it within seconds. Do not change any key that ends in /epoch.`
  );
}

/**
 * Returns the message for an owner that another controller has replaced. `pausedMs` is null if the owner was not
 * paused since its last confirmation.
 */
export function describeReplacement(unit: UnitId, pausedMs: number | null): string {
  const cause =
    pausedMs === null ? '' : ` while this process stood still for ${(pausedMs / 1000).toFixed(1)} s`;
  return `another controller took over ${unit}${cause}; this one stopped before its next action and continues as a follower`;
}
