import { expect } from 'vitest';
import { Site } from '../simulation/site.js';

/** A site with a leader and nothing to do yet. */
export async function begun(): Promise<Site> {
  const site = new Site();
  site.startAll();
  await site.run(1);
  return site;
}

export async function until(site: Site, what: () => boolean, most = 120): Promise<void> {
  for (let s = 0; s < most && !what(); s += 0.25) await site.run(0.25);
  expect(what()).toBe(true);
}
