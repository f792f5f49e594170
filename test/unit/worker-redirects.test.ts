import { describe, expect, it } from 'vitest';
import { WorkerRedirects } from '../../src/controller/worker-redirects.js';
import type { MachineId, MemberId } from '../../src/model/ids.js';
import { VirtualClock } from '../simulation/clock.js';

describe('WorkerRedirects', () => {
  const otherControllers = ['b', 'c'] as MemberId[];
  const workerId = (index: number): MachineId => `host-${index}` as MachineId;

  it("redirects a busy leader's workers to the other controllers round-robin, and no worker of an idle leader", () => {
    const clock = new VirtualClock();
    let load = 0.9;
    const redirects = new WorkerRedirects(clock, () => load);
    const targets = [1, 2, 3, 4].map((index) => redirects.targetFor(workerId(index), otherControllers));
    expect(new Set(targets)).toEqual(new Set(otherControllers));
    expect(redirects.targetFor(workerId(5), [])).toBeNull();
    load = 0.3;
    expect(redirects.targetFor(workerId(6), otherControllers)).toBeNull();
  });

  // A follower that can't forward heartbeats sends the worker back. If the leader redirected the worker again, the
  // worker's lease would expire between the two controllers.
  it('does not redirect a worker again that returns soon after a redirect', async () => {
    const clock = new VirtualClock();
    const redirects = new WorkerRedirects(clock, () => 1);
    expect(redirects.targetFor(workerId(1), otherControllers)).not.toBeNull();
    await clock.advance(2000);
    expect(redirects.targetFor(workerId(1), otherControllers)).toBeNull();
    await clock.advance(200_000);
    expect(redirects.targetFor(workerId(1), otherControllers)).not.toBeNull();
  });
});
