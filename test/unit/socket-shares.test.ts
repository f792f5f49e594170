import { describe, expect, it } from 'vitest';
import { shareSockets } from '../../src/net/socket-shares.js';

describe('shareSockets', () => {
  it.each([
    [2500, 2],
    [1200, 4],
    [300, 2],
  ])('never shares a socket out twice (%i, %i peers)', (sockets, peers) => {
    const shares = shareSockets(sockets, peers);
    const { front, store, storeWatches, cloud, workers } = shares;
    expect(front + shares.peers + peers + store + storeWatches + cloud + workers).toBeLessThanOrEqual(
      sockets,
    );
    expect(front).toBeGreaterThan(sockets * 0.4);
  });
});
