import { describe, expect, it } from 'vitest';
import { StoreConnectivityMonitor } from '../../src/controller/store-connectivity-monitor.js';
import { VirtualClock } from '../simulation/clock.js';

describe('StoreConnectivityMonitor', () => {
  it('reports a partition only if neither the store nor any of the configured peers is reachable', async () => {
    const clock = new VirtualClock();
    const connectivity = new StoreConnectivityMonitor(clock);
    connectivity.recordCall(true);
    await clock.advance(10_000);
    connectivity.recordCall(false);
    // While a peer is connected, the failed calls indicate an outage of the store, which affects all controllers.
    expect(connectivity.isPartitioned([{ isConnected: true }, { isConnected: false }])).toBe(false);
    expect(connectivity.isPartitioned([{ isConnected: false }, { isConnected: false }])).toBe(true);
    connectivity.recordCall(true);
    expect(connectivity.isPartitioned([{ isConnected: false }])).toBe(false);
    // A site with a single controller has no other controller that could serve the users.
    expect(connectivity.isPartitioned([])).toBe(false);
  });
});
