import { describe, expect, it } from 'vitest';
import { Scenario } from '../simulation/scenario.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { FAILING_MACHINES, type Fault, FAULTS } from '../simulation/faults.js';

const ALL_FAULTS: readonly Fault[] = [...FAULTS, FAILING_MACHINES];

/**
 * Runs a scenario with the given faults (docs/safety.md has the table of all combinations of two). The rule checker
 * verifies the protocol's rules from what the fakes and users observe. The scenario verifies that at the end every
 * accepted array is done, every accepted service runs all of its replicas, and no cancelled job has running tasks.
 */
async function runScenario(faults: readonly Fault[], seed: number): Promise<void> {
  const scenario = new Scenario(seed, new SimulatedSite());
  await scenario.run(faults);
  if (scenario.site.rules.violations.length > 0 && process.env['SHOW_DAY'])
    process.stderr.write(scenario.site.traceText);
  const names = faults.map((fault) => fault.name).join('; ');
  expect(scenario.site.rules.violations, names).toEqual([]);
  expect(scenario.site.store.rejectedTransactions).toEqual([]);
  expect(scenario.acceptedCount).toBeGreaterThan(scenario.submittedCount / 2);
}

describe('a single fault', () => {
  it.each(ALL_FAULTS.map((fault) => [fault.name, fault] as const))('%s', async (_name, fault) => {
    await runScenario([fault], 1);
  });
});

/**
 * The number of additional scenarios for each ordered pair of faults. A longer search sets the environment
 * variable, as in `MEETING_SEEDS=10 npx vitest run test/traces/fault-combinations.test.ts`.
 */
const EXTRA_SCENARIO_COUNT = Number(process.env['MEETING_SEEDS'] ?? 0);

describe('two faults at once', () => {
  for (const [firstIndex, first] of ALL_FAULTS.entries()) {
    // Each pair runs once, in the test of the fault with the higher index; extra scenarios run in the tests of both.
    it(`${first.name}, with every preceding fault, or with every other fault in extra scenarios`, async () => {
      for (const [secondIndex, second] of ALL_FAULTS.entries()) {
        // The parity of the sum of both indexes selects the fault that comes first, so that both orders occur.
        if (secondIndex < firstIndex)
          await runScenario(
            (firstIndex + secondIndex) % 2 === 0 ? [first, second] : [second, first],
            100 * firstIndex + secondIndex,
          );
        if (secondIndex !== firstIndex)
          for (let extraScenario = 1; extraScenario <= EXTRA_SCENARIO_COUNT; extraScenario++)
            await runScenario([first, second], 10_000 * extraScenario + 100 * firstIndex + secondIndex);
      }
    }, 600_000);
  }
});
