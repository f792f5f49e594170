import { describe, expect, it } from 'vitest';
import type { FailoverFeature } from '../../src/config/features.js';
import { Scenario } from '../simulation/scenario.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { seconds } from '../../src/model/time.js';
import { CANCEL_S } from '../simulation/site-setup.js';
import { FAULTS } from '../simulation/faults.js';

/** Whole sites with failure detection between their controllers, and leaders replaced before their grants end. */
const FEATURE: FailoverFeature = {
  earlyTakeover: true,
  probeInterval: seconds(0.5),
  probeTimeout: seconds(0.3),
  suspicionTimeout: seconds(1),
  pauseThreshold: seconds(0.4),
  maxMessagesPerSecond: 100,
};
/** A grant's life: without failure detection nobody replaces a leader sooner. */
const LEASE_S = 2.5;
const STEP_S = 0.05;

async function site(feature: FailoverFeature | null = FEATURE): Promise<SimulatedSite> {
  const started = new SimulatedSite();
  started.failover = feature;
  started.startAll();
  await started.run(5);
  for (const ref of ['j-000001', 'j-000002', 'j-000003']) {
    await started.submit({ ref, tasks: 3, runS: 30 });
  }
  await started.run(40);
  expect(started.leader).toBeDefined();
  return started;
}

/** Seconds until another node leads. */
async function replacedAfter(site: SimulatedSite, former: string, withinS = 20): Promise<number> {
  for (let seconds = 0; seconds < withinS; seconds += STEP_S) {
    await site.run(STEP_S);
    if (site.nodes.some((name) => name !== former && site.isLeading(name))) return seconds;
  }
  return Infinity;
}

async function finishes(site: SimulatedSite): Promise<void> {
  await site.run(120);
  expect(site.rules.violations).toEqual([]);
  expect(site.store.rejectedTransactions).toEqual([]);
  for (const ref of ['j-000001', 'j-000002', 'j-000003']) {
    expect(await site.query(ref, site.leader), ref).toBe('done');
  }
}

describe('a leader that is found failed by a majority', () => {
  it('is replaced before its grant has ended, and its work goes on', async () => {
    const running = await site();
    const former = running.leader as string;
    running.crash(former);
    expect(await replacedAfter(running, former)).toBeLessThan(LEASE_S);
    await finishes(running);
  });

  it('is replaced when its grant has ended where early takeover is off', async () => {
    const running = await site({ ...FEATURE, earlyTakeover: false });
    const former = running.leader as string;
    running.crash(former);
    const replacedS = await replacedAfter(running, former);
    expect(replacedS).toBeGreaterThan(LEASE_S * 0.7);
    expect(replacedS).toBeLessThan(LEASE_S + 1);
    await finishes(running);
  });

  // Its peers take it for dead; it lives, answers workers, rents and deletes machines. It must not be deposed.
  it('keeps leading where only its peers are cut off and it reaches the state service', async () => {
    const running = await site();
    const leader = running.leader as string;
    running.isolatedNodes.add(leader);
    expect(await replacedAfter(running, leader, 30)).toBe(Infinity);
    running.isolatedNodes.clear();
    await running.run(5);
    for (const name of running.nodes) {
      expect(running.members(name).map(({ state }) => state)).toEqual(['alive', 'alive', 'alive']);
    }
    await finishes(running);
  });

  // By its own clock its grant still lives when it wakes: only the pause itself tells it to ask first.
  it('ends as soon as it wakes, before it rents, deletes or starts anything', async () => {
    const quick = {
      ...FEATURE,
      probeInterval: seconds(0.2),
      probeTimeout: seconds(0.1),
      suspicionTimeout: seconds(0.4),
      pauseThreshold: seconds(0.2),
    };
    const running = await site(quick);
    const former = running.leader as string;
    const stillS = 1.7;
    running.pause(former, stillS);
    const replacedS = await replacedAfter(running, former, stillS - STEP_S);
    expect(replacedS).toBeLessThan(stillS);
    const lines = running.traceText.split('\n').length;
    await running.run(stillS - replacedS + 0.2);
    expect(running.isLeading(former)).toBe(false);
    const acts = running.traceText
      .split('\n')
      .slice(lines - 1)
      .filter((line) => line.includes(former));
    expect(acts.map((line) => line.trim().replace(/^\S+\s+\S+\s+/, ''))).toEqual(['goes on']);
    await finishes(running);
  });

  it('hands over at once when it leaves, and nobody suspects it', async () => {
    const running = await site();
    const former = running.leader as string;
    running.leave(former);
    expect(await replacedAfter(running, former)).toBeLessThan(0.5);
    await running.run(2);
    const other = running.nodes.find((name) => name !== former) as string;
    const states = running.members(other).map(({ member, state }) => [member, state]);
    expect(Object.fromEntries(states)).toMatchObject({ [former]: 'left' });
    await finishes(running);
  });

  it('is not replaced early while a controller runs an earlier version', async () => {
    const running = await site();
    const former = running.leader as string;
    const other = running.nodes.find((name) => name !== former) as string;
    running.earlierVersionNodes.add(other);
    running.crash(former);
    expect(await replacedAfter(running, former)).toBeGreaterThan(LEASE_S * 0.7);
    await running.run(30);
    expect(running.rules.violations).toEqual([]);
  });
});

describe('a leader that was replaced while it lives, and still answers workers', () => {
  // It may be sure of its grant for 2.5 s after the takeover and answers for some time more: the successor must reckon
  // with leases that it renewed until then, and a cancellation through the successor must hold all the same.
  it('renews no lease beyond what its successor reckons with', async () => {
    const running = await site();
    await running.submit({ ref: 'j-000009', kind: 'service', tasks: 2 });
    await running.run(30);
    const former = running.leader as string;
    running.isolatedNodes.add(former);
    running.store.refusedClients.add(former);
    expect(await replacedAfter(running, former)).toBeLessThan(LEASE_S);
    await running.run(3);
    await running.cancel('j-000009');
    await running.run(CANCEL_S + 10);
    expect(running.rules.violations).toEqual([]);
    running.isolatedNodes.clear();
    running.store.refusedClients.clear();
    await finishes(running);
  });
});

describe('combinations of faults with failure detection', () => {
  it.each(FAULTS.map((fault, index) => [fault.name, fault, index] as const))(
    '%s',
    async (_, fault, index) => {
      const other = FAULTS[(index + 5) % FAULTS.length] as (typeof FAULTS)[number];
      const scenario = new Scenario(900 + index, new SimulatedSite());
      scenario.site.failover = FEATURE;
      await scenario.run([fault, other]);
      expect(scenario.site.rules.violations, `${fault.name}; ${other.name}`).toEqual([]);
      expect(scenario.site.store.rejectedTransactions).toEqual([]);
      expect(scenario.acceptedCount).toBeGreaterThan(scenario.submittedCount / 2);
    },
    60_000,
  );
});
