/** An HTTP/1.1 client: calls over kept connections, each with a deadline. */
import { connect, type Socket } from 'node:net';
import { errorMessage } from '../log/logger.js';
import { splitAddress } from './address.js';
import { type HttpResponse, ResponseReader } from './http-response.js';

/** A response, its JSON body parsed; undefined: there is none, or it is no JSON. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
}

/** What is known of a call that failed: whether it may have been carried out. */
export type HttpCallErrorCode = 'no-answer' | 'no-socket';

/** A call that brought no response. The other side may have carried it out, or may do so later. */
export class NoAnswerError extends Error {
  override readonly name: string = 'NoAnswerError';
  readonly code: HttpCallErrorCode = 'no-answer';
}

/** Nothing was sent: all sockets for such calls are in use. */
export class NoSocketError extends NoAnswerError {
  override readonly name = 'NoSocketError';
  override readonly code = 'no-socket';
}

/** Makes calls with a deadline to one address. */
export interface HttpCaller {
  /** Rejects with `NoAnswerError`. */
  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpReply>;
}

/** Parses JSON; undefined for nothing, and for what is no JSON. */
export function parseJson(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** The headers that describe the body, the empty line, and the body. */
function encodeBody(method: string, body: unknown): string {
  if (body === undefined) return method === 'POST' ? 'Content-Length: 0\r\n\r\n' : '\r\n';
  const payload = JSON.stringify(body);
  const length = Buffer.byteLength(payload);
  return `Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${payload}`;
}

/** Counts the open connections of all addresses that share it. */
export class SocketCount {
  open = 0;
}

/** A request that was sent or waits for a connection. */
class Exchange {
  private readonly timer: NodeJS.Timeout;
  private connection: Connection | null = null;
  private settled = false;

  constructor(
    readonly request: string,
    deadlineMs: number,
    private readonly resolve: (reply: HttpReply) => void,
    private readonly reject: (error: NoAnswerError) => void,
  ) {
    this.timer = setTimeout(() => this.expire(), deadlineMs);
  }

  /** Whether it was answered, failed or timed out. */
  get isSettled(): boolean {
    return this.settled;
  }

  sentOn(connection: Connection): void {
    this.connection = connection;
  }

  succeed({ status, body }: HttpResponse): void {
    if (this.settle()) this.resolve({ status, body: parseJson(body) });
  }

  fail(reason: string, options?: ErrorOptions): void {
    if (this.settle()) this.reject(new NoAnswerError(reason, options));
  }

  /** A process that is behind runs its timers first: a response that lies unread in the socket still counts. */
  private expire(): void {
    setImmediate(() => {
      if (this.settled) return;
      this.fail('deadline passed');
      this.connection?.destroy();
    });
  }

  private settle(): boolean {
    if (this.settled) return false;
    this.settled = true;
    clearTimeout(this.timer);
    return true;
  }
}

/** One connection, which carries one exchange at a time. */
class Connection {
  private readonly socket: Socket;
  private readonly reader = new ResponseReader();
  private exchange: Exchange | null = null;

  constructor(
    host: string,
    port: number,
    private readonly onFree: (connection: Connection) => void,
    private readonly onClosed: (connection: Connection) => void,
  ) {
    this.socket = connect({ host, port, noDelay: true });
    let closeReason = 'connection lost';
    this.socket.on('data', (bytes: Buffer) => this.receive(bytes));
    this.socket.on('error', (error) => (closeReason = error.message));
    this.socket.on('close', () => this.handleClose(closeReason));
  }

  send(exchange: Exchange): void {
    this.exchange = exchange;
    exchange.sentOn(this);
    this.socket.write(exchange.request);
  }

  destroy(): void {
    this.socket.destroy();
  }

  private receive(bytes: Buffer): void {
    const { exchange } = this;
    if (!exchange) {
      // A response to no request.
      this.destroy();
      return;
    }
    let response: HttpResponse | null;
    try {
      response = this.reader.push(bytes);
    } catch (error) {
      exchange.fail(errorMessage(error), { cause: error });
      this.destroy();
      return;
    }
    if (!response) return;
    this.exchange = null;
    if (response.keepAlive) this.onFree(this);
    else this.destroy();
    exchange.succeed(response);
  }

  private handleClose(reason: string): void {
    const { exchange } = this;
    this.exchange = null;
    const response = exchange ? this.reader.end() : null;
    this.onClosed(this);
    if (response) exchange?.succeed(response);
    else exchange?.fail(reason);
  }
}

/**
 * The connections to one address. A call that finds none idle waits for one, within its deadline.
 * With the runtime's own client all calls of a leader took twice the time in a profile, most of them to workers.
 */
export class HttpTarget implements HttpCaller {
  private readonly host: string;
  private readonly port: number;
  private readonly hostHeader: string;
  private readonly connections = new Set<Connection>();
  /** The last one used is used first: the others may then be closed as idle. */
  private readonly idle: Connection[] = [];
  private readonly queue: Exchange[] = [];

  constructor(
    address: string,
    private readonly maxSockets: number,
    private readonly socketCount = new SocketCount(),
  ) {
    const { host, port } = splitAddress(address);
    this.host = host;
    this.port = port;
    this.hostHeader = `Host: ${address}\r\n`;
  }

  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpReply> {
    const request = `${method} ${path} HTTP/1.1\r\n${this.hostHeader}${encodeBody(method, body)}`;
    return new Promise((resolve, reject) => {
      this.send(new Exchange(request, deadlineMs, resolve, reject));
    });
  }

  /** Whether a call would find an idle connection. */
  get hasIdleConnection(): boolean {
    return this.idle.length > 0;
  }

  private send(exchange: Exchange): void {
    const connection = this.idle.pop() ?? this.connect();
    if (connection) connection.send(exchange);
    else this.queue.push(exchange);
  }

  private connect(): Connection | null {
    if (this.connections.size >= this.maxSockets) return null;
    const connection = new Connection(
      this.host,
      this.port,
      (idle) => this.reuse(idle),
      (closed) => this.remove(closed),
    );
    this.connections.add(connection);
    this.socketCount.open++;
    return connection;
  }

  private reuse(connection: Connection): void {
    const next = this.nextQueued();
    if (next) connection.send(next);
    else this.idle.push(connection);
  }

  /** From now on the connection's socket does not count any more. */
  private release(connection: Connection): void {
    if (this.connections.delete(connection)) this.socketCount.open--;
  }

  private remove(connection: Connection): void {
    this.release(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    const next = this.nextQueued();
    if (next) this.send(next);
  }

  /** The next exchange to be sent: one whose deadline passed while it was queued is not. */
  private nextQueued(): Exchange | undefined {
    let next = this.queue.shift();
    while (next?.isSettled) next = this.queue.shift();
    return next;
  }

  /** Closes all connections; calls under way fail. */
  close(): void {
    for (const connection of this.connections) {
      this.release(connection);
      connection.destroy();
    }
  }
}
