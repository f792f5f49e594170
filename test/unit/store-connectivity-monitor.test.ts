import { describe, expect, it } from 'vitest';
import { StoreConnectivityMonitor } from '../../src/controller/store-connectivity-monitor.js';
import { VirtualClock } from '../simulation/clock.js';

describe('StoreConnectivityMonitor', () => {
  it('counts as partitioned only when this controller alone reaches nobody', async () => {
    const clock = new VirtualClock();
    const connectivity = new StoreConnectivityMonitor(clock);
    connectivity.recordCall(true);
    await clock.advance(10_000);
    connectivity.recordCall(false);
    // an outage that the others share
    expect(connectivity.isPartitioned([{ isConnected: true }, { isConnected: false }])).toBe(false);
    expect(connectivity.isPartitioned([{ isConnected: false }, { isConnected: false }])).toBe(true);
    connectivity.recordCall(true);
    expect(connectivity.isPartitioned([{ isConnected: false }])).toBe(false);
    // a site of one node has nobody to hand over to
    expect(connectivity.isPartitioned([])).toBe(false);
  });
});
