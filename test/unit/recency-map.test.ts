import { describe, expect, it } from 'vitest';
import { RecencyMap } from '../../src/api/recency-map.js';
import { VirtualClock } from '../simulation/clock.js';

describe('RecencyMap', () => {
  it('evicts the entry that has not been used for longest when it is full', () => {
    const map = new RecencyMap<string, number>(new VirtualClock(), 2);
    map.set('a', 1);
    map.set('b', 2);
    expect(map.get('a')).toBe(1);
    map.set('c', 3);
    expect([map.has('a'), map.has('b'), map.has('c')]).toEqual([true, false, true]);
  });

  it('evicts idle entries, but none that is asked for, however long memory is scarce', async () => {
    const clock = new VirtualClock();
    const map = new RecencyMap<string, number>(clock, 10);
    map.set('polled', 1);
    map.set('idle', 2);
    let evicted = 0;
    for (let second = 0; second < 60; second++) {
      await clock.advance(1000);
      if (second % 5 === 0) map.get('polled');
      evicted += map.evictIdle(30_000);
    }
    expect([map.has('polled'), map.has('idle'), evicted, map.size]).toEqual([true, false, 1, 1]);
  });
});
