import { describe, expect, it } from 'vitest';
import { LoadMonitor } from '../../src/controller/load-monitor.js';
import { VirtualClock } from '../simulation/clock.js';

describe('LoadMonitor', () => {
  it('reports a load near 1 for a busy event loop and near 0 for an idle one', async () => {
    const clock = new VirtualClock();
    const eventLoop = { idle: 0, active: 0 };
    const monitor = new LoadMonitor(clock, () => ({ ...eventLoop }));
    for (let i = 0; i < 8; i++) {
      eventLoop.active += 500;
      await clock.advance(500);
    }
    expect(monitor.load).toBeGreaterThan(0.95);
    for (let i = 0; i < 8; i++) {
      eventLoop.idle += 500;
      await clock.advance(500);
    }
    expect(monitor.load).toBeLessThan(0.05);
  });
});
