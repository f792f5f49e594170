import { describe, expect, it } from 'vitest';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { startedSite, runUntil } from './steps.js';
import { expectTrace } from './trace.js';

const ref = (n: number): string => `j-${String(n).padStart(6, '0')}`;
const isOver = (site: SimulatedSite, n: number): boolean => site.store.value(`open/${ref(n)}`) === undefined;

/** A job of one task on its machine, and one that waits for it; the leader's next write is the first one's end. */
async function aboutToEnd(): Promise<{ site: SimulatedSite; leader: string }> {
  const site = await startedSite();
  await site.submit({ ref: ref(1), runS: 6 });
  await site.submit({ ref: ref(2), runS: 6, awaits: [ref(1)] });
  await runUntil(site, () => site.runningTaskCount(ref(1)) === 1, 40);
  const leader = site.leader as string;
  // Until then its start's records are durable, and nothing else is to be written.
  await site.run(4);
  return { site, leader };
}

describe('a dependency whose final write meets a fault', () => {
  it('releases nothing while its final write is late, and the leader changes before it arrives', async () => {
    const { site, leader } = await aboutToEnd();
    site.store.nextCommitDelayMs.set(leader, 8000);
    while (site.runningTaskCount(ref(1)) > 0) await site.run(0.05);
    await site.run(0.3);
    // Done on its machine, and durable nowhere.
    expect(site.store.value(`job/${ref(1)}`)).toMatchObject({ s: 'a' });
    expect(site.runningTaskCount(ref(2))).toBe(0);
    site.crash(leader);
    await runUntil(site, () => isOver(site, 2), 60);
    site.start(leader);
    await site.run(10);
    expect(await site.query(ref(2), leader)).toBe('done');
    await expectTrace('pipeline-late-end', site);
  });

  it('is released once, though the answer to its final write is lost', async () => {
    const { site, leader } = await aboutToEnd();
    site.store.nextCommitDelayMs.set(leader, 1);
    await runUntil(site, () => isOver(site, 2), 40);
    expect(site.leader).toBe(leader);
    // Two tasks, two starts: the repeated write found the first one carried out.
    expect(site.rules.startCount).toBe(2);
    await expectTrace('pipeline-unanswered-end', site);
  });

  it.each([-0.6, -0.3, -0.1, 0, 0.1, 0.3])(
    'ends in one way where its cancellation comes %s s from its end, at every node',
    async (offset) => {
      const { site } = await aboutToEnd();
      const end = 2 + offset;
      await site.run(Math.max(0, end));
      const told = await site.cancel(ref(1), 'node-1');
      for (const node of site.nodes) await site.query(ref(2), node);
      await runUntil(site, () => isOver(site, 2), 60);
      for (const node of site.nodes) expect(await site.query(ref(2), node)).toBe(told);
      await site.finish();
      expect(site.rules.violations).toEqual([]);
    },
  );
});

describe('a graph of dependents whose first job is cancelled', () => {
  /** Two branches that meet again, and a chain of 30 behind them. */
  async function diamond(): Promise<{ site: SimulatedSite; all: string[] }> {
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
    return { site, all: Array.from({ length: 34 }, (_, n) => ref(n + 1)) };
  }

  it('is cancelled as a whole, at every node from the first moment on', async () => {
    const { site, all } = await diamond();
    expect(await site.cancel(ref(1), 'node-2')).toBe('cancelled');
    for (const one of [...all].reverse()) for (const node of site.nodes) await site.query(one, node);
    await site.run(15);
    for (const one of all) expect(site.store.value(`job/${one}`)).toMatchObject({ s: 'c' });
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('is reported as cancelled after an outage beyond the limit that began as the leader was cut off', async () => {
    const { site, all } = await diamond();
    const leader = site.leader as string;
    const other = site.nodes.find((node) => node !== leader) as string;
    site.store.refusedClients.add(leader);
    site.isolatedNodes.add(leader);
    expect(await site.cancel(ref(1), other)).toBe('cancelled');
    site.store.isUnavailable = true;
    await site.run(50);
    site.store.isUnavailable = false;
    site.store.refusedClients.clear();
    site.isolatedNodes.clear();
    // The checker counts every `pending` from here on as orphaned.
    for (const one of all.slice(1, 6)) for (const node of site.nodes) await site.query(one, node);
    await site.run(30);
    for (const one of all) expect(await site.query(one, other)).toBe('cancelled');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});

describe('a rolling restart while pipelines run', () => {
  it('keeps every stage, with several processes killed at once, the leader among them each time', async () => {
    const site = await startedSite();
    for (let p = 0; p < 4; p++) {
      for (let stage = 0; stage < 4; stage++) {
        const n = p * 4 + stage + 1;
        const wish = { ref: ref(n), tasks: 2, runS: 7, ...(stage > 0 ? { awaits: [ref(n - 1)] } : {}) };
        while ((await site.submit(wish, `node-${p % 3}`)) !== 201) await site.run(0.3);
      }
    }
    await runUntil(site, () => site.runningTaskCount(ref(1)) > 0, 60);
    for (let round = 0; round < 5; round++) {
      const leader = site.leader as string;
      const other = site.nodes.find((node) => node !== leader) as string;
      site.crash(leader);
      site.crash(other);
      // One comes back in a fraction of a second, in the middle of the election.
      await site.run(0.2);
      site.start(other);
      await site.run(6);
      site.start(leader);
      await site.run(3);
    }
    await runUntil(site, () => [4, 8, 12, 16].every((n) => isOver(site, n)), 200);
    await site.run(5);
    for (const n of [4, 8, 12, 16]) expect(await site.query(ref(n))).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
