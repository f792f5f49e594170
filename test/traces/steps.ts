import { expect } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';

/** A site with a leader and nothing to do yet. */
export async function startedSite(): Promise<SimulatedSite> {
  const site = new SimulatedSite();
  site.startAll();
  await site.run(1);
  return site;
}

export async function runUntil(
  site: SimulatedSite,
  condition: () => boolean,
  maxSeconds = 120,
): Promise<void> {
  for (let s = 0; s < maxSeconds && !condition(); s += 0.25) await site.run(0.25);
  expect(condition()).toBe(true);
}
