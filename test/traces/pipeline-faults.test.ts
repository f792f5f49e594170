import { describe, expect, it } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

const ref = (n: number): string => `j-${String(n).padStart(6, '0')}`;
/** Returns whether an accepted job is done or cancelled: its head record under `open/` is deleted when it ends. */
const hasEnded = (site: SimulatedSite, n: number): boolean =>
  site.store.value(`open/${ref(n)}`) === undefined;

/**
 * Returns a site that runs a job of one task, on which a second job depends. The leader's next write is the end of
 * the first job.
 */
async function siteWithEndingDependency(): Promise<{ site: SimulatedSite; leader: string }> {
  const site = await startedSite();
  await site.submit({ ref: ref(1), runS: 6 });
  await site.submit({ ref: ref(2), runS: 6, awaits: [ref(1)] });
  await runUntil(site, () => site.runningTaskCount(ref(1)) === 1, 40);
  const leader = site.leader as string;
  // 4 s after the start, the records of the start are durable and no other write is pending.
  await site.run(4);
  return { site, leader };
}

describe('a dependency whose final write is delayed or unanswered', () => {
  it('releases no dependent while its final write is delayed and the leader changes before the write is executed', async () => {
    const { site, leader } = await siteWithEndingDependency();
    site.store.nextCommitDelayMs.set(leader, 8000);
    while (site.runningTaskCount(ref(1)) > 0) await site.run(0.05);
    await site.run(0.3);
    // The task has ended on its machine, but the end is not durable.
    expect(site.store.value(`job/${ref(1)}`)).toMatchObject({ s: 'a' });
    expect(site.runningTaskCount(ref(2))).toBe(0);
    site.crash(leader);
    await runUntil(site, () => hasEnded(site, 2), 60);
    site.start(leader);
    await site.run(10);
    expect(await site.query(ref(2), leader)).toBe('done');
    await expectTrace('pipeline-late-end', site);
  });

  it('releases its dependent once, although the answer to its final write is lost', async () => {
    const { site, leader } = await siteWithEndingDependency();
    site.store.nextCommitDelayMs.set(leader, 1);
    await runUntil(site, () => hasEnded(site, 2), 40);
    expect(site.leader).toBe(leader);
    // Each of the two tasks starts once: the retried write finds that the first write was executed.
    expect(site.rules.startCount).toBe(2);
    await expectTrace('pipeline-unanswered-end', site);
  });

  it.each([-0.6, -0.3, -0.1, 0, 0.1, 0.3])(
    'gives its own final state to its dependent, at every node, if it is cancelled %s s from its end',
    async (offset) => {
      const { site } = await siteWithEndingDependency();
      const cancelAfterS = 2 + offset;
      await site.run(Math.max(0, cancelAfterS));
      const reportedState = await site.cancel(ref(1), 'node-1');
      for (const node of site.nodes) await site.query(ref(2), node);
      await runUntil(site, () => hasEnded(site, 2), 60);
      for (const node of site.nodes) expect(await site.query(ref(2), node)).toBe(reportedState);
      await site.finish();
      expect(site.rules.violations).toEqual([]);
    },
  );
});

describe('a graph of dependent jobs whose first job is cancelled', () => {
  /**
   * Returns a site with a running job, two jobs that depend on it, a job that depends on both, and a chain of 30
   * more jobs.
   */
  async function siteWithDependencyGraph(): Promise<{ site: SimulatedSite; allRefs: string[] }> {
    const site = await startedSite();
    await site.submit({ ref: ref(1), runS: 300 });
    await site.submit({ ref: ref(2), awaits: [ref(1)] });
    await site.submit({ ref: ref(3), awaits: [ref(1)] }, 'node-1');
    await site.submit({ ref: ref(4), awaits: [ref(2), ref(3)] }, 'node-2');
    for (let n = 5; n <= 34; n++) {
      while ((await site.submit({ ref: ref(n), awaits: [ref(n - 1)] }, 'node-1')) !== 201)
        await site.run(0.3);
    }
    await runUntil(site, () => site.runningTaskCount(ref(1)) === 1, 60);
    return { site, allRefs: Array.from({ length: 34 }, (_, n) => ref(n + 1)) };
  }

  it('is cancelled as a whole, and every node reports the cancellation immediately', async () => {
    const { site, allRefs } = await siteWithDependencyGraph();
    expect(await site.cancel(ref(1), 'node-2')).toBe('cancelled');
    for (const jobRef of [...allRefs].reverse())
      for (const node of site.nodes) await site.query(jobRef, node);
    await site.run(15);
    for (const jobRef of allRefs) expect(site.store.value(`job/${jobRef}`)).toMatchObject({ s: 'c' });
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('is reported as cancelled after a store outage beyond the time limit that began while the leader was isolated', async () => {
    const { site, allRefs } = await siteWithDependencyGraph();
    const leader = site.leader as string;
    const otherNode = site.nodes.find((node) => node !== leader) as string;
    site.store.refusedClients.add(leader);
    site.isolatedNodes.add(leader);
    expect(await site.cancel(ref(1), otherNode)).toBe('cancelled');
    site.store.isUnavailable = true;
    await site.run(50);
    site.store.isUnavailable = false;
    site.store.refusedClients.clear();
    site.isolatedNodes.clear();
    // From here on, the rule checker reports every `pending` answer as an orphaned job.
    for (const jobRef of allRefs.slice(1, 6)) for (const node of site.nodes) await site.query(jobRef, node);
    await site.run(30);
    for (const jobRef of allRefs) expect(await site.query(jobRef, otherNode)).toBe('cancelled');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});

describe('repeated restarts while pipelines run', () => {
  it('run every stage, although each restart kills the leader and another controller', async () => {
    const site = await startedSite();
    for (let pipeline = 0; pipeline < 4; pipeline++) {
      for (let stage = 0; stage < 4; stage++) {
        const n = pipeline * 4 + stage + 1;
        const request = { ref: ref(n), tasks: 2, runS: 7, ...(stage > 0 ? { awaits: [ref(n - 1)] } : {}) };
        while ((await site.submit(request, `node-${pipeline % 3}`)) !== 201) await site.run(0.3);
      }
    }
    await runUntil(site, () => site.runningTaskCount(ref(1)) > 0, 60);
    for (let round = 0; round < 5; round++) {
      const leader = site.leader as string;
      const otherNode = site.nodes.find((node) => node !== leader) as string;
      site.crash(leader);
      site.crash(otherNode);
      // The follower restarts after 200 ms, during the election.
      await site.run(0.2);
      site.start(otherNode);
      await site.run(6);
      site.start(leader);
      await site.run(3);
    }
    await runUntil(site, () => [4, 8, 12, 16].every((n) => hasEnded(site, n)), 200);
    await site.run(5);
    for (const n of [4, 8, 12, 16]) expect(await site.query(ref(n))).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
