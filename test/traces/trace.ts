/** Golden traces. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';

/** Checks the site's final state, and compares its trace with the golden one. ACCEPT_TRACES writes it instead. */
export async function expectTrace(name: string, site: SimulatedSite): Promise<void> {
  await site.finish();
  expect(site.rules.violations).toEqual([]);
  const path = new URL(`./${name}.txt`, import.meta.url);
  if (process.env['ACCEPT_TRACES']) writeFileSync(path, site.traceText);
  expect(existsSync(path), `no golden trace ${name}; run npm run traces:accept and read it`).toBe(true);
  expect(site.traceText).toBe(readFileSync(path, 'utf8'));
}
