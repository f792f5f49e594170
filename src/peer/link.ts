/** The link to another controller: connects, sends keepalive pings, reconnects, and sends requests. */
import { connect, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { MAX_LOAD_RATIO_FOR_DELEGATED_WORK } from '../model/load.js';
import { DEPENDENCIES_VERSION, UNVERSIONED } from '../model/protocol.js';
import { type Clock, type MonotonicTime, runPeriodically, since } from '../model/time.js';
import { splitAddress } from '../net/address.js';
import { readFrames, writeFrame } from './frame-socket.js';
import { decodeResponse, encodeFrame, type Frame, FrameKind, type PeerResponse } from './frames.js';
import type { Peer } from './peer.js';
import { decodePing, encodePing, type Ping } from './ping.js';

const PING_INTERVAL_MS = 500;
/** A connection on which no frame is received for this time is closed. */
const IDLE_TIMEOUT_MS = 2500;
const RECONNECT_DELAY_MS = 400;
const CONNECT_TIMEOUT_MS = 1500;
/** Frames are not sent while the socket buffers more unsent bytes than this. */
const MAX_UNSENT_BYTES = 4 << 20;
/** The highest request id; the next id is 1, as id 0 means that no response is expected. */
const MAX_REQUEST_ID = 0xffff_fffe;

/** Options of a `PeerLink`. */
export interface PeerLinkOptions {
  readonly member: MemberId;
  readonly address: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns the ping that describes this controller. */
  readonly localPing: () => Ping;
  readonly onPing: (ping: Ping) => void;
  /** Called for the first ping on each connection, which announces the peer's protocol version. */
  readonly onPeerVersionReceived?: (link: PeerLink) => void;
}

/** The client side of the connection to another controller: this controller sends requests, the peer responds. */
export class PeerLink implements Peer {
  readonly member: MemberId;
  private readonly clock: Clock;
  private readonly pendingRequests = new Map<number, (response: PeerResponse | null) => void>();
  private socket: Socket | null = null;
  private isSocketOpen = false;
  private nextRequestId = 1;
  private lastReceivedAt: MonotonicTime | null = null;
  private latestPing: Ping | null = null;

  constructor(private readonly options: PeerLinkOptions) {
    this.member = options.member;
    this.clock = options.clock;
  }

  /** Connects to the peer, and reconnects whenever the connection is lost, until the process exits. */
  start(): void {
    this.connect();
    runPeriodically(this.clock, PING_INTERVAL_MS, () => this.keepAlive());
  }

  get lastPing(): Ping | null {
    return this.latestPing;
  }

  get isConnected(): boolean {
    return this.isSocketOpen && this.latestPing !== null;
  }

  get hasSpareCapacity(): boolean {
    return this.isConnected && (this.latestPing?.load ?? 0) < MAX_LOAD_RATIO_FOR_DELEGATED_WORK;
  }

  /** Whether the peer is connected and supports `FrameKind.ConfirmedCancellations`. */
  get supportsConfirmedCancellations(): boolean {
    return this.supports(DEPENDENCIES_VERSION);
  }

  supports(version: number): boolean {
    return this.isConnected && (this.latestPing?.version ?? UNVERSIONED) >= version;
  }

  /** Sends a frame. Returns false if the frame was not sent: there is no connection, or too much unsent data. */
  send(kind: FrameKind, requestId: number, payload: Buffer): boolean {
    if (!this.isSocketOpen || !this.socket || this.socket.writableLength > MAX_UNSENT_BYTES) return false;
    writeFrame(this.socket, encodeFrame(kind, requestId, payload));
    return true;
  }

  request(kind: FrameKind, payload: Buffer, deadlineMs: number): Promise<PeerResponse | null> {
    const requestId = this.nextRequestId;
    this.nextRequestId = requestId >= MAX_REQUEST_ID ? 1 : requestId + 1;
    return new Promise((resolve) => {
      if (!this.send(kind, requestId, payload)) {
        resolve(null);
        return;
      }
      const expireRequest = (): void => {
        if (this.pendingRequests.delete(requestId)) resolve(null);
      };
      // After a delay of this process, the event loop runs timers before it reads sockets. `setImmediate` postpones the
      // expiry until a response that is already in the socket buffer has been read.
      const cancelDeadline = this.clock.after(deadlineMs, () => setImmediate(expireRequest));
      this.pendingRequests.set(requestId, (response) => {
        cancelDeadline();
        resolve(response);
      });
    });
  }

  private connect(): void {
    const { address, log } = this.options;
    const { host, port } = splitAddress(address);
    const socket = connect({ host, port, noDelay: true });
    this.socket = socket;
    const cancelTimeout = this.clock.after(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.on('connect', () => {
      cancelTimeout();
      this.isSocketOpen = true;
      this.lastReceivedAt = this.clock.now();
      this.sendPing();
    });
    readFrames(socket, log, (frame) => this.receive(frame));
    socket.on('close', () => {
      cancelTimeout();
      this.onDisconnected();
    });
  }

  private onDisconnected(): void {
    this.isSocketOpen = false;
    this.latestPing = null;
    for (const settle of this.pendingRequests.values()) settle(null);
    this.pendingRequests.clear();
    this.clock.after(RECONNECT_DELAY_MS, () => this.connect());
  }

  private keepAlive(): void {
    if (!this.isSocketOpen) return;
    const isIdle =
      this.lastReceivedAt !== null && since(this.clock.now(), this.lastReceivedAt) > IDLE_TIMEOUT_MS;
    if (isIdle) this.socket?.destroy();
    else this.sendPing();
  }

  private sendPing(): void {
    this.send(FrameKind.Ping, 0, encodePing(this.options.localPing()));
  }

  private receive(frame: Frame): void {
    this.lastReceivedAt = this.clock.now();
    if (frame.kind === FrameKind.Ping) {
      this.receivePing(decodePing(frame.payload));
    } else if (frame.kind === FrameKind.Response) {
      const settle = this.pendingRequests.get(frame.requestId);
      this.pendingRequests.delete(frame.requestId);
      settle?.(decodeResponse(frame.payload));
    }
  }

  private receivePing(ping: Ping): void {
    const isFirst = this.latestPing === null;
    this.latestPing = ping;
    this.options.onPing(ping);
    if (isFirst) this.options.onPeerVersionReceived?.(this);
  }
}
