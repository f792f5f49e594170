/** The HTTP server for user requests, worker heartbeats and health checks. */
import { createServer as createHttpServer, type RequestListener, type Server as HttpServer } from 'node:http';
import { createServer as createSocketServer, type Server as SocketServer, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import { splitAddress } from './address.js';

/** The connection limits of one listening address. */
export interface ServerLimits {
  /** The maximum number of open sockets; a connection above this limit is closed immediately. */
  readonly maxSockets: number;
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/**
 * The ratio of used sockets above which a connection closes after its response. Where there are more workers than
 * sockets, workers then share the sockets; kept-alive connections would exclude some workers until their leases expire.
 */
const KEEP_ALIVE_SOCKET_RATIO = 0.75;
const CONNECTION_CHECK_INTERVAL_MS = 5000;
const MAX_HEADER_BYTES = 16 * 1024;
const LISTEN_BACKLOG_COUNT = 511;
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/**
 * The server of one listening address: `node:net` accepts and limits the connections, `node:http` parses the requests,
 * and the request listener responds.
 */
export class FrontServer {
  private readonly socketServer: SocketServer;
  private readonly httpServer: HttpServer;
  private openSocketCount = 0;

  constructor(
    private readonly listener: RequestListener,
    private readonly limits: ServerLimits,
    log: Logger,
  ) {
    this.httpServer = this.createHttp();
    this.socketServer = createSocketServer({ noDelay: true }, (socket) => this.accept(socket));
    this.socketServer.maxConnections = limits.maxSockets;
    this.socketServer.on('error', (error) => log.error({ error: error.message }, 'front server failed'));
  }

  /** Starts listening on the address; rejects if the address cannot be bound. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.socketServer.once('error', reject);
      this.socketServer.listen({ host, port, backlog: LISTEN_BACKLOG_COUNT }, () => {
        this.socketServer.removeListener('error', reject);
        resolve();
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.socketServer.close();
    this.httpServer.closeAllConnections();
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
      if (this.openSocketCount > maxSockets * KEEP_ALIVE_SOCKET_RATIO) response.shouldKeepAlive = false;
      this.listener(request, response);
    });
    http.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end(BAD_REQUEST_RESPONSE);
      else socket.destroy();
    });
    return http;
  }

  private accept(socket: Socket): void {
    this.openSocketCount++;
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.openSocketCount--);
    this.httpServer.emit('connection', socket);
  }
}
