import { describe, expect, it } from 'vitest';
import { YieldingWorkQueue } from '../../src/net/yielding-work-queue.js';

describe('YieldingWorkQueue', () => {
  // One socket may deliver hundreds of heartbeats at once. If all of them ran in one iteration of the event loop, the
  // response to a lease renewal would be handled too late.
  it('admits callers in order, a few per event loop iteration, and lets other work run between them', async () => {
    const deferred: (() => void)[] = [];
    const queue = new YieldingWorkQueue((run) => deferred.push(run), 3);
    const admitted: number[] = [];
    const all = Array.from({ length: 7 }, (_, index) => queue.awaitTurn().then(() => admitted.push(index)));
    const admittedCounts: number[] = [];
    for (let run = deferred.shift(); run; run = deferred.shift()) {
      run();
      await new Promise((resolve) => setImmediate(resolve));
      admittedCounts.push(admitted.length);
    }
    await Promise.all(all);
    expect(admittedCounts).toEqual([3, 6, 7]);
    expect(admitted).toEqual([0, 1, 2, 3, 4, 5, 6]);
    void queue.awaitTurn();
    expect(deferred).toHaveLength(1);
  });
});
