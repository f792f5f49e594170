import { describe, expect, it } from 'vitest';
import type { LeaderContext } from '../../src/core/context.js';
import { defaultOperators } from '../../src/config/operators.js';
import type { HostId, TypeId, ZoneId } from '../../src/model/ids.js';
import { seconds } from '../../src/model/time.js';
import { NoAnswer } from '../../src/net/http-client.js';
import { Health } from '../../src/workers/failure-detector.js';
import { type Host } from '../../src/workers/state/worker.js';
import { HostRegistry } from '../../src/workers/state/worker-registry.js';
import { VirtualClock } from '../standins/clock.js';
import { hostOf } from '../standins/host.js';

/** Three machines, one of them silent; whether it is fenced when a probe fails after `failsMs`. */
async function fenced(failsMs: number): Promise<boolean> {
  const clock = new VirtualClock();
  const hosts = new HostRegistry();
  for (const name of ['a', 'b', 'c']) {
    const machine = { id: name as HostId, type: 'small' as TypeId, zone: 'north' as ZoneId, spot: false };
    const host = hostOf(machine, clock.now());
    host.up = true;
    host.known = true;
    host.address = `${name}:1`;
    hosts.add(host);
  }
  let fence = false;
  const ctx = {
    clock,
    hosts,
    startedAt: clock.now(),
    ops: defaultOperators(),
    settings: { reportEvery: seconds(3), workerLease: seconds(20) },
    ended: () => false,
    workerCalls: 64,
    load: () => 0,
    workers: {
      show: () =>
        new Promise((_, reject) => clock.after(failsMs, () => reject(new NoAnswer('deadline passed')))),
    },
  } as unknown as LeaderContext;
  const health = new Health(
    ctx,
    0,
    () => {},
    () => {
      fence = true;
    },
    () => {},
  );
  for (let tick = 0; tick < 24; tick++) {
    await clock.advance(500);
    for (const id of ['b', 'c']) {
      const host = hosts.get(id as HostId) as Host;
      host.contactAt = clock.now();
      health.heard(host, clock.now());
    }
    health.tick(clock.now());
  }
  return fence;
}

describe('a silent machine', () => {
  it('is fenced when it does not answer in time', async () => {
    expect(await fenced(800)).toBe(true);
  });

  it('is not accused when the deadline was noticed late: its answer may lie unread', async () => {
    expect(await fenced(2000)).toBe(false);
  });
});
