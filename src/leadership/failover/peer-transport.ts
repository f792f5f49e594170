/** Carries the failure detector's messages over the links between controllers. */
import { type MemberId, PeerSupport, type Transport } from '@plumyoke/membership';
import { MEMBERSHIP_VERSION } from '../../model/protocol.js';
import { type Clock, type MonotonicTime, since } from '../../model/time.js';
import { FrameKind } from '../../peer/frames.js';
import type { PeerLink } from '../../peer/link.js';
import { FAILURE_DETECTION_OFF_STATUS } from './detection-status.js';

const OK_STATUS = 200;
/** A peer without failure detection is asked again after this: it may have been restarted. */
const UNSUPPORTED_RETRY_MS = 5000;

/** A transport on the peer links; a response comes over the connection that carried the request. */
export class PeerTransport implements Transport {
  private readonly links: ReadonlyMap<string, PeerLink>;
  private readonly disabledSince = new Map<MemberId, MonotonicTime>();

  constructor(
    links: readonly PeerLink[],
    private readonly clock: Clock,
  ) {
    this.links = new Map(links.map((link) => [link.member, link]));
  }

  async request(to: MemberId, payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null> {
    const link = this.links.get(to);
    // Earlier versions close the connection on a frame kind that they do not know.
    if (!link?.supports(MEMBERSHIP_VERSION)) return null;
    const response = await link.request(FrameKind.Membership, Buffer.from(payload), deadlineMs);
    if (response?.status === FAILURE_DETECTION_OFF_STATUS) this.disabledSince.set(to, this.clock.now());
    return response?.status === OK_STATUS ? response.body : null;
  }

  support(peer: MemberId): PeerSupport {
    const link = this.links.get(peer);
    if (!link?.isConnected) return PeerSupport.Unknown;
    if (!link.supports(MEMBERSHIP_VERSION)) return PeerSupport.Unsupported;
    const disabledAt = this.disabledSince.get(peer);
    const isDisabled = disabledAt !== undefined && since(this.clock.now(), disabledAt) < UNSUPPORTED_RETRY_MS;
    return isDisabled ? PeerSupport.Unsupported : PeerSupport.Supported;
  }
}
