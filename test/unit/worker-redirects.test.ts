import { describe, expect, it } from 'vitest';
import { WorkerRedirects } from '../../src/controller/worker-redirects.js';
import type { MachineId, MemberId } from '../../src/model/ids.js';
import { VirtualClock } from '../simulation/clock.js';

describe('WorkerRedirects', () => {
  const others = ['b', 'c'] as MemberId[];
  const worker = (index: number): MachineId => `host-${index}` as MachineId;

  it("redirects a busy leader's workers to the other controllers in turn, and no worker of an idle one", () => {
    const clock = new VirtualClock();
    let load = 0.9;
    const redirects = new WorkerRedirects(clock, () => load);
    const targets = [1, 2, 3, 4].map((index) => redirects.targetFor(worker(index), others));
    expect(new Set(targets)).toEqual(new Set(others));
    expect(redirects.targetFor(worker(5), [])).toBeNull();
    load = 0.3;
    expect(redirects.targetFor(worker(6), others)).toBeNull();
  });

  // A follower that cannot pass reports on would send the worker back, and its lease would run out between the two.
  it('keeps a worker that comes back soon', async () => {
    const clock = new VirtualClock();
    const redirects = new WorkerRedirects(clock, () => 1);
    expect(redirects.targetFor(worker(1), others)).not.toBeNull();
    await clock.advance(2000);
    expect(redirects.targetFor(worker(1), others)).toBeNull();
    await clock.advance(200_000);
    expect(redirects.targetFor(worker(1), others)).not.toBeNull();
  });
});
