/** What callers see of another controller; `PeerLink` is the connection to one. */
import type { MemberId } from '../model/ids.js';
import type { FrameKind, PeerResponse } from './frames.js';
import type { Ping } from './ping.js';

/** Another controller, as this one sees it and sends requests to it. */
export interface Peer {
  readonly member: MemberId;
  /** What it last said of itself; null: nothing on this connection. */
  readonly lastPing: Ping | null;
  /** Whether it was heard within the last moments. */
  readonly isConnected: boolean;
  /** Whether it is heard, and has time to spare for work that is handed to it. */
  readonly hasSpareCapacity: boolean;
  /** Whether it is heard, and has at least this protocol version. */
  supports(version: number): boolean;
  /** Resolves with null if it cannot be reached or does not respond in time. */
  request(kind: FrameKind, payload: Buffer, deadlineMs: number): Promise<PeerResponse | null>;
}
