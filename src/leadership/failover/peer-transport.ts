/** Brings the failure detector's messages over the links between controllers. */
import { type MemberId, PeerSupport, type Transport } from '@plumyoke/membership';
import { MEMBERSHIP_VERSION } from '../../model/protocol.js';
import { type Clock, type MonotonicTime, since } from '../../model/time.js';
import { FrameKind } from '../../peer/frames.js';
import type { PeerLink } from '../../peer/link.js';
import { DETECTION_OFF_STATUS } from '../../leadership/failover/detection-status.js';

const OK_STATUS = 200;
/** Such a peer is asked again after this: it may have been started anew. */
const ASK_AGAIN_MS = 5000;

/** A transport on the peer links; an answer comes over the connection that the request left by. */
export class PeerTransport implements Transport {
  private readonly links: ReadonlyMap<string, PeerLink>;
  private readonly switchedOff = new Map<MemberId, MonotonicTime>();

  constructor(
    links: readonly PeerLink[],
    private readonly clock: Clock,
  ) {
    this.links = new Map(links.map((link) => [link.member, link]));
  }

  async request(to: MemberId, payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null> {
    const link = this.links.get(to);
    // Earlier versions close the connection on a kind that they do not know.
    if (!link?.supports(MEMBERSHIP_VERSION)) return null;
    const answer = await link.request(FrameKind.Membership, Buffer.from(payload), deadlineMs);
    if (answer?.status === DETECTION_OFF_STATUS) this.switchedOff.set(to, this.clock.now());
    return answer?.status === OK_STATUS ? answer.body : null;
  }

  support(peer: MemberId): PeerSupport {
    const link = this.links.get(peer);
    if (!link?.isConnected) return PeerSupport.Unknown;
    if (!link.supports(MEMBERSHIP_VERSION)) return PeerSupport.Unsupported;
    const offSince = this.switchedOff.get(peer);
    const off = offSince !== undefined && since(this.clock.now(), offSince) < ASK_AGAIN_MS;
    return off ? PeerSupport.Unsupported : PeerSupport.Supported;
  }
}
