import { type MemberId, PeerSupport } from '@plumyoke/membership';
import { describe, expect, it } from 'vitest';
import { FAILURE_DETECTION_OFF_STATUS } from '../../src/leadership/failover/detection-status.js';
import { PeerTransport } from '../../src/leadership/failover/peer-transport.js';
import type { MemberId as ControllerId } from '../../src/model/ids.js';
import type { FrameKind } from '../../src/peer/frames.js';
import type { Peer } from '../../src/peer/peer.js';
import { VirtualClock } from '../simulation/clock.js';

/** Creates a peer that responds to every request, and a list of the frame kinds of these requests. */
function respondingPeer(overrides: Partial<Peer>): { peer: Peer; requested: FrameKind[] } {
  const requested: FrameKind[] = [];
  const peer: Peer = {
    member: 'b' as ControllerId,
    lastPing: null,
    isConnected: true,
    hasSpareCapacity: true,
    supports: () => true,
    request: (kind) => {
      requested.push(kind);
      return Promise.resolve({ status: 200, body: Buffer.from('answer') });
    },
    ...overrides,
  };
  return { peer, requested };
}

describe('PeerTransport', () => {
  const PEER = 'b' as MemberId;
  const emptyPayload = new Uint8Array();

  // A controller of an earlier version closes the connection on an unknown frame kind, which also fails all other
  // requests on that connection.
  it('never sends failure detection messages to a peer of an earlier version', async () => {
    const { peer: earlierVersionPeer, requested } = respondingPeer({ supports: () => false });
    const transport = new PeerTransport([earlierVersionPeer], new VirtualClock());
    expect(transport.support(PEER)).toBe(PeerSupport.Unsupported);
    expect(await transport.request(PEER, emptyPayload, 100)).toBeNull();
    expect(requested).toEqual([]);
  });

  it('distinguishes a peer without failure detection from an unresponsive peer', async () => {
    const clock = new VirtualClock();
    const disabledResponse = { status: FAILURE_DETECTION_OFF_STATUS, body: Buffer.alloc(0) };
    const { peer: disabledPeer } = respondingPeer({ request: () => Promise.resolve(disabledResponse) });
    const transport = new PeerTransport([disabledPeer], clock);
    expect(transport.support(PEER)).toBe(PeerSupport.Supported);
    expect(await transport.request(PEER, emptyPayload, 100)).toBeNull();
    expect(transport.support(PEER)).toBe(PeerSupport.Unsupported);
    await clock.advance(6000);
    expect(transport.support(PEER)).toBe(PeerSupport.Supported);
    const { peer: unresponsivePeer } = respondingPeer({ request: () => Promise.resolve(null) });
    const unresponsiveTransport = new PeerTransport([unresponsivePeer], clock);
    expect(await unresponsiveTransport.request(PEER, emptyPayload, 100)).toBeNull();
    expect(unresponsiveTransport.support(PEER)).toBe(PeerSupport.Supported);
  });
});
