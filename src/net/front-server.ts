/** The HTTP server for users, workers and health checks. */
import { createServer as createHttpServer, type RequestListener, type Server as HttpServer } from 'node:http';
import { createServer as createSocketServer, type Server as SocketServer, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import { splitAddress } from './address.js';

/** Limits of one listening address. */
export interface ServerLimits {
  /** Sockets open at the same time; one more is closed at once. */
  readonly maxSockets: number;
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/**
 * From this part of the sockets on, connections end with their responses: more workers than there are
 * sockets then take turns, where kept connections would shut some of them out until their leases expire.
 */
const KEEP_ALIVE_FRACTION = 0.75;
const CONNECTION_CHECK_INTERVAL_MS = 5000;
const MAX_HEADER_BYTES = 16 * 1024;
const BACKLOG = 511;
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** One listening address: `node:net` accepts and limits, `node:http` parses, the listener responds. */
export class FrontServer {
  private readonly sockets: SocketServer;
  private readonly http: HttpServer;
  private openSockets = 0;

  constructor(
    private readonly listener: RequestListener,
    private readonly limits: ServerLimits,
    log: Logger,
  ) {
    this.http = this.createHttp();
    this.sockets = createSocketServer({ noDelay: true }, (socket) => this.accept(socket));
    this.sockets.maxConnections = limits.maxSockets;
    this.sockets.on('error', (error) => log.error({ error: error.message }, 'front server failed'));
  }

  /** Resolves once the server listens; rejects if it cannot. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.sockets.once('error', reject);
      this.sockets.listen({ host, port, backlog: BACKLOG }, () => {
        this.sockets.removeListener('error', reject);
        resolve();
      });
    });
  }

  /** Stops listening, and closes all connections. */
  close(): void {
    this.sockets.close();
    this.http.closeAllConnections();
  }

  private createHttp(): HttpServer {
    const { maxSockets, headersTimeoutMs, requestTimeoutMs, idleTimeoutMs } = this.limits;
    const options = {
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs,
      keepAliveTimeout: idleTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    };
    const http = createHttpServer(options, (request, response) => {
      if (this.openSockets > maxSockets * KEEP_ALIVE_FRACTION) response.shouldKeepAlive = false;
      this.listener(request, response);
    });
    http.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end(BAD_REQUEST);
      else socket.destroy();
    });
    return http;
  }

  private accept(socket: Socket): void {
    this.openSockets++;
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.openSockets--);
    this.http.emit('connection', socket);
  }
}
