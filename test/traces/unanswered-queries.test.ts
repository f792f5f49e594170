import { describe, expect, it } from 'vitest';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { keys } from '../../src/store/keys.js';
import { jobIdOf, PolledSite } from '../simulation/polled-site.js';
import type { SiteSize } from '../simulation/site-setup.js';

/** One open job for each of 4,000 machines; the reads of single records allowed to users are 3,750 in 75 s. */
const OPEN_JOB_COUNT = 4000;
/** A job about which no question is answered for this time after troubles is forgotten (the users' statement). */
const FORGOTTEN_AFTER_S = 75;
const OBSERVED_S = 100;
const TEST_TIMEOUT_MS = 180_000;
const SITE: SiteSize = { teamCpuLimits: { red: 400, blue: 400 }, heartbeatIntervalS: 6, nodes: 3 };

/** Returns a site whose users poll, and whose controllers have seen all jobs being accepted. */
async function polledSite(): Promise<PolledSite> {
  const site = new PolledSite(SITE);
  site.startAll();
  await site.run(1);
  await site.acceptServices(OPEN_JOB_COUNT);
  site.enforceStoreRates();
  for (const user of site.users) user.start();
  await site.run(10);
  return site;
}

async function restartAll(site: PolledSite): Promise<void> {
  for (const node of site.nodes) site.crash(node);
  await site.run(6);
  site.startAll();
}

/** Expects that from now on each job by itself is answered for at least once in `FORGOTTEN_AFTER_S`. */
async function expectEveryJobAnswered(site: PolledSite): Promise<void> {
  site.takeRefusals();
  for (const user of site.users) user.resetGap();
  await site.run(OBSERVED_S);
  const gapsS = site.users.map((user) => user.longestGapS).sort((first, second) => second - first);
  const forgottenCount = gapsS.filter((gapS) => gapS > FORGOTTEN_AFTER_S).length;
  const summary = `longest ${gapsS[0]} s; refusals ${JSON.stringify(site.takeRefusals())}`;
  expect(forgottenCount, summary).toBe(0);
  expect(site.overdueJobs).toEqual([]);
}

describe('no accepted job of a large site stays unanswered for 75 s', () => {
  it(
    'after all controllers ended and came back',
    async () => {
      const site = await polledSite();
      await restartAll(site);
      await expectEveryJobAnswered(site);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'after all controllers came back during an outage of the store',
    async () => {
      const site = await polledSite();
      site.store.isUnavailable = true;
      await site.run(5);
      await restartAll(site);
      await site.run(15);
      site.store.isUnavailable = false;
      await expectEveryJobAnswered(site);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'while memory is scarce in every controller',
    async () => {
      const site = await polledSite();
      site.heapRatio = 0.95;
      await expectEveryJobAnswered(site);
    },
    TEST_TIMEOUT_MS,
  );
});

describe('the run-time check of unanswered queries', () => {
  it('logs a job about which a reachable store lets no query be answered for 75 s', async () => {
    const site = new PolledSite(SITE);
    site.startAll();
    await site.run(1);
    await site.acceptServices(10);
    for (const user of site.users) user.start();
    await site.run(10);
    site.store.rateLimits = {
      requests: new TokenBucket(site.clock, 0, 0),
      writes: new TokenBucket(site.clock, 0, 0),
    };
    await site.run(FORGOTTEN_AFTER_S);
    expect(site.overdueJobs).toEqual([]);
    await site.run(30);
    expect(site.overdueJobs).not.toEqual([]);
    expect(site.users.map(({ id }) => id)).toEqual(expect.arrayContaining(site.overdueJobs));
  });
});

describe('a query for a job whose record is unreadable', () => {
  it('gets 503, and queries for other jobs are answered', async () => {
    const site = new PolledSite(SITE);
    site.startAll();
    await site.run(1);
    await site.acceptServices(2);
    const damaged = jobIdOf(2);
    const client = site.store.clientFor('damaging', site.clock);
    void client.txn([], [{ set: keys.job(damaged), value: 'damaged' }]);
    await site.run(1);
    const user = site.addUser(damaged);
    for (const each of site.users) each.start();
    await site.run(20);
    expect(site.users[0]?.statusCounts.get(200)).toBeGreaterThan(2);
    expect([...user.statusCounts.keys()]).toEqual([503]);
  });
});
