import { describe, expect, it } from 'vitest';
import type { FailoverFeature } from '../../src/config/features.js';
import { Scenario } from '../simulation/scenario.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { seconds } from '../../src/model/time.js';
import { CANCEL_S } from '../simulation/site-setup.js';
import { FAULTS } from '../simulation/faults.js';

/** Failover settings with which controllers probe each other and replace a failed leader before its lease expires. */
const FAILOVER: FailoverFeature = {
  earlyTakeover: true,
  probeInterval: seconds(0.5),
  probeTimeout: seconds(0.3),
  suspicionTimeout: seconds(1),
  pauseThreshold: seconds(0.4),
  maxMessagesPerSecond: 100,
};
/**
 * The time to live of a leader's lease. Without failure detection a leader is replaced only after its lease has
 * expired.
 */
const LEADER_LEASE_S = 2.5;
/** The interval at which a test checks whether another node leads. */
const CHECK_INTERVAL_S = 0.05;

/** Returns a site with a leader and three arrays of three tasks each, which were submitted 40 s before. */
async function siteWithJobs(feature: FailoverFeature | null = FAILOVER): Promise<SimulatedSite> {
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

/**
 * Returns the number of seconds, rounded down to a multiple of `CHECK_INTERVAL_S`, until a node other than
 * `formerLeader` leads, or `Infinity` if none does within `withinS`.
 */
async function secondsUntilReplaced(
  site: SimulatedSite,
  formerLeader: string,
  withinS = 20,
): Promise<number> {
  for (let seconds = 0; seconds < withinS; seconds += CHECK_INTERVAL_S) {
    await site.run(CHECK_INTERVAL_S);
    if (site.nodes.some((name) => name !== formerLeader && site.isLeading(name))) return seconds;
  }
  return Infinity;
}

/** Runs the site for two minutes and expects that all jobs are done and no rule was violated. */
async function expectJobsDone(site: SimulatedSite): Promise<void> {
  await site.run(120);
  expect(site.rules.violations).toEqual([]);
  expect(site.store.rejectedTransactions).toEqual([]);
  for (const ref of ['j-000001', 'j-000002', 'j-000003']) {
    expect(await site.query(ref, site.leader), ref).toBe('done');
  }
}

describe('a leader that a majority of the controllers considers failed', () => {
  it('is replaced before its lease expires, and its jobs continue', async () => {
    const site = await siteWithJobs();
    const formerLeader = site.leader as string;
    site.crash(formerLeader);
    expect(await secondsUntilReplaced(site, formerLeader)).toBeLessThan(LEADER_LEASE_S);
    await expectJobsDone(site);
  });

  it('is replaced only after its lease expires if early takeover is disabled', async () => {
    const site = await siteWithJobs({ ...FAILOVER, earlyTakeover: false });
    const formerLeader = site.leader as string;
    site.crash(formerLeader);
    const replacedS = await secondsUntilReplaced(site, formerLeader);
    expect(replacedS).toBeGreaterThan(LEADER_LEASE_S * 0.7);
    expect(replacedS).toBeLessThan(LEADER_LEASE_S + 1);
    await expectJobsDone(site);
  });

  // A leader that only its peers cannot reach still answers workers and rents and deletes machines. Its peers
  // consider it dead, but must not replace it.
  it('keeps leading while it is isolated from its peers but reaches the key-value store', async () => {
    const site = await siteWithJobs();
    const leader = site.leader as string;
    site.isolatedNodes.add(leader);
    expect(await secondsUntilReplaced(site, leader, 30)).toBe(Infinity);
    site.isolatedNodes.clear();
    await site.run(5);
    for (const name of site.nodes) {
      expect(site.members(name).map(({ state }) => state)).toEqual(['alive', 'alive', 'alive']);
    }
    await expectJobsDone(site);
  });

  // When the paused leader resumes, its lease is still valid by its own clock. The detected pause makes the
  // leader renew the lease before it acts as leader again.
  it('resigns as soon as it resumes from a pause, before it rents, deletes or starts anything', async () => {
    const quickDetection = {
      ...FAILOVER,
      probeInterval: seconds(0.2),
      probeTimeout: seconds(0.1),
      suspicionTimeout: seconds(0.4),
      pauseThreshold: seconds(0.2),
    };
    const site = await siteWithJobs(quickDetection);
    const formerLeader = site.leader as string;
    const pauseS = 1.7;
    site.pause(formerLeader, pauseS);
    const replacedS = await secondsUntilReplaced(site, formerLeader, pauseS - CHECK_INTERVAL_S);
    expect(replacedS).toBeLessThan(pauseS);
    const lineCount = site.traceText.split('\n').length;
    await site.run(pauseS - replacedS + 0.2);
    expect(site.isLeading(formerLeader)).toBe(false);
    const actions = site.traceText
      .split('\n')
      .slice(lineCount - 1)
      .filter((line) => line.includes(formerLeader));
    expect(actions.map((line) => line.trim().replace(/^\S+\s+\S+\s+/, ''))).toEqual(['goes on']);
    await expectJobsDone(site);
  });

  it('hands over within half a second when it leaves the cluster, and no peer suspects it', async () => {
    const site = await siteWithJobs();
    const formerLeader = site.leader as string;
    site.leave(formerLeader);
    expect(await secondsUntilReplaced(site, formerLeader)).toBeLessThan(0.5);
    await site.run(2);
    const otherNode = site.nodes.find((name) => name !== formerLeader) as string;
    const states = site.members(otherNode).map(({ member, state }) => [member, state]);
    expect(Object.fromEntries(states)).toMatchObject({ [formerLeader]: 'left' });
    await expectJobsDone(site);
  });

  it('is not replaced early while a controller runs an earlier version', async () => {
    const site = await siteWithJobs();
    const formerLeader = site.leader as string;
    const otherNode = site.nodes.find((name) => name !== formerLeader) as string;
    site.earlierVersionNodes.add(otherNode);
    site.crash(formerLeader);
    expect(await secondsUntilReplaced(site, formerLeader)).toBeGreaterThan(LEADER_LEASE_S * 0.7);
    await site.run(30);
    expect(site.rules.violations).toEqual([]);
  });
});

describe('a leader that was replaced while it is alive and still answers workers', () => {
  // A replaced leader may consider its lease valid for up to 2.5 s after the takeover, and answers heartbeats for up to
  // 15 s (`maxRenewalWithoutQuorum`) after the lease has expired. The successor must assume that worker leases were
  // renewed until then, and a cancellation that the successor confirms must still take effect within its limit.
  it('renews no worker lease beyond the time that its successor assumes', async () => {
    const site = await siteWithJobs();
    await site.submit({ ref: 'j-000009', kind: 'service', tasks: 2 });
    await site.run(30);
    const formerLeader = site.leader as string;
    site.isolatedNodes.add(formerLeader);
    site.store.refusedClients.add(formerLeader);
    expect(await secondsUntilReplaced(site, formerLeader)).toBeLessThan(LEADER_LEASE_S);
    await site.run(3);
    await site.cancel('j-000009');
    await site.run(CANCEL_S + 10);
    expect(site.rules.violations).toEqual([]);
    site.isolatedNodes.clear();
    site.store.refusedClients.clear();
    await expectJobsDone(site);
  });
});

describe('combinations of faults with failure detection', () => {
  it.each(FAULTS.map((fault, index) => [fault.name, fault, index] as const))(
    '%s',
    async (_, fault, index) => {
      const otherFault = FAULTS[(index + 5) % FAULTS.length] as (typeof FAULTS)[number];
      const scenario = new Scenario(900 + index, new SimulatedSite());
      scenario.site.failover = FAILOVER;
      await scenario.run([fault, otherFault]);
      expect(scenario.site.rules.violations, `${fault.name}; ${otherFault.name}`).toEqual([]);
      expect(scenario.site.store.rejectedTransactions).toEqual([]);
      expect(scenario.acceptedCount).toBeGreaterThan(scenario.submittedCount / 2);
    },
    60_000,
  );
});
