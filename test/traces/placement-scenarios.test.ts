import { describe, expect, it } from 'vitest';
import { Scenario, PLACEMENT_PLAN } from '../simulation/scenario.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { type Fault, FAULTS } from '../simulation/faults.js';

const [LEADER_CHANGE] = FAULTS;
/** To look for more: `PLACEMENT_SEEDS=10 npx vitest run test/traces/placement-scenarios.test.ts`. */
const SEEDS = Number(process.env['PLACEMENT_SEEDS'] ?? 1);
const QUICK_BOOT_MS = 1200;
/** Above the time that three takeovers take: only reports and records tell of a new machine. */
const LIST_LAG_MS = 16_000;

/** Jobs of all placement kinds, new machines up within a second, leaders that change, and another fault. */
async function runScenario(fault: Fault, seed: number): Promise<void> {
  const scenario = new Scenario(seed, new SimulatedSite(MIXED_SITE), PLACEMENT_PLAN);
  scenario.site.cloud.bootMs = QUICK_BOOT_MS;
  scenario.site.cloud.listLagMs = LIST_LAG_MS;
  await scenario.run([fault, LEADER_CHANGE as Fault]);
  if (scenario.site.rules.violations.length > 0 && process.env['SHOW_DAY'])
    process.stderr.write(scenario.site.traceText);
  expect(scenario.site.rules.violations, `${fault.name}, seed ${seed}`).toEqual([]);
  expect(scenario.acceptedCount).toBeGreaterThan(scenario.submittedCount / 2);
}

// Guards against issue 30: tasks where their placement rules forbid it, after changes of leader.
describe('jobs of all placement kinds while leaders change', () => {
  it.each(FAULTS.map((fault) => [fault.name, fault] as const))('and: %s', async (_name, fault) => {
    for (let seed = 1; seed <= SEEDS; seed++) await runScenario(fault, seed);
  });
});
