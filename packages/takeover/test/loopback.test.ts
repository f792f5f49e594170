import { buildController, FailoverMode, Laboratory } from '@plumyoke/simulation';
import type { UnitId } from '@plumyoke/takeover';
import { afterEach, beforeAll, describe, expect, it } from 'vitest';

/**
 * Real processes on loopback, killed, stopped and cut off. Ownership is asserted, times are not: the machine may be
 * busy. `npm run measure:takeover` measures the same.
 */
const UNIT = 'unit-0' as UnitId;
const PATIENCE_MS = 60_000;
const LOOK_EVERY_MS = 50;
/** Longer than it takes to suspect a controller. */
const STABLE_MS = 1500;

let program = '';
beforeAll(async () => {
  program = await buildController();
});

const laboratories: Laboratory[] = [];
afterEach(() => laboratories.splice(0).forEach((laboratory) => laboratory.close()));

async function until(what: string, holds: () => boolean): Promise<void> {
  const end = performance.now() + PATIENCE_MS;
  while (!holds()) {
    if (performance.now() > end) throw new Error(`not within ${PATIENCE_MS / 1000} s: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, LOOK_EVERY_MS));
  }
}

/** Started, every unit served, and every controller seen alive by all others. */
async function laboratory(controllers = 3): Promise<Laboratory> {
  const started = new Laboratory({ controllers, units: 2, mode: FailoverMode.Membership, program });
  laboratories.push(started);
  await started.start();
  await until('all units are served', () => started.units.every((unit) => started.served(unit) !== null));
  await until('all see all', () => sightings(started, 'alive') >= controllers * (controllers - 1));
  return started;
}

function sightings({ events }: Laboratory, state: string): number {
  return new Set(
    events.filter(({ to }) => to === state).map(({ observer, subject }) => `${observer} ${subject}`),
  ).size;
}

function owner(laboratory: Laboratory): string {
  return laboratory.served(UNIT)?.member ?? '';
}

async function untilReplaced(laboratory: Laboratory, former: string): Promise<void> {
  await until(`another than ${former} serves`, () => owner(laboratory) !== former);
}

/** Whether every controller's last word on every other is that it is alive. */
function viewsAgree({ events, members }: Laboratory): boolean {
  const latest = new Map<string, string>();
  for (const { observer, subject, to } of events) latest.set(`${observer} ${subject}`, to);
  return members.every((a) => members.every((b) => a === b || latest.get(`${a} ${b}`) === 'alive'));
}

/** The views agree, and go on agreeing for a while: a suspicion that is still to come would show. */
async function settle(laboratory: Laboratory): Promise<void> {
  laboratory.heal();
  let agreedSince = performance.now();
  await until('the views agree, and stay so', () => {
    if (!viewsAgree(laboratory)) agreedSince = performance.now();
    return performance.now() - agreedSince > STABLE_MS;
  });
  expect(laboratory.history.check()).toEqual([]);
}

describe('processes on loopback', () => {
  it(
    'a killed owner is replaced, and back within 200 ms it is a follower',
    async () => {
      const running = await laboratory();
      const former = owner(running);
      running.kill(former);
      await new Promise((resolve) => setTimeout(resolve, 200));
      running.spawn(former);
      const epoch = running.served(UNIT)?.epoch ?? 0;
      await until('the unit has another owner process', () => (running.served(UNIT)?.epoch ?? 0) > epoch);
      await settle(running);
    },
    PATIENCE_MS * 3,
  );

  it(
    'an owner that is stopped for longer than the suspicion period is replaced, and its late effects are refused',
    async () => {
      const running = await laboratory();
      const former = owner(running);
      running.stopProcess(former);
      await untilReplaced(running, former);
      const successor = owner(running);
      running.continueProcess(former);
      await until('the former owner says that it was replaced', () =>
        running.events.some(
          ({ observer, kind, to }) =>
            observer === former && kind === 'warning' && to.includes('another controller took over unit-0'),
        ),
      );
      expect(owner(running)).toBe(successor);
      await settle(running);
    },
    PATIENCE_MS * 3,
  );

  it(
    'an owner that hears all and is heard by none is replaced once the store refuses it, too',
    async () => {
      const running = await laboratory();
      const former = owner(running);
      running.mute(former);
      await until('the others find it failed', () =>
        running.events.some(({ subject, to }) => subject === former && to === 'failed'),
      );
      // It shows through the store that it lives.
      expect(owner(running)).toBe(former);
      running.store.refused.add(former);
      await untilReplaced(running, former);
      await settle(running);
    },
    PATIENCE_MS * 3,
  );

  it(
    'an owner that is heard and hears none keeps its units',
    async () => {
      const running = await laboratory();
      const former = owner(running);
      running.deafen(former);
      await until('the others suspect it', () =>
        running.events.some(({ subject, to }) => subject === former && to === 'suspect'),
      );
      expect(running.events.some(({ subject, to }) => subject === former && to === 'failed')).toBe(false);
      expect(owner(running)).toBe(former);
      await settle(running);
      expect(owner(running)).toBe(former);
    },
    PATIENCE_MS * 3,
  );

  it(
    'the survivor is killed as soon as it has claimed: the next one takes over',
    async () => {
      const running = await laboratory(5);
      const former = owner(running);
      running.kill(former);
      await untilReplaced(running, former);
      const second = owner(running);
      running.kill(second);
      await until('a third owner serves', () => ![former, second].includes(owner(running)));
      await settle(running);
    },
    PATIENCE_MS * 3,
  );

  it(
    'all but one are stopped: the one takes nothing, and afterwards every unit has one owner',
    async () => {
      const running = await laboratory();
      const former = owner(running);
      const epoch = running.served(UNIT)?.epoch;
      const others = running.members.filter((member) => member !== former);
      const [only] = others as [string];
      for (const member of running.members) if (member !== only) running.stopProcess(member);
      await until('the one suspects the others', () =>
        others
          .concat(former)
          .every(
            (member) =>
              member === only ||
              running.events.some(
                ({ observer, subject, to }) => observer === only && subject === member && to === 'suspect',
              ),
          ),
      );
      expect(running.served(UNIT)?.epoch).toBe(epoch);
      await settle(running);
    },
    PATIENCE_MS * 3,
  );
});
