import { describe, expect, it } from 'vitest';
import { type HeartbeatFrameKind, HeartbeatRouter } from '../../src/controller/heartbeat-router.js';
import type { MemberId } from '../../src/model/ids.js';
import { FrameKind } from '../../src/peer/frames.js';
import type { Peer } from '../../src/peer/peer.js';
import { VirtualClock } from '../simulation/clock.js';

const MALFORMED_HEARTBEAT = Buffer.from('{"host":7}');

interface HeartbeatRouters {
  readonly follower: HeartbeatRouter;
  readonly leader: HeartbeatRouter;
}

/** Creates the routers of a leader and of a follower whose link to the leader calls the leader's router directly. */
function createRouters(): HeartbeatRouters {
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
  // Guards against a follower that answers a malformed heartbeat with 503: the worker would then retry the heartbeat
  // with every controller.
  it('answers 400 with the name of the invalid field, as a follower and as the leader', async () => {
    const { follower, leader } = createRouters();
    const leaderAnswer = await leader.handle(MALFORMED_HEARTBEAT);
    expect(leaderAnswer.status).toBe(400);
    expect(leaderAnswer.body?.toString()).toContain('host');
    expect(await follower.handle(MALFORMED_HEARTBEAT)).toEqual(leaderAnswer);
  });

  it('answers 400 through a third controller as well', async () => {
    const { leader } = createRouters();
    const answer = await leader.handleFromPeer(
      FrameKind.ForwardedHeartbeat,
      MALFORMED_HEARTBEAT,
      'c' as MemberId,
    );
    expect(answer?.status).toBe(400);
  });
});
