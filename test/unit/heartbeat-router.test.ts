import { describe, expect, it } from 'vitest';
import { type HeartbeatFrameKind, HeartbeatRouter } from '../../src/controller/heartbeat-router.js';
import type { MemberId } from '../../src/model/ids.js';
import { FrameKind } from '../../src/peer/frames.js';
import type { Peer } from '../../src/peer/peer.js';
import { VirtualClock } from '../simulation/clock.js';

const MALFORMED = Buffer.from('{"host":7}');

interface Nodes {
  readonly follower: HeartbeatRouter;
  readonly leader: HeartbeatRouter;
}

/** A leader, and a follower whose link to it leads straight into the leader's router. */
function nodes(): Nodes {
  const context = { member: 'a' as MemberId, clock: new VirtualClock(), load: () => 0 };
  const handleHeartbeat = () => Promise.resolve(null);
  const leader = new HeartbeatRouter({
    context,
    leadership: { isLeader: true, isLeaderObserved: true, handleHeartbeat },
    peers: { leaderLink: () => undefined, connected: [] },
  });
  const link: Peer = {
    member: 'a' as MemberId,
    lastPing: null,
    isConnected: true,
    hasSpareCapacity: false,
    supports: () => true,
    request: (kind, body) => leader.handleFromPeer(kind as HeartbeatFrameKind, body, 'b' as MemberId),
  };
  const follower = new HeartbeatRouter({
    context,
    leadership: { isLeader: false, isLeaderObserved: true, handleHeartbeat },
    peers: { leaderLink: () => link, connected: [link] },
  });
  return { leader, follower };
}

describe('HeartbeatRouter, with a malformed heartbeat', () => {
  // A follower answered it with 503, so that its worker went on trying every controller with it.
  it('answers 400 with the field at fault, as a follower and as the leader', async () => {
    const { follower, leader } = nodes();
    const straight = await leader.handle(MALFORMED);
    expect(straight.status).toBe(400);
    expect(straight.body?.toString()).toContain('host');
    expect(await follower.handle(MALFORMED)).toEqual(straight);
  });

  it('answers 400 through a third controller as well', async () => {
    const { leader } = nodes();
    const answer = await leader.handleFromPeer(FrameKind.ForwardedHeartbeat, MALFORMED, 'c' as MemberId);
    expect(answer?.status).toBe(400);
  });
});
