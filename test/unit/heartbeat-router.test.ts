import { describe, expect, it } from 'vitest';
import type { ControllerContext } from '../../src/core/context.js';
import { HeartbeatRouter } from '../../src/controller/heartbeat-router.js';
import type { Leadership } from '../../src/controller/leadership.js';
import type { PeerGroup } from '../../src/controller/peer-group.js';
import { type AnswerFrame, FrameKind } from '../../src/peer/frames.js';
import type { PeerLink } from '../../src/peer/link.js';
import { VirtualClock } from '../simulation/clock.js';

const MALFORMED = Buffer.from('{"host":7}');

interface Nodes {
  readonly follower: HeartbeatRouter;
  readonly leader: HeartbeatRouter;
}

/** A follower whose link to the leader leads straight into the leader's router. */
function nodes(): Nodes {
  const context = { member: 'a', clock: new VirtualClock(), load: () => 0 } as unknown as ControllerContext;
  const leadership = { leader: {}, election: { leader: {} } } as unknown as Leadership;
  const nobody = { leader: () => undefined, connected: [] } as unknown as PeerGroup;
  const leader = new HeartbeatRouter(context, leadership, nobody);
  const link = {
    member: 'a',
    request: (kind: FrameKind.Heartbeat, body: Buffer): Promise<AnswerFrame | null> =>
      leader.takeFromPeer(kind, body, 'b' as never),
  } as unknown as PeerLink;
  const withLeader = { leader: () => link, connected: [link] } as unknown as PeerGroup;
  const following = { leader: null, election: { leader: {} } } as unknown as Leadership;
  return { leader, follower: new HeartbeatRouter(context, following, withLeader) };
}

describe('a malformed report', () => {
  // At a follower it was answered 503, so that its worker went on trying every controller with it.
  it('is answered 400 with the field at fault, by a follower as by the leader', async () => {
    const { follower, leader } = nodes();
    const straight = await leader.take(MALFORMED);
    expect(straight.status).toBe(400);
    expect(straight.body?.toString()).toContain('host');
    expect(await follower.take(MALFORMED)).toEqual(straight);
  });

  it('is answered 400 through a third controller as well', async () => {
    const { leader } = nodes();
    const answer = await leader.takeFromPeer(FrameKind.Passed, MALFORMED, 'c' as never);
    expect(answer?.status).toBe(400);
  });
});
