/** Steps that scenarios share. */
import { expect } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';

/** Returns a site with a leader and no jobs. */
export async function startedSite(): Promise<SimulatedSite> {
  const site = new SimulatedSite();
  site.startAll();
  await site.run(1);
  return site;
}

/** Runs the site until the condition holds; fails if it does not within `maxSeconds`. */
export async function runUntil(
  site: SimulatedSite,
  condition: () => boolean,
  maxSeconds = 120,
): Promise<void> {
  for (let seconds = 0; seconds < maxSeconds && !condition(); seconds += 0.25) await site.run(0.25);
  expect(condition()).toBe(true);
}
