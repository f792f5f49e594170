import { describe, expect, it } from 'vitest';
import { allocateSockets } from '../../src/net/socket-allocation.js';

describe('the allocation of sockets', () => {
  it.each([
    [2500, 2],
    [1200, 4],
    [300, 2],
  ])('allocates no more than %i sockets with %i peers', (maxSockets, peerCount) => {
    const shares = allocateSockets(maxSockets, peerCount);
    const { front, store, storeWatches, cloud, workers } = shares;
    expect(front + shares.peers + peerCount + store + storeWatches + cloud + workers).toBeLessThanOrEqual(
      maxSockets,
    );
    expect(front).toBeGreaterThan(maxSockets * 0.4);
  });
});
