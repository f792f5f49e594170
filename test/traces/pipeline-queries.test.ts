import { describe, expect, it } from 'vitest';
import type { JobId } from '../../src/model/ids.js';
import { keys } from '../../src/store/keys.js';
import { jobIdOf, PolledSite } from '../simulation/polled-site.js';
import type { SiteSize } from '../simulation/site-setup.js';

/** A job about which no question is answered for this time after troubles is forgotten (the users' statement). */
const FORGOTTEN_AFTER_S = 75;
/** How long a user waits for the answer to a poll (PROTOCOL). */
const MAX_ANSWER_S = 2;
const TEST_TIMEOUT_MS = 180_000;
const SITE: SiteSize = { teamCpuLimits: { red: 400, blue: 400 }, heartbeatIntervalS: 6, nodes: 3 };
/** The job that runs for the whole test, so that all others wait. */
const GATE = jobIdOf(0);

interface Pipeline {
  readonly site: PolledSite;
  /** The jobs of each stage; the first stage waits for `GATE`. */
  readonly stages: JobId[][];
}

/** Returns a site with stages of waiting jobs, each of which depends on all jobs of the stage before. */
async function siteWithStages(stageCount: number, jobCount: number): Promise<Pipeline> {
  const site = new PolledSite(SITE);
  site.startAll();
  await site.run(1);
  await site.submit({ ref: GATE, runS: 2000 });
  const stages: JobId[][] = [];
  let awaits = [GATE];
  for (let stage = 0; stage < stageCount; stage++) {
    const ids = Array.from({ length: jobCount }, (_, n) => jobIdOf(1 + stage * jobCount + n));
    await site.acceptDirectly(ids.map((ref) => ({ ref, awaits })));
    stages.push(ids);
    awaits = ids;
  }
  await site.run(2);
  return { site, stages };
}

/** Asks every controller for a job at the same time; returns their answers, null for none in time. */
async function askAll(site: PolledSite, id: JobId): Promise<(string | null)[]> {
  const answers: (string | null)[] = site.nodes.map(() => null);
  site.nodes.forEach((node, index) => {
    void site.queryConcurrently(id, node).then((state) => (answers[index] = state));
  });
  await site.run(MAX_ANSWER_S);
  return answers;
}

async function restartAll(site: PolledSite): Promise<void> {
  for (const node of site.nodes) site.crash(node);
  await site.run(3);
  site.startAll();
}

async function expectEveryUserAnswered(site: PolledSite): Promise<void> {
  for (const user of site.users) {
    user.resetGap();
    user.start();
  }
  await site.run(FORGOTTEN_AFTER_S);
  const gapsS = site.users.map((user) => user.longestGapS);
  expect(Math.max(...gapsS), JSON.stringify(site.takeRefusals())).toBeLessThan(FORGOTTEN_AFTER_S);
  expect(site.overdueJobs).toEqual([]);
  expect(site.rules.violations).toEqual([]);
}

const ALL_PENDING = ['pending', 'pending', 'pending'];
const ALL_CANCELLED = ['cancelled', 'cancelled', 'cancelled'];

describe('a query for a job at the end of a pipeline', { timeout: TEST_TIMEOUT_MS }, () => {
  // Guards against a walk that expands a job once for each job that names it: polls alone ended every controller for
  // want of heap. And against levels that are confirmed one after another: from 15 on every poll was refused.
  it.each([
    [4, 8],
    [12, 6],
    [5, 40],
    [17, 1],
    [400, 1],
  ])('is answered in time by every controller: %d stages of %d jobs', async (stageCount, jobCount) => {
    const { site, stages } = await siteWithStages(stageCount, jobCount);
    const last = stages.at(-1)?.[0] as JobId;
    expect(await askAll(site, last)).toEqual(ALL_PENDING);
    const before = site.store.requestCount;
    expect(await askAll(site, last)).toEqual(ALL_PENDING);
    const idleBefore = site.store.requestCount;
    await site.run(MAX_ANSWER_S);
    const idle = site.store.requestCount - idleBefore;
    // Two requests a controller, whatever the shape: one for all changes, one for the job's own record.
    expect(site.store.requestCount - idle - before).toBeLessThanOrEqual(2 * site.nodes.length + idle + 2);
  });

  // Guards against a first query after a restart that reads the graph level by level.
  it.each([
    [60, 1],
    [6, 30],
  ])('is answered again soon after a restart: %d stages of %d jobs', async (stageCount, jobCount) => {
    const { site, stages } = await siteWithStages(stageCount, jobCount);
    site.enforceStoreRates();
    await restartAll(site);
    await site.run(3);
    expect(await askAll(site, stages.at(-1)?.[0] as JobId)).toEqual(ALL_PENDING);
  });

  // Guards against answers that are older than a cancellation which any controller has confirmed.
  it.each([
    ['the first job', 0],
    ['a job in the middle', 4],
    ['the last job', 7],
  ])('is never pending after %s of 8 stages was cancelled at another controller', async (_name, stage) => {
    const { site, stages } = await siteWithStages(8, 5);
    const cancelled = stages[stage]?.[0] as JobId;
    const last = stages.at(-1)?.[0] as JobId;
    const before = stages[stage - 1]?.[0] ?? GATE;
    // No leader helps: the controllers that answer have to find the cancellation themselves.
    const leader = site.leader as string;
    const [canceller] = site.nodes.filter((node) => node !== leader);
    site.crash(leader);
    expect(await site.cancel(cancelled, canceller)).toBe('cancelled');
    for (const node of site.nodes.filter((name) => name !== leader)) {
      expect(await site.query(last, node)).toBe('cancelled');
      expect(await site.query(before, node)).not.toBe('cancelled');
    }
    await site.run(10);
    site.start(leader);
    await site.run(5);
    expect(await askAll(site, last)).toEqual(ALL_CANCELLED);
    expect(site.rules.violations).toEqual([]);
  });

  // Guards against an index that lacks the changes which the store no longer keeps.
  it('is not pending if the cancellation is among changes that the store has discarded', async () => {
    const { site, stages } = await siteWithStages(3, 4);
    const [follower, other] = site.nodes.filter((node) => node !== site.leader) as [string, string];
    expect(await askAll(site, stages[2]?.[0] as JobId)).toEqual(ALL_PENDING);
    site.crash(site.leader as string);
    site.store.refusedClients.add(other);
    expect(await site.cancel(stages[0]?.[0] as string, follower)).toBe('cancelled');
    await site.missChanges();
    site.store.refusedClients.clear();
    await site.run(1);
    expect(await site.query(stages[2]?.[0] as string, other)).toBe('cancelled');
    expect(site.rules.violations).toEqual([]);
  });

  // Guards against reads of single records, without budget, of dependencies that ended before a restart.
  it('is answered after a restart although the jobs before it have ended and are cached nowhere', async () => {
    const site = new PolledSite(SITE);
    site.startAll();
    await site.run(1);
    const ended = Array.from({ length: 400 }, (_, n) => jobIdOf(1000 + n));
    await site.submit({ ref: GATE, runS: 2000 });
    await site.acceptDirectly(ended.map((ref) => ({ ref, cpus: 0.5, runS: 2 })));
    await site.acceptDirectly([{ ref: jobIdOf(1), awaits: [...ended, GATE] }]);
    await site.acceptDirectly([{ ref: jobIdOf(2), awaits: [jobIdOf(1)] }]);
    const client = site.store.clientFor('ending', site.clock);
    for (const id of ended) {
      const record = site.store.value(keys.job(id)) as { s: string };
      void client.txn([], [{ set: keys.job(id), value: { ...record, s: 'd' } }, { drop: keys.openHead(id) }]);
    }
    await site.run(1);
    site.enforceStoreRates();
    await restartAll(site);
    await site.run(3);
    expect(await askAll(site, jobIdOf(2))).toEqual(ALL_PENDING);
  });

  // Guards against one unreadable record that refuses queries for jobs which do not depend on its job.
  it('is refused if a dependency is unreadable, and only then', async () => {
    const { site, stages } = await siteWithStages(3, 2);
    const client = site.store.clientFor('damaging', site.clock);
    const [damaged, sound] = stages[0] as [JobId, JobId];
    await site.acceptDirectly([{ ref: jobIdOf(50), awaits: [sound] }]);
    void client.txn([], [{ set: keys.job(damaged), value: 'damaged' }]);
    const follower = site.nodes.find((node) => node !== site.leader) as string;
    site.crash(follower);
    await site.run(1);
    site.start(follower);
    await site.run(5);
    const ask = async (id: JobId): Promise<string | null> =>
      (await askAll(site, id))[site.nodes.indexOf(follower)] ?? null;
    expect(await ask(stages[2]?.[0] as JobId)).toBe(null);
    expect(await ask(jobIdOf(50))).toBe('pending');
    expect(await ask(GATE)).not.toBe(null);
  });
});

describe('polls for every job of large pipelines', { timeout: TEST_TIMEOUT_MS }, () => {
  // Guards against a share of the store's requests for dependencies that grows with the number of polled jobs.
  it('cost a number of requests that does not depend on the jobs, and all are answered', async () => {
    const { site, stages } = await siteWithStages(10, 100);
    site.enforceStoreRates();
    for (const id of stages.flat()) site.addUser(id);
    await expectEveryUserAnswered(site);
    const { rejectedTransactions, changesCount } = site.store;
    expect(rejectedTransactions).toEqual([]);
    const requestsPerS = changesCount / FORGOTTEN_AFTER_S;
    // A tenth of the store's 200 requests a second.
    expect(requestsPerS).toBeLessThanOrEqual(20);
  });

  it('are all answered after all controllers have ended and come back', async () => {
    const { site, stages } = await siteWithStages(10, 100);
    site.enforceStoreRates();
    for (const id of stages.flat()) site.addUser(id);
    await restartAll(site);
    await expectEveryUserAnswered(site);
  });
});
