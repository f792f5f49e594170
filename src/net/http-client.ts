/** An HTTP/1.1 client with persistent connections and a deadline for each call. */
import { connect, type Socket } from 'node:net';
import { errorMessage } from '../log/logger.js';
import { splitAddress } from './address.js';
import { type HttpResponse, ResponseReader } from './http-response.js';

/** A response with its parsed JSON body; `body` is undefined if the body is empty or not valid JSON. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
}

/** The kind of a failed call: `no-answer` if the server may have executed the call, `no-socket` if nothing was sent. */
export type HttpCallErrorCode = 'no-answer' | 'no-socket';

/** Thrown when a call gets no response. The server may have executed the call, or may still execute it. */
export class NoAnswerError extends Error {
  override readonly name: string = 'NoAnswerError';
  readonly code: HttpCallErrorCode = 'no-answer';
}

/** Thrown when a call was not sent, because all sockets for calls of its kind are in use. */
export class NoSocketError extends NoAnswerError {
  override readonly name = 'NoSocketError';
  override readonly code = 'no-socket';
}

/** Makes HTTP calls with a deadline to one address. */
export interface HttpCaller {
  /**
   * Sends a request and resolves with its response. Rejects with `NoAnswerError` if no complete, valid response arrives
   * before the deadline or the end of the connection.
   */
  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpReply>;
}

/** Parses bytes as JSON; returns undefined for empty or invalid JSON. */
export function parseJson(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Encodes the body's headers, the empty line that ends the headers, and the body. */
function encodeBody(method: string, body: unknown): string {
  if (body === undefined) return method === 'POST' ? 'Content-Length: 0\r\n\r\n' : '\r\n';
  const payload = JSON.stringify(body);
  const length = Buffer.byteLength(payload);
  return `Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${payload}`;
}

/** A counter of open connections that the connection pools of several addresses share. */
export class SocketCount {
  open = 0;
}

/** A request and its pending response; the request is either sent or queued for a connection. */
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

  /** Whether the exchange is complete: the request was answered, failed or timed out. */
  get isSettled(): boolean {
    return this.settled;
  }

  attachConnection(connection: Connection): void {
    this.connection = connection;
  }

  succeed({ status, body }: HttpResponse): void {
    if (this.settle()) this.resolve({ status, body: parseJson(body) });
  }

  fail(reason: string, options?: ErrorOptions): void {
    if (this.settle()) this.reject(new NoAnswerError(reason, options));
  }

  /**
   * Fails the exchange after its deadline, but only after pending socket reads: an overloaded event loop runs expired
   * timers first, while the response may already be in the socket's receive buffer.
   */
  private expire(): void {
    setImmediate(() => {
      if (this.settled) return;
      this.fail('no response before the deadline of the call');
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

/** A connection that carries one exchange at a time. */
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
    let closeReason = 'the connection was closed before the response was complete';
    this.socket.on('data', (bytes: Buffer) => this.receive(bytes));
    this.socket.on('error', (error) => (closeReason = error.message));
    this.socket.on('close', () => this.handleClose(closeReason));
  }

  send(exchange: Exchange): void {
    this.exchange = exchange;
    exchange.attachConnection(this);
    this.socket.write(exchange.request);
  }

  destroy(): void {
    this.socket.destroy();
  }

  private receive(bytes: Buffer): void {
    const { exchange } = this;
    if (!exchange) {
      // Bytes arrived without a pending request.
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
 * A pool of connections to one address. A call is queued while no connection is idle and the maximum number is open; its
 * deadline includes the time in the queue. The pool replaces the runtime's own HTTP client, with which the calls of a
 * leader, most of them to workers, took twice the time.
 */
export class HttpConnectionPool implements HttpCaller {
  private readonly host: string;
  private readonly port: number;
  private readonly hostHeader: string;
  private readonly connections = new Set<Connection>();
  /**
   * Idle connections, reused last in first out, so that the server may close the unused ones after their idle timeout.
   */
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

  /** Whether the pool has an idle connection. */
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
    const queuedExchange = this.nextQueued();
    if (queuedExchange) connection.send(queuedExchange);
    else this.idle.push(connection);
  }

  /** Removes the connection from the pool and from the count of open sockets. */
  private release(connection: Connection): void {
    if (this.connections.delete(connection)) this.socketCount.open--;
  }

  private remove(connection: Connection): void {
    this.release(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    const queuedExchange = this.nextQueued();
    if (queuedExchange) this.send(queuedExchange);
  }

  /** Removes and returns the next queued exchange, skipping exchanges whose deadline passed in the queue. */
  private nextQueued(): Exchange | undefined {
    let next = this.queue.shift();
    while (next?.isSettled) next = this.queue.shift();
    return next;
  }

  /** Closes all open connections; their calls fail with `NoAnswerError`. Queued calls are sent on new connections. */
  close(): void {
    for (const connection of this.connections) {
      this.release(connection);
      connection.destroy();
    }
  }
}
