/** The server that accepts connections from other controllers. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { splitAddress } from '../net/address.js';
import { readFrames, writeFrame } from './frame-socket.js';
import { encodeFrame, encodeResponse, type Frame, FrameKind, type PeerResponse } from './frames.js';
import { decodePing, encodePing, type Ping } from './ping.js';

/** A connection without socket activity for this time is closed. */
const IDLE_TIMEOUT_MS = 15_000;

type OneWayKind = FrameKind.Ping | FrameKind.Response | FrameKind.Progress;

/** Frame kinds that the server passes to `PeerHandler.handleRequest`. */
export type RequestKind = Exclude<FrameKind, OneWayKind>;

function isRequestKind(kind: FrameKind): kind is RequestKind {
  return kind !== FrameKind.Ping && kind !== FrameKind.Response && kind !== FrameKind.Progress;
}

/** Handles the frames that other controllers send. */
export interface PeerHandler {
  /** Returns the ping that describes this controller. */
  ping(): Ping;
  onProgress(payload: Buffer): void;
  /**
   * Handles a request. Never rejects. `from`: the sender according to its last ping on the connection; empty before.
   */
  handleRequest(kind: RequestKind, payload: Buffer, from: MemberId): Promise<PeerResponse>;
}

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  readonly handler: PeerHandler;
  readonly maxSockets: number;
  readonly log: Logger;
}

/** An accepted connection from another controller. */
interface PeerConnection {
  readonly socket: Socket;
  /** The peer's name according to its last ping; empty before the first ping. */
  member: MemberId;
}

/** Accepts connections from other controllers and responds to their requests. */
export class PeerServer {
  private readonly server: Server;
  private readonly handler: PeerHandler;

  constructor({ handler, maxSockets, log }: PeerServerOptions) {
    this.handler = handler;
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket, log));
    this.server.maxConnections = maxSockets;
    this.server.on('error', (error) => log.error({ error: error.message }, 'peer server failed'));
  }

  /** Starts listening on an address. Resolves once the server listens; rejects if the address cannot be bound. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port }, () => {
        this.server.removeListener('error', reject);
        resolve();
      });
    });
  }

  /** Stops accepting connections; open connections are kept. */
  close(): void {
    this.server.close();
  }

  private accept(socket: Socket, log: Logger): void {
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    const connection: PeerConnection = { socket, member: '' as MemberId };
    readFrames(socket, log, (frame) => this.receive(connection, frame));
  }

  private receive(connection: PeerConnection, frame: Frame): void {
    const { kind } = frame;
    if (kind === FrameKind.Ping) {
      connection.member = decodePing(frame.payload).member as MemberId;
      writeFrame(connection.socket, encodeFrame(FrameKind.Ping, 0, encodePing(this.handler.ping())));
    } else if (kind === FrameKind.Progress) this.handler.onProgress(frame.payload);
    else if (isRequestKind(kind)) this.respond(connection, kind, frame);
  }

  private respond({ socket, member }: PeerConnection, kind: RequestKind, frame: Frame): void {
    const { requestId, payload } = frame;
    void this.handler.handleRequest(kind, payload, member).then(({ status, body }) => {
      // A frame with request id 0 is a notification, which is not answered.
      if (requestId === 0 || !socket.writable) return;
      writeFrame(socket, encodeFrame(FrameKind.Response, requestId, encodeResponse(status, body)));
    });
  }
}
