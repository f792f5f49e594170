/** Transports the failure detector's messages over the links between controllers. */
import { type MemberId, PeerSupport, type Transport } from '@plumyoke/membership';
import { MEMBERSHIP_VERSION } from '../../model/protocol.js';
import { type Clock, type MonotonicTime, since } from '../../model/time.js';
import { FrameKind } from '../../peer/frames.js';
import type { Peer } from '../../peer/peer.js';
import { FAILURE_DETECTION_OFF_STATUS } from './detection-status.js';

const OK_STATUS = 200;
/**
 * How long a peer's answer that its failure detection is disabled or not started yet counts; the peer may since have
 * started failure detection.
 */
const UNSUPPORTED_RETRY_DELAY_MS = 5000;

/**
 * Implements the membership transport on the peer links; a response arrives over the connection that carried the
 * request.
 */
export class PeerTransport implements Transport {
  private readonly peers: ReadonlyMap<string, Peer>;
  /** When each peer last answered that its failure detection is disabled or not started yet. */
  private readonly lastDisabledAt = new Map<MemberId, MonotonicTime>();

  constructor(
    peers: readonly Peer[],
    private readonly clock: Clock,
  ) {
    this.peers = new Map(peers.map((peer) => [peer.member, peer]));
  }

  async request(to: MemberId, payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null> {
    const peer = this.peers.get(to);
    // Controllers of earlier versions close the connection when they receive a frame kind that they do not support.
    if (!peer?.supports(MEMBERSHIP_VERSION)) return null;
    const response = await peer.request(FrameKind.FailureDetection, Buffer.from(payload), deadlineMs);
    if (response?.status === FAILURE_DETECTION_OFF_STATUS) this.lastDisabledAt.set(to, this.clock.now());
    return response?.status === OK_STATUS ? response.body : null;
  }

  support(member: MemberId): PeerSupport {
    const peer = this.peers.get(member);
    if (!peer?.isConnected) return PeerSupport.Unknown;
    if (!peer.supports(MEMBERSHIP_VERSION)) return PeerSupport.Unsupported;
    const offStatusAt = this.lastDisabledAt.get(member);
    const isDetectionDisabled =
      offStatusAt !== undefined && since(this.clock.now(), offStatusAt) < UNSUPPORTED_RETRY_DELAY_MS;
    return isDetectionDisabled ? PeerSupport.Unsupported : PeerSupport.Supported;
  }
}
