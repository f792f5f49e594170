import { describe, expect, it } from 'vitest';
import { LoadMonitor } from '../../src/controller/load-monitor.js';
import { VirtualClock } from '../simulation/clock.js';

describe('LoadMonitor', () => {
  it('tells a process that has used up its share from one that waits', async () => {
    const clock = new VirtualClock();
    const loop = { idle: 0, active: 0 };
    const monitor = new LoadMonitor(clock, () => ({ ...loop }));
    for (let i = 0; i < 8; i++) {
      loop.active += 500;
      await clock.advance(500);
    }
    expect(monitor.load).toBeGreaterThan(0.95);
    for (let i = 0; i < 8; i++) {
      loop.idle += 500;
      await clock.advance(500);
    }
    expect(monitor.load).toBeLessThan(0.05);
  });
});
