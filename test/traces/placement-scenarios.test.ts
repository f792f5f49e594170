import { describe, expect, it } from 'vitest';
import { Scenario, PLACEMENT_PLAN } from '../simulation/scenario.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { type Fault, FAULTS } from '../simulation/faults.js';

const [LEADERS_CHANGE] = FAULTS;
/** To look for more: `PLACEMENT_SEEDS=10 npx vitest run test/traces/placement-days.test.ts`. */
const SEEDS = Number(process.env['PLACEMENT_SEEDS'] ?? 1);
const QUICK_BOOT_MS = 1200;
/** Above the time that three takeovers take: only reports and records tell of a new machine. */
const LIST_LAG_MS = 16_000;

/** Jobs of all placement kinds, new machines up within a second, leaders that change, and another trouble. */
async function play(trouble: Fault, seed: number): Promise<void> {
  const day = new Scenario(seed, new SimulatedSite(MIXED_SITE), PLACEMENT_PLAN);
  day.site.cloud.bootMs = QUICK_BOOT_MS;
  day.site.cloud.listLagMs = LIST_LAG_MS;
  await day.run([trouble, LEADERS_CHANGE as Fault]);
  if (day.site.rules.violations.length > 0 && process.env['SHOW_DAY'])
    process.stderr.write(day.site.traceText);
  expect(day.site.rules.violations, `${trouble.name}, seed ${seed}`).toEqual([]);
  expect(day.acceptedCount).toBeGreaterThan(day.submittedCount / 2);
}

// Guards against issue 30: tasks where their placement rules forbid it, after changes of leader.
describe('jobs of all placement kinds while leaders change', () => {
  it.each(FAULTS.map((trouble) => [trouble.name, trouble] as const))('and: %s', async (_name, trouble) => {
    for (let seed = 1; seed <= SEEDS; seed++) await play(trouble, seed);
  });
});
