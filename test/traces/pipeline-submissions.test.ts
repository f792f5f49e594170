import { describe, expect, it } from 'vitest';
import type { JobId } from '../../src/model/ids.js';
import { keys } from '../../src/store/keys.js';
import { jobIdOf, PolledSite } from '../simulation/polled-site.js';
import type { SiteSize } from '../simulation/site-setup.js';

/** How long a user repeats a submission, and waits for each answer (PROTOCOL). */
const MAX_REPEAT_S = 60;
const MAX_ANSWER_S = 5;
const TEST_TIMEOUT_MS = 180_000;
const SITE: SiteSize = { teamCpuLimits: { red: 400, blue: 400 }, heartbeatIntervalS: 6, nodes: 3 };
/** The share of the store's 200 requests a second that reads for users may take, all controllers together. */
const READ_REQUESTS_PER_S = 50;
/** What a leader and two followers send without any user: lease renewals, writes of the fleet and forecasts. */
const IDLE_REQUESTS_PER_S = 20;

/** Returns a site that has just been restarted, and on which the given jobs were done before. */
async function siteWithDoneJobs(ids: readonly JobId[]): Promise<PolledSite> {
  const site = new PolledSite(SITE);
  site.startAll();
  await site.run(1);
  await site.acceptDirectly(ids.map((ref) => ({ ref, runS: 2 })));
  const client = site.store.clientFor('ending', site.clock);
  for (const id of ids) {
    const record = site.store.value(keys.job(id)) as { s: string };
    void client.txn([], [{ set: keys.job(id), value: { ...record, s: 'd' } }, { drop: keys.openHead(id) }]);
  }
  await site.run(1);
  for (const node of site.nodes) site.crash(node);
  site.startAll();
  await site.run(5);
  site.enforceStoreRates();
  return site;
}

/** Repeats a submission as a user does; returns the seconds until it was accepted, or null. */
async function submitUntilAccepted(
  site: PolledSite,
  ref: JobId,
  awaits: readonly JobId[],
): Promise<number | null> {
  const startedAt = site.clock.now();
  const secondsPassed = (): number => (site.clock.now() - startedAt) / 1000;
  while (secondsPassed() < MAX_REPEAT_S) {
    const attemptAt = secondsPassed();
    const status = await site.submit({ ref, awaits: [...awaits] }, site.nodes[0]);
    expect(secondsPassed() - attemptAt).toBeLessThan(MAX_ANSWER_S);
    if (status === 201 || status === 200) return secondsPassed();
    expect(status).toBe(503);
    await site.run(1);
  }
  return null;
}

describe(
  'a submission that names jobs which have ended and are cached nowhere',
  { timeout: TEST_TIMEOUT_MS },
  () => {
    // Guards against a body that makes a controller read thousands of records at once, which the leader's lease pays for.
    it.each([
      ['1,500 jobs with ids in a row', 1500, 1],
      ['60 jobs with ids far apart', 60, 700],
    ])(
      'is accepted within the time for which users repeat it, at the rate of reads for users: %s',
      async (_name, count, step) => {
        const ids = Array.from({ length: count }, (_, n) => jobIdOf(1 + n * step));
        const between =
          step > 1
            ? Array.from({ length: 6000 }, (_, n) => jobIdOf(2 + n * 7)).filter((id) => !ids.includes(id))
            : [];
        const site = await siteWithDoneJobs([...ids, ...between]);
        const { leader } = site;
        const before = site.store.requestCount;
        const acceptedAfterS = await submitUntilAccepted(site, jobIdOf(900_000), ids);
        expect(acceptedAfterS).not.toBe(null);
        const requests = site.store.requestCount - before;
        const seconds = Math.max(1, acceptedAfterS ?? 0);
        expect(requests).toBeLessThanOrEqual((READ_REQUESTS_PER_S + IDLE_REQUESTS_PER_S) * seconds);
        expect(site.leader).toBe(leader);
      },
    );
  },
);

describe('a submission with which the open jobs would have too many dependencies', () => {
  // Guards against one user who fills the heap of every controller: 736,000 dependencies ended all of them.
  it('is refused by itself until others have ended; jobs that wait for few, and repeated submissions, are accepted', async () => {
    const site = new PolledSite(SITE);
    site.maxDependencyCount = 100;
    site.startAll();
    await site.run(1);
    const first = Array.from({ length: 10 }, (_, n) => jobIdOf(1 + n));
    await site.acceptDirectly(first.map((ref) => ({ ref, runS: 2000 })));
    await site.run(1);
    const accepted: JobId[] = [];
    const submit = async (n: number, awaits: readonly JobId[]): Promise<number> => {
      const status = await site.submit({ ref: jobIdOf(n), awaits: [...awaits] });
      // The watch delivers the accepted job.
      await site.run(0.1);
      return status;
    };
    for (let n = 100; (await submit(n, first)) === 201; n++) accepted.push(jobIdOf(n));
    expect(accepted).toHaveLength(10);
    expect(await submit(100, first)).toBe(200);
    expect(await submit(200, [])).toBe(201);
    expect(site.takeRefusals()['dependency-limit']).toBe(1);
    expect(await site.cancel(accepted[0] as JobId)).toBe('cancelled');
    await site.run(2);
    expect(await submit(300, first)).toBe(201);
    expect(site.rules.violations).toEqual([]);
  });
});
