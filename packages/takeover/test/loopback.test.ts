import { buildController, FailoverMode, LoopbackCluster } from '@plumyoke/simulation';
import type { UnitId } from '@plumyoke/takeover';
import { afterEach, beforeAll, describe, expect, it } from 'vitest';

/**
 * Real processes on loopback that are killed, paused and cut off. Ownership is asserted, times are not: the machine may
 * be busy. `npm run measure:takeover` measures the times.
 */
const UNIT = 'unit-0' as UnitId;
const TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
/** Longer than it takes to suspect a controller. */
const STABLE_MS = 1500;

let program = '';
beforeAll(async () => {
  program = await buildController();
});

const clusters: LoopbackCluster[] = [];
afterEach(() => clusters.splice(0).forEach((cluster) => cluster.close()));

async function until(description: string, condition: () => boolean): Promise<void> {
  const end = performance.now() + TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`not within ${TIMEOUT_MS / 1000} s: ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Starts a cluster and waits until every unit is served and every controller sees all others alive. */
async function startCluster(controllers = 3): Promise<LoopbackCluster> {
  const started = new LoopbackCluster({ controllers, units: 2, mode: FailoverMode.Membership, program });
  clusters.push(started);
  await started.start();
  await until('all units are served', () =>
    started.units.every((unit) => started.servingOwner(unit) !== null),
  );
  await until(
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

async function untilReplaced(cluster: LoopbackCluster, former: string): Promise<void> {
  await until(`another than ${former} serves`, () => owner(cluster) !== former);
}

/** Returns whether every controller has last reported every other as alive. */
function viewsAgree({ events, members }: LoopbackCluster): boolean {
  const latest = new Map<string, string>();
  for (const { observer, subject, to } of events) latest.set(`${observer} ${subject}`, to);
  return members.every((observer) =>
    members.every((subject) => observer === subject || latest.get(`${observer} ${subject}`) === 'alive'),
  );
}

/** Ends all faults and waits until the views agree for some time: a late suspicion would show. */
async function settle(cluster: LoopbackCluster): Promise<void> {
  cluster.endFaults();
  let agreedSince = performance.now();
  await until('the views agree, and stay so', () => {
    if (!viewsAgree(cluster)) agreedSince = performance.now();
    return performance.now() - agreedSince > STABLE_MS;
  });
  expect(cluster.history.check()).toEqual([]);
}

describe('controllers as processes on loopback', () => {
  it(
    'replace a killed owner, which is a follower when it restarts within 200 ms',
    async () => {
      const running = await startCluster();
      const former = owner(running);
      running.kill(former);
      await new Promise((resolve) => setTimeout(resolve, 200));
      running.spawn(former);
      const epoch = running.servingOwner(UNIT)?.epoch ?? 0;
      await until(
        'the unit has another owner process',
        () => (running.servingOwner(UNIT)?.epoch ?? 0) > epoch,
      );
      await settle(running);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'replace an owner that is paused for longer than the suspicion period, and refuse its late effects',
    async () => {
      const running = await startCluster();
      const former = owner(running);
      running.pause(former);
      await untilReplaced(running, former);
      const successor = owner(running);
      running.resume(former);
      await until('the former owner reports that it was replaced', () =>
        running.events.some(
          ({ observer, kind, to }) =>
            observer === former && kind === 'warning' && to.includes('another controller took over unit-0'),
        ),
      );
      expect(owner(running)).toBe(successor);
      await settle(running);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'replace an owner with an outbound partition once the store refuses it as well',
    async () => {
      const running = await startCluster();
      const former = owner(running);
      running.cutOutbound(former);
      await until('the others declare it failed', () =>
        running.events.some(({ subject, to }) => subject === former && to === 'failed'),
      );
      // Its heartbeats in the store protect it.
      expect(owner(running)).toBe(former);
      running.store.refusedClients.add(former);
      await untilReplaced(running, former);
      await settle(running);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'spare an owner with an inbound partition',
    async () => {
      const running = await startCluster();
      const former = owner(running);
      running.cutInbound(former);
      await until('the others suspect it', () =>
        running.events.some(({ subject, to }) => subject === former && to === 'suspect'),
      );
      expect(running.events.some(({ subject, to }) => subject === former && to === 'failed')).toBe(false);
      expect(owner(running)).toBe(former);
      await settle(running);
      expect(owner(running)).toBe(former);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'let the next survivor take over when the first one is killed after its claim',
    async () => {
      const running = await startCluster(5);
      const former = owner(running);
      running.kill(former);
      await untilReplaced(running, former);
      const second = owner(running);
      running.kill(second);
      await until('a third owner serves', () => ![former, second].includes(owner(running)));
      await settle(running);
    },
    TIMEOUT_MS * 3,
  );

  it(
    'let a single running controller take nothing, and have one owner a unit afterwards',
    async () => {
      const running = await startCluster();
      const former = owner(running);
      const epoch = running.servingOwner(UNIT)?.epoch;
      const others = running.members.filter((member) => member !== former);
      const [survivor] = others as [string];
      for (const member of running.members) if (member !== survivor) running.pause(member);
      await until('the survivor suspects the others', () =>
        others
          .concat(former)
          .every(
            (member) =>
              member === survivor ||
              running.events.some(
                ({ observer, subject, to }) =>
                  observer === survivor && subject === member && to === 'suspect',
              ),
          ),
      );
      expect(running.servingOwner(UNIT)?.epoch).toBe(epoch);
      await settle(running);
    },
    TIMEOUT_MS * 3,
  );
});
