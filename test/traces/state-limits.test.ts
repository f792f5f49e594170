import { describe, expect, it } from 'vitest';
import { TokenBucket } from '../../src/net/token-bucket.js';
import { DEPENDENCIES_VERSION, PROTOCOL_VERSION } from '../../src/model/protocol.js';
import { StoreRefusedError } from '../../src/store/errors.js';
import { limitProbe } from '../../src/store/limit-probe.js';
import { StoreLimits } from '../../src/store/store-limits.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { runUntil } from './steps.js';

const NEXT = { value_kb: 2, txn_ops: 5, write_rps: 30 };
const REF = 'j-000001';
const TASKS = 250;

/** Two teams with room for hundreds of tasks. */
function large(next?: object): SimulatedSite {
  return new SimulatedSite({
    limit: { red: 600, blue: 600 },
    reportS: 3,
    nodes: 3,
    ...(next ? { next } : {}),
  });
}

/** The service takes less from now on. */
function fall(site: SimulatedSite): void {
  site.trace('state      takes less');
  site.store.sizeLimits = { txnOps: NEXT.txn_ops, valueBytes: NEXT.value_kb * 1024 };
  site.store.rateLimits = {
    requests: new TokenBucket(site.clock, 200, 200),
    writes: new TokenBucket(site.clock, NEXT.write_rps, NEXT.write_rps),
  };
}

const limitsOf = (writeRps: number, txnOps: number) => ({ rps: 200, writeRps, valueBytes: 2048, txnOps });

async function done(site: SimulatedSite, ref = REF): Promise<void> {
  await runUntil(site, () => site.store.value(`open/${ref}`) === undefined, 240);
  await site.run(10);
  expect(await site.query(ref, site.leader as string)).toBe('done');
  await site.finish();
  expect(site.rules.violations).toEqual([]);
}

const longest = (site: SimulatedSite): number =>
  Math.max(...[...site.store.keys.values()].map((entry) => JSON.stringify(entry.value).length));

describe('announced limits of the key-value store', () => {
  it('are kept to from the first write on, while the old ones still hold', async () => {
    const site = large(NEXT);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASKS, runS: 30 });
    await runUntil(site, () => site.runningTaskCount(REF) > 200);
    expect(longest(site)).toBeLessThanOrEqual(NEXT.value_kb * 1024);
    fall(site);
    await done(site);
    expect(site.store.rejectedTransactions).toEqual([]);
    // Nothing of it is left behind.
    expect([...site.store.keys.keys()].filter((key) => key.startsWith('open/'))).toEqual([]);
  });

  it('fall in the middle of a takeover from a leader that wrote large records', async () => {
    const site = large(NEXT);
    // Beside controllers that could not read split records nothing is split.
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASKS, runS: 40 });
    await runUntil(site, () => site.runningTaskCount(REF) > 200);
    expect(longest(site)).toBeGreaterThan(NEXT.value_kb * 1024);
    site.earlierVersionNodes.clear();
    const old = site.leader as string;
    site.crash(old);
    await site.run(2.5);
    fall(site);
    site.start(old);
    await done(site);
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
  });

  it('fall while records are being split, and the leader ends in between, twice', async () => {
    const site = large(NEXT);
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASKS, runS: 60 });
    await site.submit({ ref: 'j-000002', tasks: TASKS, runS: 12, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount(REF) > 200 && site.runningTaskCount('j-000002') > 200);
    site.earlierVersionNodes.clear();
    fall(site);
    for (let i = 0; i < 2; i++) {
      // The first too large write tells; the next ones are parts.
      await site.run(6);
      const leader = site.leader as string;
      site.crash(leader);
      await site.run(2);
      site.start(leader);
    }
    await done(site, 'j-000002');
    await done(site);
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(3);
  });

  it('leave a job with long names its whole way: accepted, taken over, done or cancelled', async () => {
    const site = large(NEXT);
    site.startAll();
    await site.run(1);
    const long = {
      jobClass: 'é'.repeat(200),
      image: 'ü'.repeat(200),
      types: ['small', ...Array.from({ length: 8 }, (_, n) => `${n}${'ß'.repeat(190)}`)],
      zone: 'south',
    };
    // Accepted whole by a version that splits no descriptions, before the limits fall.
    site.version = DEPENDENCIES_VERSION;
    expect(await site.submit({ ref: 'j-000002', team: 'blue', runS: 30, ...long })).toBe(201);
    expect(await site.submit({ ref: 'j-000003', team: 'blue', runS: 200, ...long })).toBe(201);
    expect(longest(site)).toBeGreaterThan(NEXT.value_kb * 1024);
    fall(site);
    expect(await site.submit({ ref: REF, runS: 20, ...long })).toBe(503);
    site.version = PROTOCOL_VERSION;
    expect(await site.submit({ ref: REF, runS: 20, ...long })).toBe(201);
    expect(await site.submit({ ref: 'j-000004', runS: 5, awaits: [REF], ...long }, 'node-1')).toBe(201);
    await runUntil(site, () => site.runningTaskCount(REF) === 1 && site.runningTaskCount('j-000003') === 1);
    site.crash(site.leader as string);
    await runUntil(site, () => site.leader !== undefined, 10);
    const node = site.leader as string;
    expect(await site.cancel('j-000003', node)).toBe('cancelled');
    await runUntil(site, () => site.store.value('open/j-000004') === undefined, 90);
    await site.run(5);
    for (const ref of [REF, 'j-000002', 'j-000004']) expect(await site.query(ref, node)).toBe('done');
    expect([...site.store.keys.keys()].filter((key) => /^(open|desc|deps)\//.test(key))).toEqual([]);
    // The write of the one that came too long to an earlier version.
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('are probed once requests are rate-limited: load lowers nothing, a lowered limit is remembered', async () => {
    const clock = new VirtualClock();
    const settings = { storeLimits: limitsOf(60, 16), announcedStoreLimits: limitsOf(30, 5) };
    const state = new FakeKeyValueStore(clock);
    const limits = new StoreLimits(settings, clock, limitProbe(state.clientFor('node-0', clock), settings));
    const refused = new StoreRefusedError('state answered 429', { isRateLimited: true });
    limits.recordFailure(refused);
    // At once, until the service has answered.
    expect(limits.writeRps).toBe(30);
    await clock.advance(100);
    expect(limits.writeRps).toBe(60);
    await clock.advance(3000);
    state.sizeLimits = { txnOps: 5, valueBytes: 2048 };
    state.isUnavailable = true;
    limits.recordFailure(refused);
    await clock.advance(1500);
    expect(limits.writeRps).toBe(30);
    state.isUnavailable = false;
    await clock.advance(600_000);
    expect(limits.writeRps).toBe(30);
    expect(state.limitProbeCount).toBe(1);
    expect(state.rejectedTransactions).toEqual([]);
  });

  it('are kept to by entries that are longer than reckoned: fewer of them share a record then', async () => {
    const site = large({ value_kb: 1, txn_ops: 5 });
    site.cloud.idDigits = 120;
    site.startAll();
    await site.run(1);
    site.store.sizeLimits = { txnOps: 5, valueBytes: 1024 };
    await site.submit({ ref: REF, tasks: 60, runS: 20 });
    await done(site);
    expect(longest(site)).toBeLessThanOrEqual(1024);
    // Each refusal halves what shares a record: no loop.
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(8);
  });

  it('fall during an outage', async () => {
    const site = large(NEXT);
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASKS, runS: 25 });
    await runUntil(site, () => site.runningTaskCount(REF) > 200);
    site.store.isUnavailable = true;
    await site.run(12);
    fall(site);
    site.store.isUnavailable = false;
    await done(site);
    // Once, not in a loop.
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
  });
});

describe('limits that are not announced', () => {
  it('stay as they are: records are as every version writes them', async () => {
    const site = large();
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASKS, runS: 10 });
    await runUntil(site, () => site.runningTaskCount(REF) > 100);
    expect(site.store.value(`open/${REF}/0000`)).toBeDefined();
    await done(site);
  });
});
