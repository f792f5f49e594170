import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import type { MemberId } from '../model/ids.js';
import { MAX_LOAD_FOR_DELEGATED_WORK } from '../model/load.js';
import { type Cancel, type Clock, runPeriodically, type MonotonicTime, since } from '../model/time.js';
import { DEPENDENCIES_VERSION, UNVERSIONED } from '../model/protocol.js';
import { splitAddress } from '../net/address.js';
import {
  type AnswerFrame,
  decodeAnswer,
  decodePing,
  encodeAnswer,
  encodeFrame,
  encodePing,
  type Frame,
  FrameReader,
  FrameKind,
  type Ping,
} from './frames.js';

const PING_MS = 500;
const SILENT_MS = 2500;
const REDIAL_MS = 400;
const DIAL_MS = 1500;
const MOST_UNSENT = 4 << 20;

/** Frames of one turn of the loop leave in one write: each write costs a system call. */
function writeFrame(socket: Socket, frame: Buffer): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    setImmediate(() => socket.uncork());
  }
  socket.write(frame);
}

function readFrames(socket: Socket, log: Logger, take: (frame: Frame) => void): void {
  const reader = new FrameReader();
  socket.on('data', (bytes) => {
    try {
      for (const frame of reader.push(bytes)) take(frame);
    } catch (error) {
      log.info({ error: (error as Error).message }, 'peer connection closed');
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
}

/** Our side of the connection to one other controller: we ask, it answers. */
export class PeerLink {
  private socket: Socket | null = null;
  private open = false;
  private next = 1;
  private readonly waiting = new Map<number, (answer: AnswerFrame | null) => void>();
  private lastHeard: MonotonicTime | null = null;
  /** What the other side last said of itself. */
  ping: Ping | null = null;

  constructor(
    readonly member: string,
    private readonly address: string,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly myPing: () => Ping,
    private readonly onPing: (ping: Ping) => void,
    /** The other side has told its version: on this connection for the first time. */
    private readonly onVersion: (link: PeerLink) => void = () => {},
  ) {}

  start(): void {
    this.dial();
    runPeriodically(this.clock, PING_MS, () => this.keepAlive());
  }

  private keepAlive(): void {
    if (!this.open) return;
    const silent = this.lastHeard !== null && since(this.clock.now(), this.lastHeard) > SILENT_MS;
    if (silent) this.socket?.destroy();
    else this.send(FrameKind.Ping, 0, encodePing(this.myPing()));
  }

  private dial(): void {
    const { host, port } = splitAddress(this.address);
    const socket = connect({ host, port, noDelay: true });
    this.socket = socket;
    const late: Cancel = this.clock.after(DIAL_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.on('connect', () => {
      late();
      this.open = true;
      this.lastHeard = this.clock.now();
      this.send(FrameKind.Ping, 0, encodePing(this.myPing()));
    });
    readFrames(socket, this.log, (frame) => this.take(frame));
    socket.on('close', () => {
      late();
      this.open = false;
      this.ping = null;
      for (const done of this.waiting.values()) done(null);
      this.waiting.clear();
      this.clock.after(REDIAL_MS, () => this.dial());
    });
  }

  private take(frame: Frame): void {
    this.lastHeard = this.clock.now();
    if (frame.kind === FrameKind.Ping) {
      const before = this.ping;
      this.ping = decodePing(frame.payload);
      this.onPing(this.ping);
      if (before === null) this.onVersion(this);
    } else if (frame.kind === FrameKind.Answer) {
      const done = this.waiting.get(frame.request);
      this.waiting.delete(frame.request);
      done?.(decodeAnswer(frame.payload));
    }
  }

  send(kind: FrameKind, request: number, payload: Buffer): boolean {
    if (!this.open || !this.socket || this.socket.writableLength > MOST_UNSENT) return false;
    writeFrame(this.socket, encodeFrame(kind, request, payload));
    return true;
  }

  /** Whether the other side is heard and has at least this protocol version. */
  supports(version: number): boolean {
    return this.isConnected && (this.ping?.version ?? UNVERSIONED) >= version;
  }

  /** Heard, and with time to spare for work that is handed to it. */
  get hasSpareCapacity(): boolean {
    return this.isConnected && (this.ping?.load ?? 0) < MAX_LOAD_FOR_DELEGATED_WORK;
  }

  /** It takes confirmed cancellations. */
  get supportsCancellations(): boolean {
    return this.supports(DEPENDENCIES_VERSION);
  }

  /** Heard within the last moments. */
  get isConnected(): boolean {
    return this.open && this.ping !== null;
  }

  /** Null: the other side cannot be reached or did not answer in time. */
  request(kind: FrameKind, payload: Buffer, deadlineMs: number): Promise<AnswerFrame | null> {
    const request = this.next;
    this.next = this.next >= 0xffff_fffe ? 1 : this.next + 1;
    return new Promise((resolve) => {
      if (!this.send(kind, request, payload)) {
        resolve(null);
        return;
      }
      const giveUp = (): void => {
        if (this.waiting.delete(request)) resolve(null);
      };
      // A process that is behind has its timers first: an answer that lies unread in the socket still counts.
      const late = this.clock.after(deadlineMs, () => setImmediate(giveUp));
      this.waiting.set(request, (answer) => {
        late();
        resolve(answer);
      });
    });
  }
}

/** Kinds that are answered. */
export type RequestKind = Exclude<FrameKind, FrameKind.Ping | FrameKind.Answer | FrameKind.Progress>;
const UNASKED: ReadonlySet<FrameKind> = new Set([FrameKind.Ping, FrameKind.Answer, FrameKind.Progress]);

function isAsked(kind: FrameKind): kind is RequestKind {
  return !UNASKED.has(kind);
}

/** What other controllers are answered by. */
export interface PeerHandler {
  ping(): Ping;
  progress(payload: Buffer): void;
  /** `from`: who asks, by its own last ping. */
  ask(kind: RequestKind, payload: Buffer, from: MemberId): Promise<AnswerFrame>;
}

/** Listens for the other controllers and answers what they ask. */
export class PeerServer {
  private readonly server: Server;

  constructor(
    private readonly handler: PeerHandler,
    maxSockets: number,
    private readonly log: Logger,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = maxSockets;
    this.server.on('error', (error) => log.error({ error: error.message }, 'peer server failed'));
  }

  private accept(socket: Socket): void {
    socket.setTimeout(15_000, () => socket.destroy());
    const peer = { member: '' as MemberId };
    readFrames(socket, this.log, (frame) => this.take(socket, peer, frame));
  }

  private take(socket: Socket, peer: { member: MemberId }, frame: Frame): void {
    const { kind, request } = frame;
    if (kind === FrameKind.Ping) {
      peer.member = decodePing(frame.payload).member as MemberId;
      writeFrame(socket, encodeFrame(FrameKind.Ping, 0, encodePing(this.handler.ping())));
    } else if (kind === FrameKind.Progress) this.handler.progress(frame.payload);
    else if (isAsked(kind)) {
      void this.handler.ask(kind, frame.payload, peer.member).then((answer) => {
        // What is only told (request 0) needs no answer.
        if (request === 0 || !socket.writable) return;
        writeFrame(socket, encodeFrame(FrameKind.Answer, request, encodeAnswer(answer.status, answer.body)));
      });
    }
  }

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

  close(): void {
    this.server.close();
  }
}
