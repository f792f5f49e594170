import { describe, expect, it } from 'vitest';
import { Admission } from '../../src/api/admission.js';
import { MemoryMonitor } from '../../src/controller/memory-monitor.js';
import { VirtualClock } from '../simulation/clock.js';

describe('MemoryMonitor', () => {
  it('drops caches and refuses submissions while memory is scarce, and admits them again afterwards', async () => {
    const clock = new VirtualClock();
    const heap = { used_heap_size: 50, heap_size_limit: 100 };
    let cacheDropCount = 0;
    const memory = new MemoryMonitor(
      clock,
      () => cacheDropCount++,
      () => ({ ...heap }),
    );
    const admission = new Admission(clock, { submission: 1, query: 1 }, () => memory.isScarce);
    const admitAfterSample = async (): Promise<boolean[]> => {
      await clock.advance(1000);
      return (['submission', 'query'] as const).map((rank) => {
        const isAdmitted = admission.tryAcquire(rank);
        if (isAdmitted) admission.release(rank);
        return isAdmitted;
      });
    };
    expect(await admitAfterSample()).toEqual([true, true]);
    heap.used_heap_size = 95;
    expect(await admitAfterSample()).toEqual([false, true]);
    expect(cacheDropCount).toBe(1);
    heap.used_heap_size = 50;
    expect(await admitAfterSample()).toEqual([true, true]);
  });
});
