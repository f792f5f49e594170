import { describe, expect, it } from 'vitest';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { DEPENDENCIES_VERSION, PROTOCOL_VERSION } from '../../src/model/protocol.js';
import { StoreRefusedError } from '../../src/store/errors.js';
import { createLimitProbe } from '../../src/store/limit-probe.js';
import { StoreLimits } from '../../src/store/store-limits.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { runUntil } from './steps.js';

/** The announced limits of the key-value store, as in the settings. */
const ANNOUNCED_LIMITS = { value_kb: 2, txn_ops: 5, write_rps: 30 };
const REF = 'j-000001';
const TASK_COUNT = 250;

/** Returns a site with two teams that may each use 600 CPUs, and with the given announced limits; undefined: none. */
function largeSite(next?: object): SimulatedSite {
  return new SimulatedSite({
    teamCpuLimits: { red: 600, blue: 600 },
    heartbeatIntervalS: 3,
    nodes: 3,
    ...(next ? { next } : {}),
  });
}

/** Makes the key-value store enforce the announced limits from now on. */
function lowerStoreLimits(site: SimulatedSite): void {
  site.trace('state      takes less');
  site.store.sizeLimits = { txnOps: ANNOUNCED_LIMITS.txn_ops, valueBytes: ANNOUNCED_LIMITS.value_kb * 1024 };
  site.store.rateLimits = {
    requests: new TokenBucket(site.clock, 200, 200),
    writes: new TokenBucket(site.clock, ANNOUNCED_LIMITS.write_rps, ANNOUNCED_LIMITS.write_rps),
  };
}

/** Returns limits of the key-value store that differ only in the number of writes, per second and per transaction. */
const limitsOf = (writeRps: number, txnOps: number) => ({ rps: 200, writeRps, valueBytes: 2048, txnOps });

/** Waits until a job is done, and expects that no rule was violated. */
async function expectJobDone(site: SimulatedSite, ref = REF): Promise<void> {
  await runUntil(site, () => site.store.value(`open/${ref}`) === undefined, 240);
  await site.run(10);
  expect(await site.query(ref, site.leader as string)).toBe('done');
  await site.finish();
  expect(site.rules.violations).toEqual([]);
}

/** Returns the length of the longest stored value's JSON, in characters. */
const longestValueLength = (site: SimulatedSite): number =>
  Math.max(...[...site.store.keys.values()].map((entry) => JSON.stringify(entry.value).length));

describe('announced limits of the key-value store', () => {
  it('apply to record sizes from the first write on, while the current limits are still in force', async () => {
    const site = largeSite(ANNOUNCED_LIMITS);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 30 });
    await runUntil(site, () => site.runningTaskCount(REF) > 200);
    expect(longestValueLength(site)).toBeLessThanOrEqual(ANNOUNCED_LIMITS.value_kb * 1024);
    lowerStoreLimits(site);
    await expectJobDone(site);
    expect(site.store.rejectedTransactions).toEqual([]);
    // No record of an unfinished job remains.
    expect([...site.store.keys.keys()].filter((key) => key.startsWith('open/'))).toEqual([]);
  });

  it('come into force during a takeover from a leader that wrote large records', async () => {
    const site = largeSite(ANNOUNCED_LIMITS);
    // Unless the store refuses a record, none is split while at least one controller cannot read split records.
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 40 });
    await runUntil(site, () => site.runningTaskCount(REF) > 200);
    expect(longestValueLength(site)).toBeGreaterThan(ANNOUNCED_LIMITS.value_kb * 1024);
    site.earlierVersionNodes.clear();
    const oldLeader = site.leader as string;
    site.crash(oldLeader);
    await site.run(2.5);
    lowerStoreLimits(site);
    site.start(oldLeader);
    await expectJobDone(site);
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
  });

  it('come into force while records are being split, and the leader crashes twice meanwhile', async () => {
    const site = largeSite(ANNOUNCED_LIMITS);
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 60 });
    await site.submit({ ref: 'j-000002', tasks: TASK_COUNT, runS: 12, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount(REF) > 200 && site.runningTaskCount('j-000002') > 200);
    site.earlierVersionNodes.clear();
    lowerStoreLimits(site);
    for (let i = 0; i < 2; i++) {
      // The store rejects the first write that is too large; the leader then writes split records.
      await site.run(6);
      const leader = site.leader as string;
      site.crash(leader);
      await site.run(2);
      site.start(leader);
    }
    await expectJobDone(site, 'j-000002');
    await expectJobDone(site);
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(3);
  });

  it('do not prevent a job with long names from being accepted, taken over, done or cancelled', async () => {
    const site = largeSite(ANNOUNCED_LIMITS);
    site.startAll();
    await site.run(1);
    const longNames = {
      jobClass: 'é'.repeat(200),
      image: 'ü'.repeat(200),
      types: ['small', ...Array.from({ length: 8 }, (_, n) => `${n}${'ß'.repeat(190)}`)],
      zone: 'south',
    };
    // A version that splits no descriptions accepts these jobs in single records before the limits come into force.
    site.version = DEPENDENCIES_VERSION;
    expect(await site.submit({ ref: 'j-000002', team: 'blue', runS: 30, ...longNames })).toBe(201);
    expect(await site.submit({ ref: 'j-000003', team: 'blue', runS: 200, ...longNames })).toBe(201);
    expect(longestValueLength(site)).toBeGreaterThan(ANNOUNCED_LIMITS.value_kb * 1024);
    lowerStoreLimits(site);
    expect(await site.submit({ ref: REF, runS: 20, ...longNames })).toBe(503);
    site.version = PROTOCOL_VERSION;
    expect(await site.submit({ ref: REF, runS: 20, ...longNames })).toBe(201);
    expect(await site.submit({ ref: 'j-000004', runS: 5, awaits: [REF], ...longNames }, 'node-1')).toBe(201);
    await runUntil(site, () => site.runningTaskCount(REF) === 1 && site.runningTaskCount('j-000003') === 1);
    site.crash(site.leader as string);
    await runUntil(site, () => site.leader !== undefined, 10);
    const node = site.leader as string;
    expect(await site.cancel('j-000003', node)).toBe('cancelled');
    await runUntil(site, () => site.store.value('open/j-000004') === undefined, 90);
    await site.run(5);
    for (const ref of [REF, 'j-000002', 'j-000004']) expect(await site.query(ref, node)).toBe('done');
    expect([...site.store.keys.keys()].filter((key) => /^(open|desc|deps)\//.test(key))).toEqual([]);
    // Only the submission that was too long for the earlier version may have been rejected.
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('are probed after a rate-limited request: high load lowers the rate only until the probe is answered, and a confirmed limit remains applied', async () => {
    const clock = new VirtualClock();
    const settings = { storeLimits: limitsOf(60, 16), announcedStoreLimits: limitsOf(30, 5) };
    const store = new FakeKeyValueStore(clock);
    const limits = new StoreLimits(
      settings,
      clock,
      createLimitProbe(store.clientFor('node-0', clock), settings),
    );
    const rateLimitedError = new StoreRefusedError('key-value store answered a request with status 429', {
      isRateLimited: true,
    });
    limits.recordFailure(rateLimitedError);
    // The announced rate applies immediately, until the key-value store has answered the probe.
    expect(limits.writeRps).toBe(30);
    await clock.advance(100);
    expect(limits.writeRps).toBe(60);
    await clock.advance(3000);
    store.sizeLimits = { txnOps: 5, valueBytes: 2048 };
    store.isUnavailable = true;
    limits.recordFailure(rateLimitedError);
    await clock.advance(1500);
    expect(limits.writeRps).toBe(30);
    store.isUnavailable = false;
    await clock.advance(600_000);
    expect(limits.writeRps).toBe(30);
    expect(store.limitProbeCount).toBe(1);
    expect(store.rejectedTransactions).toEqual([]);
  });

  it('apply to entries that are longer than estimated, of which fewer share a record', async () => {
    const site = largeSite({ value_kb: 1, txn_ops: 5 });
    site.cloud.idDigits = 120;
    site.startAll();
    await site.run(1);
    site.store.sizeLimits = { txnOps: 5, valueBytes: 1024 };
    await site.submit({ ref: REF, tasks: 60, runS: 20 });
    await expectJobDone(site);
    expect(longestValueLength(site)).toBeLessThanOrEqual(1024);
    // Each rejected write halves the number of entries per record, so that the number of rejections is bounded.
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(8);
  });

  it('come into force during an outage', async () => {
    const site = largeSite(ANNOUNCED_LIMITS);
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 25 });
    await runUntil(site, () => site.runningTaskCount(REF) > 200);
    site.store.isUnavailable = true;
    await site.run(12);
    lowerStoreLimits(site);
    site.store.isUnavailable = false;
    await expectJobDone(site);
    // At most one transaction is rejected before the controller applies the new limits.
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
  });
});

describe('limits of the key-value store without announced limits', () => {
  it('stay in force: records have the chunk size that every version writes', async () => {
    const site = largeSite();
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 10 });
    await runUntil(site, () => site.runningTaskCount(REF) > 100);
    expect(site.store.value(`open/${REF}/0000`)).toBeDefined();
    await expectJobDone(site);
  });
});
