/** The interface to another controller; `PeerLink` implements it. */
import type { MemberId } from '../model/ids.js';
import type { FrameKind, PeerResponse } from './frames.js';
import type { Ping } from './ping.js';

/** Another controller: its last reported status, and requests to it. */
export interface Peer {
  readonly member: MemberId;
  /** The peer's last ping on the current connection; null: none was received. */
  readonly lastPing: Ping | null;
  /** Whether the connection is open and a ping was received on it. */
  readonly isConnected: boolean;
  /** Whether the peer is connected and its load is below `MAX_LOAD_RATIO_FOR_DELEGATED_WORK`. */
  readonly hasSpareCapacity: boolean;
  /** Whether the peer is connected and has at least this protocol version. */
  supports(version: number): boolean;
  /** Sends a request. Resolves with null if the peer cannot be reached or does not respond within the deadline. */
  request(kind: FrameKind, payload: Buffer, deadlineMs: number): Promise<PeerResponse | null>;
}
