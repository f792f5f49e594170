import { describe, expect, it } from 'vitest';
import { UNANSWERED_MESSAGE, UnansweredQueries } from '../../src/api/unanswered-queries.js';
import { silentLogger } from '../../src/log/logger.js';
import { VirtualClock } from '../simulation/clock.js';

/** Returns the log lines after 90 s of refused queries every 5 s; `at` is called before each. */
async function linesAfterRefusals(
  at: (queries: UnansweredQueries, second: number) => void = () => {},
  isStoreReachable: (second: number) => boolean = () => true,
): Promise<{ lines: unknown[]; overdue: number }> {
  const clock = new VirtualClock();
  const lines: unknown[] = [];
  const log = {
    ...silentLogger,
    error: (fields: object, message: string) => lines.push({ fields, message }),
  };
  const queries = new UnansweredQueries(clock, log);
  for (let second = 0; second <= 90; second += 5) {
    at(queries, second);
    queries.recordRefusal('j-000001', isStoreReachable(second));
    await clock.advance(5000);
  }
  return { lines, overdue: queries.takeOverdueCount() };
}

describe('UnansweredQueries', () => {
  it('logs one error and counts each refusal once a job has been refused for more than 75 s', async () => {
    const { lines, overdue } = await linesAfterRefusals();
    expect(lines).toEqual([
      {
        fields: { job: 'j-000001', unansweredMs: 80_000, refusedJobs: 1 },
        message: UNANSWERED_MESSAGE,
      },
    ]);
    expect(overdue).toBe(3);
  });

  it('begins anew after an answer and after a time in which the store was not reachable', async () => {
    const answered = await linesAfterRefusals((queries, second) => {
      if (second === 40) queries.recordAnswer('j-000001');
    });
    expect(answered).toEqual({ lines: [], overdue: 0 });
    const outage = await linesAfterRefusals(undefined, (second) => second !== 40);
    expect(outage).toEqual({ lines: [], overdue: 0 });
  });
});
