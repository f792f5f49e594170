import { describe, expect, it } from 'vitest';
import { Scenario, PLACEMENT_PLAN } from '../simulation/scenario.js';
import { MIXED_SITE } from '../simulation/site-setup.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { type Fault, FAULTS } from '../simulation/faults.js';

const [LEADER_CHANGE] = FAULTS;
/**
 * The number of scenarios for each fault. A longer search sets the environment variable, as in
 * `PLACEMENT_SEEDS=10 npx vitest run test/traces/placement-scenarios.test.ts`.
 */
const SEED_COUNT = Number(process.env['PLACEMENT_SEEDS'] ?? 1);
/** The boot time of new machines. */
const BOOT_MS = 1200;
/**
 * The age from which a new machine appears in the cloud’s list. The lag exceeds the duration of three takeovers, so
 * that a successor learns of a machine below this age only from heartbeats and records.
 */
const LIST_LAG_MS = 16_000;

/**
 * Runs a scenario with jobs of all placement constraints, machines that boot in 1.2 s, changes of leader and
 * another fault.
 */
async function runScenario(fault: Fault, seed: number): Promise<void> {
  const scenario = new Scenario(seed, new SimulatedSite(MIXED_SITE), PLACEMENT_PLAN);
  scenario.site.cloud.bootMs = BOOT_MS;
  scenario.site.cloud.listLagMs = LIST_LAG_MS;
  await scenario.run([fault, LEADER_CHANGE as Fault]);
  if (scenario.site.rules.violations.length > 0 && process.env['SHOW_DAY'])
    process.stderr.write(scenario.site.traceText);
  expect(scenario.site.rules.violations, `${fault.name}, seed ${seed}`).toEqual([]);
  expect(scenario.acceptedCount).toBeGreaterThan(scenario.submittedCount / 2);
}

// Guards against issue 30: after a change of leader, tasks were started on machines that their constraints forbid.
describe('jobs of all placement constraints while leaders change', () => {
  it.each(FAULTS.map((fault) => [fault.name, fault] as const))('and: %s', async (_name, fault) => {
    for (let seed = 1; seed <= SEED_COUNT; seed++) await runScenario(fault, seed);
  });
});
