/** Comparison of site traces with golden files. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';

/**
 * Checks the site's final state and compares the site's trace with the golden file `<name>.txt`. If the environment
 * variable ACCEPT_TRACES is set, the function first writes the trace to the golden file.
 */
export async function expectTrace(name: string, site: SimulatedSite): Promise<void> {
  await site.finish();
  expect(site.rules.violations).toEqual([]);
  const path = new URL(`./${name}.txt`, import.meta.url);
  if (process.env['ACCEPT_TRACES']) writeFileSync(path, site.traceText);
  expect(
    existsSync(path),
    `golden trace ${name}.txt does not exist; run \`npm run traces:accept\` and review the new file`,
  ).toBe(true);
  expect(site.traceText).toBe(readFileSync(path, 'utf8'));
}
