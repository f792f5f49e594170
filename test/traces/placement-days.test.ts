import { describe, expect, it } from 'vitest';
import { Day, PLACEMENT_DAY } from '../simulation/day.js';
import { MIXED } from '../simulation/site-setup.js';
import { Site } from '../simulation/site.js';
import { type Trouble, TROUBLES } from '../simulation/faults.js';

const [LEADERS_CHANGE] = TROUBLES;
/** To look for more: `PLACEMENT_SEEDS=10 npx vitest run test/traces/placement-days.test.ts`. */
const SEEDS = Number(process.env['PLACEMENT_SEEDS'] ?? 1);
const QUICK_BOOT_MS = 1200;
/** Above the time that three takeovers take: only reports and records tell of a new machine. */
const LIST_LAG_MS = 16_000;

/** Jobs of all placement kinds, new machines up within a second, leaders that change, and another trouble. */
async function play(trouble: Trouble, seed: number): Promise<void> {
  const day = new Day(seed, new Site(MIXED), PLACEMENT_DAY);
  day.site.cloud.bootMs = QUICK_BOOT_MS;
  day.site.cloud.listLagMs = LIST_LAG_MS;
  await day.play([trouble, LEADERS_CHANGE as Trouble]);
  if (day.site.rules.broken.length > 0 && process.env['SHOW_DAY']) process.stderr.write(day.site.text);
  expect(day.site.rules.broken, `${trouble.name}, seed ${seed}`).toEqual([]);
  expect(day.accepted).toBeGreaterThan(day.submitted / 2);
}

// Guards against issue 30: tasks where their placement rules forbid it, after changes of leader.
describe('jobs of all placement kinds while leaders change', () => {
  it.each(TROUBLES.map((trouble) => [trouble.name, trouble] as const))('and: %s', async (_name, trouble) => {
    for (let seed = 1; seed <= SEEDS; seed++) await play(trouble, seed);
  });
});
