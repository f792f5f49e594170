/** Calls by HTTP/1.1 over kept connections, each with a deadline. */
import { connect, type Socket } from 'node:net';
import { splitAddress } from './address.js';
import { type HttpResponse, ResponseReader } from './http-response.js';

/** An answer, its JSON body parsed. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
}

/** A call that brought no answer. The other side may have carried it out, or may do so later. */
export class NoAnswerError extends Error {}

/** Nothing was sent: all of our own sockets for such calls are in use. */
export class NoSocketError extends NoAnswerError {}

/** Makes calls with a deadline to one address. */
export interface HttpCaller {
  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpReply>;
}

/** Undefined for what is no JSON. */
export function parseJson(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** The headers that tell of the body, the empty line, and the body. */
function withBody(method: string, body: unknown): string {
  if (body === undefined) return method === 'POST' ? 'Content-Length: 0\r\n\r\n' : '\r\n';
  const payload = JSON.stringify(body);
  const length = Buffer.byteLength(payload);
  return `Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${payload}`;
}

/** Connections that are open, over all addresses that share it. */
export class SocketCount {
  open = 0;
}

/** A request that was sent or waits for a connection. */
class Exchange {
  private readonly timer: NodeJS.Timeout;
  private connection: Connection | null = null;
  settled = false;

  constructor(
    readonly request: string,
    deadlineMs: number,
    private readonly resolve: (reply: HttpReply) => void,
    private readonly reject: (error: NoAnswerError) => void,
  ) {
    this.timer = setTimeout(() => this.expire(), deadlineMs);
  }

  sentOn(connection: Connection): void {
    this.connection = connection;
  }

  answered({ status, body }: HttpResponse): void {
    if (this.settle()) this.resolve({ status, body: parseJson(body) });
  }

  failed(why: string): void {
    if (this.settle()) this.reject(new NoAnswerError(why));
  }

  /** A process that is behind has its timers first: an answer that lies unread in the socket still counts. */
  private expire(): void {
    setImmediate(() => {
      if (this.settled) return;
      this.failed('deadline passed');
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
    let why = 'connection lost';
    this.socket.on('data', (bytes: Buffer) => this.take(bytes));
    this.socket.on('error', (error) => (why = error.message));
    this.socket.on('close', () => this.closed(why));
  }

  send(exchange: Exchange): void {
    this.exchange = exchange;
    exchange.sentOn(this);
    this.socket.write(exchange.request);
  }

  destroy(): void {
    this.socket.destroy();
  }

  private take(bytes: Buffer): void {
    const { exchange } = this;
    if (!exchange) {
      // Nobody asked for it.
      this.destroy();
      return;
    }
    let response: HttpResponse | null;
    try {
      response = this.reader.push(bytes);
    } catch (error) {
      exchange.failed((error as Error).message);
      this.destroy();
      return;
    }
    if (!response) return;
    this.exchange = null;
    if (response.keepAlive) this.onFree(this);
    else this.destroy();
    exchange.answered(response);
  }

  private closed(why: string): void {
    const { exchange } = this;
    this.exchange = null;
    const response = exchange ? this.reader.end() : null;
    this.onClosed(this);
    if (response) exchange?.answered(response);
    else exchange?.failed(why);
  }
}

/**
 * Keep-alive calls to one address, each with a deadline; what finds no connection free waits for one within it.
 * With the runtime's own client all calls of a leader took twice the time in a profile, most of them to workers.
 */
export class HttpTarget implements HttpCaller {
  private readonly host: string;
  private readonly port: number;
  private readonly hostHeader: string;
  private readonly open = new Set<Connection>();
  /** The last one used is used first: the others may end by themselves. */
  private readonly free: Connection[] = [];
  private readonly waiting: Exchange[] = [];

  constructor(
    address: string,
    private readonly maxSockets: number,
    private readonly count = new SocketCount(),
  ) {
    const { host, port } = splitAddress(address);
    this.host = host;
    this.port = port;
    this.hostHeader = `Host: ${address}\r\n`;
  }

  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpReply> {
    const request = `${method} ${path} HTTP/1.1\r\n${this.hostHeader}${withBody(method, body)}`;
    return new Promise((resolve, reject) => {
      this.send(new Exchange(request, deadlineMs, resolve, reject));
    });
  }

  /** Whether a call would find a connection that is open and idle. */
  get hasFree(): boolean {
    return this.free.length > 0;
  }

  private send(exchange: Exchange): void {
    const connection = this.free.pop() ?? this.connect();
    if (connection) connection.send(exchange);
    else this.waiting.push(exchange);
  }

  private connect(): Connection | null {
    if (this.open.size >= this.maxSockets) return null;
    const connection = new Connection(
      this.host,
      this.port,
      (free) => this.reuse(free),
      (closed) => this.forget(closed),
    );
    this.open.add(connection);
    this.count.open++;
    return connection;
  }

  private reuse(connection: Connection): void {
    const next = this.nextWaiting();
    if (next) connection.send(next);
    else this.free.push(connection);
  }

  /** Its socket no longer counts from the moment on when it is given up. */
  private release(connection: Connection): void {
    if (this.open.delete(connection)) this.count.open--;
  }

  private forget(connection: Connection): void {
    this.release(connection);
    const at = this.free.indexOf(connection);
    if (at >= 0) this.free.splice(at, 1);
    const next = this.nextWaiting();
    if (next) this.send(next);
  }

  /** One whose deadline passed while it waited is not sent any more. */
  private nextWaiting(): Exchange | undefined {
    let next = this.waiting.shift();
    while (next?.settled) next = this.waiting.shift();
    return next;
  }

  close(): void {
    for (const connection of this.open) {
      this.release(connection);
      connection.destroy();
    }
  }
}
