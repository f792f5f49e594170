import { describe, expect, it } from 'vitest';
import { YieldingWorkQueue } from '../../src/net/work-queue.js';

describe('YieldingWorkQueue', () => {
  // A socket brings hundreds of heartbeats at once; a lease renewal must not wait for all of them.
  it('gives turns in order, a few at a time, and lets other work run between them', async () => {
    const deferred: (() => void)[] = [];
    const queue = new YieldingWorkQueue((run) => deferred.push(run), 3);
    const done: number[] = [];
    const all = Array.from({ length: 7 }, (_, index) => queue.turn().then(() => done.push(index)));
    const counts: number[] = [];
    for (let run = deferred.shift(); run; run = deferred.shift()) {
      run();
      await new Promise((resolve) => setImmediate(resolve));
      counts.push(done.length);
    }
    await Promise.all(all);
    expect(counts).toEqual([3, 6, 7]);
    expect(done).toEqual([0, 1, 2, 3, 4, 5, 6]);
    void queue.turn();
    expect(deferred).toHaveLength(1);
  });
});
