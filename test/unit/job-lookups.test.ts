import { describe, expect, it } from 'vitest';
import { DependencyIndex } from '../../src/api/dependency-index.js';
import { JobCache } from '../../src/api/job-cache.js';
import { JobLookups, LookupDelayedError } from '../../src/api/job-lookups.js';
import { JobReader } from '../../src/api/job-reader.js';
import { UserBudgets } from '../../src/api/user-budgets.js';
import type { ControllerContext } from '../../src/core/context.js';
import type { JobId } from '../../src/model/ids.js';
import type { WallTime } from '../../src/model/time.js';
import { encodeJob } from '../../src/store/job-record.js';
import { keys } from '../../src/store/keys.js';
import { StoreLimits } from '../../src/store/store-limits.js';
import { silentLogger } from '../../src/log/logger.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';
import { siteSettings, SMALL_SITE } from '../simulation/site-setup.js';
import { submission } from '../simulation/submission.js';

const jobId = (n: number): JobId => `j-${String(n).padStart(6, '0')}` as JobId;

/** Lookups on a store of 200 requests a second, of which this only controller may use 50 to read jobs. */
function createLookups() {
  const clock = new VirtualClock();
  const fakeStore = new FakeKeyValueStore(clock);
  const store = fakeStore.clientFor('node-0', clock);
  const settings = siteSettings('node-0', SMALL_SITE);
  const context = {
    clock,
    store,
    settings,
    storeLimits: new StoreLimits(settings, clock),
    log: silentLogger,
    random: () => 0,
    cancellations: { learn: () => {} },
  } as unknown as ControllerContext;
  const cache = new JobCache(clock, 1);
  const budgets = new UserBudgets(context, () => 1);
  const reader = new JobReader(context, cache, new DependencyIndex(() => undefined), () => null);
  const lookups = new JobLookups(context, cache, reader, budgets);
  const accept = (id: JobId): void => {
    const value = encodeJob({ spec: submission({ ref: id }), state: 'accepted', acceptedAt: 0 as WallTime });
    void store.txn([], [{ set: keys.job(id), value }]);
  };
  return { clock, fakeStore, store, cache, lookups, accept };
}

/** Finds a job; the result's kind, or the error's code, is added to `results` under the job's id. */
function find(lookups: JobLookups, id: JobId, results: Map<JobId, string>): void {
  lookups.find(id).then(
    ({ kind }) => results.set(id, kind),
    (error: LookupDelayedError) => results.set(id, error.code),
  );
}

describe('JobLookups', () => {
  it('shares one read among requests for the same job, and tells an unknown job', async () => {
    const { clock, fakeStore, lookups, accept } = createLookups();
    accept(jobId(1));
    await clock.advance(10);
    const requestsBefore = fakeStore.requestCount;
    const kinds: string[] = [];
    for (let i = 0; i < 5; i++) void lookups.find(jobId(1)).then(({ kind }) => kinds.push(kind));
    await clock.advance(100);
    expect(kinds).toEqual(['read', 'read', 'read', 'read', 'read']);
    expect(fakeStore.requestCount - requestsBefore).toBe(1);
    const results = new Map<JobId, string>();
    find(lookups, jobId(2), results);
    await clock.advance(100);
    expect(results.get(jobId(2))).toBe('absent');
  });

  it('does not answer "no such job" from a read that was sent before the job was accepted and asked for', async () => {
    const { clock, lookups, accept } = createLookups();
    const results: string[] = [];
    void lookups.find(jobId(1)).then(({ kind }) => results.push(kind));
    await clock.advance(1);
    accept(jobId(1));
    await clock.advance(3);
    // The first read is under way; the user who got the acceptance meanwhile must not get its result.
    void lookups.find(jobId(1)).then(({ kind }) => results.push(kind));
    await clock.advance(100);
    expect(results).toEqual(['absent', 'read']);
  });

  it('reads jobs in the order in which they were asked for, those whose users gave up included', async () => {
    const { clock, cache, lookups, accept } = createLookups();
    const count = 500;
    for (let n = 0; n < count; n++) accept(jobId(n));
    await clock.advance(100);
    const results = new Map<JobId, string>();
    for (let n = 0; n < count; n++) find(lookups, jobId(n), results);
    await clock.advance(6000);
    const cachedBefore = Array.from({ length: count }, (_, n) => cache.has(jobId(n)));
    // Jobs that are asked for later, again and again, do not overtake the first ones.
    for (let n = count; n < 2 * count; n++) accept(jobId(n));
    for (let second = 0; second < 6; second++) {
      for (let n = count; n < 2 * count; n++) find(lookups, jobId(n), results);
      await clock.advance(1000);
    }
    expect(cachedBefore.indexOf(false)).toBeGreaterThan(200);
    expect(cachedBefore.lastIndexOf(true)).toBe(cachedBefore.indexOf(false) - 1);
    for (let n = 0; n < count; n++) expect(cache.has(jobId(n))).toBe(true);
  });

  it('answers for known jobs within a second while thousands of unknown ids are asked for', async () => {
    const { clock, lookups, accept } = createLookups();
    accept(jobId(1));
    await clock.advance(10);
    const results = new Map<JobId, string>();
    for (let n = 100; n < 2100; n++) find(lookups, jobId(n), results);
    find(lookups, jobId(1), results);
    await clock.advance(1000);
    expect(results.get(jobId(1))).toBe('read');
    for (let n = 100; n < 2100; n++) expect(results.get(jobId(n))).toBe('absent');
  });

  it('tells a user when to retry, and rejects with the error of the store during an outage', async () => {
    const { clock, fakeStore, lookups, accept } = createLookups();
    for (let n = 0; n < 400; n++) accept(jobId(n));
    await clock.advance(100);
    const results = new Map<JobId, string>();
    for (let n = 0; n < 400; n++) find(lookups, jobId(n), results);
    await clock.advance(500);
    const error: unknown = await lookups.find(jobId(399)).catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(LookupDelayedError);
    // Some 350 jobs are still to be read at 50 a second.
    expect((error as LookupDelayedError).retryAfterS).toBeGreaterThanOrEqual(6);
    expect((error as LookupDelayedError).retryAfterS).toBeLessThanOrEqual(8);
    await clock.advance(10_000);
    fakeStore.isUnavailable = true;
    find(lookups, jobId(5000), results);
    await clock.advance(100);
    expect(results.get(jobId(5000))).toBe('STORE_UNAVAILABLE');
  });
});
