/** The server for the connections of other controllers. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { splitAddress } from '../net/address.js';
import { readFrames, writeFrame } from './frame-socket.js';
import { encodeFrame, encodeResponse, type Frame, FrameKind, type PeerResponse } from './frames.js';
import { decodePing, encodePing, type Ping } from './ping.js';

/** A connection on which nothing arrives for this long is closed. */
const IDLE_TIMEOUT_MS = 15_000;

type UnansweredKind = FrameKind.Ping | FrameKind.Response | FrameKind.Progress;

/** Kinds of frames that are requests. */
export type RequestKind = Exclude<FrameKind, UnansweredKind>;

function isRequestKind(kind: FrameKind): kind is RequestKind {
  return kind !== FrameKind.Ping && kind !== FrameKind.Response && kind !== FrameKind.Progress;
}

/** Handles what other controllers send. */
export interface PeerHandler {
  /** What this controller says of itself. */
  ping(): Ping;
  onProgress(payload: Buffer): void;
  /** Never rejects. `from`: the sender, by its own last ping on this connection. */
  handleRequest(kind: RequestKind, payload: Buffer, from: MemberId): Promise<PeerResponse>;
}

/** What a server for other controllers is made of. */
export interface PeerServerOptions {
  readonly handler: PeerHandler;
  readonly maxSockets: number;
  readonly log: Logger;
}

/** One accepted connection. */
interface PeerConnection {
  readonly socket: Socket;
  /** Empty until the first ping. */
  member: MemberId;
}

/** Listens for the other controllers and responds to their requests. */
export class PeerServer {
  private readonly server: Server;
  private readonly handler: PeerHandler;

  constructor({ handler, maxSockets, log }: PeerServerOptions) {
    this.handler = handler;
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket, log));
    this.server.maxConnections = maxSockets;
    this.server.on('error', (error) => log.error({ error: error.message }, 'peer server failed'));
  }

  /** Resolves once the server listens; rejects if it cannot. */
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

  /** Accepts no further connection. */
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
      // A notification (request id 0) needs no response.
      if (requestId === 0 || !socket.writable) return;
      writeFrame(socket, encodeFrame(FrameKind.Response, requestId, encodeResponse(status, body)));
    });
  }
}
