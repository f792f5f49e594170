/** Steps that are shared by the tests of simulated sites. */
import { expect } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';

/** Starts a small site and runs it for 1 s; the returned site has a leader and no jobs. */
export async function startedSite(): Promise<SimulatedSite> {
  const site = new SimulatedSite();
  site.startAll();
  await site.run(1);
  return site;
}

/** Runs the site until the condition holds; fails the test if the condition does not hold within `maxSeconds`. */
export async function runUntil(
  site: SimulatedSite,
  condition: () => boolean,
  maxSeconds = 120,
): Promise<void> {
  for (let seconds = 0; seconds < maxSeconds && !condition(); seconds += 0.25) await site.run(0.25);
  expect(condition()).toBe(true);
}
