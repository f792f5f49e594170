import { buildController, FailoverMode, LoopbackCluster } from '@plumyoke/simulation';
import type { UnitId } from '@plumyoke/takeover';
import { afterEach, beforeAll, describe, expect, it } from 'vitest';

/**
 * Controllers as real processes on loopback that are killed, paused and partitioned. The tests assert ownership but no
 * takeover times, because the machine may be busy; `npm run measure:takeover` measures the times.
 */
const UNIT = 'unit-0' as UnitId;
const TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
/** How long all views must agree. Longer than the failure detector needs to suspect a controller. */
const STABLE_MS = 1500;

let program = '';
beforeAll(async () => {
  program = await buildController();
});

const clusters: LoopbackCluster[] = [];
afterEach(() => clusters.splice(0).forEach((cluster) => cluster.close()));

async function waitUntil(description: string, condition: () => boolean): Promise<void> {
  const end = performance.now() + TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > end)
      throw new Error(`condition not met within ${TIMEOUT_MS / 1000} s: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Starts a cluster and waits until every unit is served and every controller has reported all others as alive. */
async function startCluster(controllers = 3): Promise<LoopbackCluster> {
  const started = new LoopbackCluster({ controllers, units: 2, mode: FailoverMode.Membership, program });
  clusters.push(started);
  await started.start();
  await waitUntil('all units are served', () =>
    started.units.every((unit) => started.servingOwner(unit) !== null),
  );
  await waitUntil(
    'all controllers see all others',
    () => countViews(started, 'alive') >= controllers * (controllers - 1),
  );
  return started;
}

function countViews({ events }: LoopbackCluster, state: string): number {
  return new Set(
    events.filter(({ to }) => to === state).map(({ observer, subject }) => `${observer} ${subject}`),
  ).size;
}

function owner(cluster: LoopbackCluster): string {
  return cluster.servingOwner(UNIT)?.member ?? '';
}

async function untilReplaced(cluster: LoopbackCluster, previousOwner: string): Promise<void> {
  await waitUntil(`a controller other than ${previousOwner} serves`, () => owner(cluster) !== previousOwner);
}

/** Returns whether every controller has last reported every other as alive. */
function viewsAgree({ events, members }: LoopbackCluster): boolean {
  const latest = new Map<string, string>();
  for (const { observer, subject, to } of events) latest.set(`${observer} ${subject}`, to);
  return members.every((observer) =>
    members.every((subject) => observer === subject || latest.get(`${observer} ${subject}`) === 'alive'),
  );
}

/** Ends all faults and waits until the views have agreed for `STABLE_MS`, so that a late suspicion is detected. */
async function settle(cluster: LoopbackCluster): Promise<void> {
  cluster.endFaults();
  let agreedSince = performance.now();
  await waitUntil('all controllers keep reporting each other as alive', () => {
    if (!viewsAgree(cluster)) agreedSince = performance.now();
    return performance.now() - agreedSince > STABLE_MS;
  });
  expect(cluster.history.getViolations()).toEqual([]);
}

describe('controllers as processes on loopback', () => {
  it(
    'replace a killed owner process under a higher epoch when its controller restarts after 200 ms',
    async () => {
      const cluster = await startCluster();
      const initialOwner = owner(cluster);
      cluster.kill(initialOwner);
      await new Promise((resolve) => setTimeout(resolve, 200));
      cluster.spawn(initialOwner);
      const epoch = cluster.servingOwner(UNIT)?.epoch ?? 0;
      await waitUntil(
        'the unit has another owner process',
        () => (cluster.servingOwner(UNIT)?.epoch ?? 0) > epoch,
      );
      await settle(cluster);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'replace an owner that is paused for longer than the suspicion period, and let the owner report its replacement',
    async () => {
      const cluster = await startCluster();
      const initialOwner = owner(cluster);
      cluster.pause(initialOwner);
      await untilReplaced(cluster, initialOwner);
      const successor = owner(cluster);
      cluster.resume(initialOwner);
      await waitUntil('the initial owner reports that it was replaced', () =>
        cluster.events.some(
          ({ observer, kind, to }) =>
            observer === initialOwner &&
            kind === 'warning' &&
            to.includes('another controller took over unit-0'),
        ),
      );
      expect(owner(cluster)).toBe(successor);
      await settle(cluster);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'replace an owner with an outbound partition once the store refuses its requests as well',
    async () => {
      const cluster = await startCluster();
      const initialOwner = owner(cluster);
      cluster.cutOutbound(initialOwner);
      await waitUntil('the other controllers declare the owner failed', () =>
        cluster.events.some(({ subject, to }) => subject === initialOwner && to === 'failed'),
      );
      // The heartbeats that the owner writes to the store prevent its replacement.
      expect(owner(cluster)).toBe(initialOwner);
      cluster.store.refusedClients.add(initialOwner);
      await untilReplaced(cluster, initialOwner);
      await settle(cluster);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'do not replace an owner with an inbound partition',
    async () => {
      const cluster = await startCluster();
      const initialOwner = owner(cluster);
      cluster.cutInbound(initialOwner);
      await waitUntil('the other controllers suspect the owner', () =>
        cluster.events.some(({ subject, to }) => subject === initialOwner && to === 'suspect'),
      );
      expect(cluster.events.some(({ subject, to }) => subject === initialOwner && to === 'failed')).toBe(
        false,
      );
      expect(owner(cluster)).toBe(initialOwner);
      await settle(cluster);
      expect(owner(cluster)).toBe(initialOwner);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'let the next survivor take over when the first successor is killed after its claim',
    async () => {
      const cluster = await startCluster(5);
      const initialOwner = owner(cluster);
      cluster.kill(initialOwner);
      await untilReplaced(cluster, initialOwner);
      const secondOwner = owner(cluster);
      cluster.kill(secondOwner);
      await waitUntil('a third owner serves', () => ![initialOwner, secondOwner].includes(owner(cluster)));
      await settle(cluster);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'do not let a single running controller take over a unit, and agree again once the others resume',
    async () => {
      const cluster = await startCluster();
      const initialOwner = owner(cluster);
      const epoch = cluster.servingOwner(UNIT)?.epoch;
      const others = cluster.members.filter((member) => member !== initialOwner);
      const [survivor] = others as [string];
      for (const member of cluster.members) if (member !== survivor) cluster.pause(member);
      await waitUntil('the survivor suspects all other controllers', () =>
        others
          .concat(initialOwner)
          .every(
            (member) =>
              member === survivor ||
              cluster.events.some(
                ({ observer, subject, to }) =>
                  observer === survivor && subject === member && to === 'suspect',
              ),
          ),
      );
      expect(cluster.servingOwner(UNIT)?.epoch).toBe(epoch);
      await settle(cluster);
    },
    TIMEOUT_MS * 3,
  );
});
