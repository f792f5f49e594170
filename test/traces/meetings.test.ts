import { describe, expect, it } from 'vitest';
import { Day } from '../simulation/day.js';
import { Site } from '../simulation/site.js';
import { type Trouble, TROUBLES } from '../simulation/faults.js';

/**
 * Every two troubles meet (docs/safety.md has the table). What is checked are the protocol's rules, by
 * the stand-ins alone, and that afterwards everything accepted is done, runs or is cancelled and gone.
 */
async function play(troubles: readonly Trouble[], seed: number): Promise<void> {
  const day = new Day(seed, new Site());
  await day.play(troubles);
  if (day.site.rules.broken.length > 0 && process.env['SHOW_DAY']) process.stderr.write(day.site.text);
  const names = troubles.map((t) => t.name).join('; ');
  expect(day.site.rules.broken, names).toEqual([]);
  expect(day.site.state.malformed).toEqual([]);
  expect(day.accepted).toBeGreaterThan(day.submitted / 2);
}

describe('a trouble alone', () => {
  it.each(TROUBLES.map((t) => [t.name, t] as const))('%s', async (_name, trouble) => {
    await play([trouble], 1);
  });
});

/** To look for more: `MEETING_SEEDS=10 npx vitest run test/traces/meetings.test.ts` plays that many other days of each. */
const MORE = Number(process.env['MEETING_SEEDS'] ?? 0);

describe('two troubles at once', () => {
  for (const [i, a] of TROUBLES.entries()) {
    it(`${a.name}, and each other trouble`, async () => {
      for (const [n, b] of TROUBLES.entries()) {
        // Which of the two comes first is drawn by the pair, so that both orders occur.
        if (n < i) await play((i + n) % 2 === 0 ? [a, b] : [b, a], 100 * i + n);
        if (n !== i) for (let more = 1; more <= MORE; more++) await play([a, b], 10_000 * more + 100 * i + n);
      }
    }, 600_000);
  }
});
