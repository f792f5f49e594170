import { describe, expect, it } from 'vitest';
import { Scenario } from '../simulation/scenario.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { type Fault, FAULTS } from '../simulation/faults.js';

/**
 * Every two troubles meet (docs/safety.md has the table). What is checked are the protocol's rules, by
 * the stand-ins alone, and that afterwards everything accepted is done, runs or is cancelled and gone.
 */
async function play(troubles: readonly Fault[], seed: number): Promise<void> {
  const day = new Scenario(seed, new SimulatedSite());
  await day.run(troubles);
  if (day.site.rules.violations.length > 0 && process.env['SHOW_DAY'])
    process.stderr.write(day.site.traceText);
  const names = troubles.map((t) => t.name).join('; ');
  expect(day.site.rules.violations, names).toEqual([]);
  expect(day.site.store.rejectedTransactions).toEqual([]);
  expect(day.acceptedCount).toBeGreaterThan(day.submittedCount / 2);
}

describe('a trouble alone', () => {
  it.each(FAULTS.map((t) => [t.name, t] as const))('%s', async (_name, trouble) => {
    await play([trouble], 1);
  });
});

/** To look for more: `MEETING_SEEDS=10 npx vitest run test/traces/meetings.test.ts` plays that many other days of each. */
const MORE = Number(process.env['MEETING_SEEDS'] ?? 0);

describe('two troubles at once', () => {
  for (const [i, a] of FAULTS.entries()) {
    it(`${a.name}, and each other trouble`, async () => {
      for (const [n, b] of FAULTS.entries()) {
        // Which of the two comes first is drawn by the pair, so that both orders occur.
        if (n < i) await play((i + n) % 2 === 0 ? [a, b] : [b, a], 100 * i + n);
        if (n !== i) for (let more = 1; more <= MORE; more++) await play([a, b], 10_000 * more + 100 * i + n);
      }
    }, 600_000);
  }
});
