/** The link to one other controller: connects, keeps the connection alive and sends requests over it. */
import { connect, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { MAX_LOAD_FOR_DELEGATED_WORK } from '../model/load.js';
import { DEPENDENCIES_VERSION, UNVERSIONED } from '../model/protocol.js';
import { type Clock, type MonotonicTime, runPeriodically, since } from '../model/time.js';
import { splitAddress } from '../net/address.js';
import { readFrames, writeFrame } from './frame-socket.js';
import { decodeResponse, encodeFrame, type Frame, FrameKind, type PeerResponse } from './frames.js';
import type { Peer } from './peer.js';
import { decodePing, encodePing, type Ping } from './ping.js';

const PING_INTERVAL_MS = 500;
/** A connection on which nothing arrives for this long is closed. */
const SILENCE_TIMEOUT_MS = 2500;
const RECONNECT_DELAY_MS = 400;
const CONNECT_TIMEOUT_MS = 1500;
/** With more than this waiting to be written nothing further is sent. */
const MAX_UNSENT_BYTES = 4 << 20;
/** Request ids start again at 1 after this; 0 means that no response is expected. */
const MAX_REQUEST_ID = 0xffff_fffe;

/** What a link to another controller is made of. */
export interface PeerLinkOptions {
  readonly member: MemberId;
  readonly address: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** What this controller says of itself. */
  readonly localPing: () => Ping;
  readonly onPing: (ping: Ping) => void;
  /** The other side has shown its version, on this connection for the first time. */
  readonly onVersion?: (link: PeerLink) => void;
}

/** This controller's side of the connection to one other: this one sends requests, the other responds. */
export class PeerLink implements Peer {
  readonly member: MemberId;
  private readonly clock: Clock;
  private readonly pendingRequests = new Map<number, (response: PeerResponse | null) => void>();
  private socket: Socket | null = null;
  private isSocketOpen = false;
  private nextRequestId = 1;
  private lastHeardAt: MonotonicTime | null = null;
  private latestPing: Ping | null = null;

  constructor(private readonly options: PeerLinkOptions) {
    this.member = options.member;
    this.clock = options.clock;
  }

  /** Connects, and connects anew whenever the connection is lost, until the process ends. */
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
    return this.isConnected && (this.latestPing?.load ?? 0) < MAX_LOAD_FOR_DELEGATED_WORK;
  }

  /** Whether it accepts confirmed cancellations. */
  get supportsCancellations(): boolean {
    return this.supports(DEPENDENCIES_VERSION);
  }

  supports(version: number): boolean {
    return this.isConnected && (this.latestPing?.version ?? UNVERSIONED) >= version;
  }

  /** Sends a frame; false: it was not sent. */
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
      const giveUp = (): void => {
        if (this.pendingRequests.delete(requestId)) resolve(null);
      };
      // A process that is behind runs its timers first: a response that lies unread in the socket still counts.
      const cancelDeadline = this.clock.after(deadlineMs, () => setImmediate(giveUp));
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
      this.lastHeardAt = this.clock.now();
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
    const isSilent =
      this.lastHeardAt !== null && since(this.clock.now(), this.lastHeardAt) > SILENCE_TIMEOUT_MS;
    if (isSilent) this.socket?.destroy();
    else this.sendPing();
  }

  private sendPing(): void {
    this.send(FrameKind.Ping, 0, encodePing(this.options.localPing()));
  }

  private receive(frame: Frame): void {
    this.lastHeardAt = this.clock.now();
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
    if (isFirst) this.options.onVersion?.(this);
  }
}
