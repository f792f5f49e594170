import { type MemberId, PeerSupport } from '@plumyoke/membership';
import { describe, expect, it } from 'vitest';
import { FAILURE_DETECTION_OFF_STATUS } from '../../src/leadership/failover/detection-status.js';
import { PeerTransport } from '../../src/leadership/failover/peer-transport.js';
import type { MemberId as ControllerId } from '../../src/model/ids.js';
import type { FrameKind } from '../../src/peer/frames.js';
import type { Peer } from '../../src/peer/peer.js';
import { VirtualClock } from '../simulation/clock.js';

/** A peer that responds to everything, and the kinds of frames that it was sent. */
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
  const B = 'b' as MemberId;
  const nothing = new Uint8Array();

  // An earlier version closes the connection on a kind that it does not know, and with it everything else that is said there.
  it('never sends to a peer of an earlier version', async () => {
    const { peer: old, requested } = respondingPeer({ supports: () => false });
    const transport = new PeerTransport([old], new VirtualClock());
    expect(transport.support(B)).toBe(PeerSupport.Unsupported);
    expect(await transport.request(B, nothing, 100)).toBeNull();
    expect(requested).toEqual([]);
  });

  it('tells a peer without failure detection from one that is unresponsive', async () => {
    const clock = new VirtualClock();
    const off = { status: FAILURE_DETECTION_OFF_STATUS, body: Buffer.alloc(0) };
    const { peer: disabled } = respondingPeer({ request: () => Promise.resolve(off) });
    const transport = new PeerTransport([disabled], clock);
    expect(transport.support(B)).toBe(PeerSupport.Supported);
    expect(await transport.request(B, nothing, 100)).toBeNull();
    expect(transport.support(B)).toBe(PeerSupport.Unsupported);
    await clock.advance(6000);
    expect(transport.support(B)).toBe(PeerSupport.Supported);
    const { peer: unresponsive } = respondingPeer({ request: () => Promise.resolve(null) });
    const other = new PeerTransport([unresponsive], clock);
    expect(await other.request(B, nothing, 100)).toBeNull();
    expect(other.support(B)).toBe(PeerSupport.Supported);
  });
});
