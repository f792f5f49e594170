import { createServer as createHttp, type RequestListener, type Server as HttpServer } from 'node:http';
import { createServer, type Server, type Socket } from 'node:net';
import type { Logger } from '../log/logger.js';
import { splitAddress } from './address.js';

/** What one listening address takes. */
export interface ServerLimits {
  /** Sockets accepted at once; one more is closed at once. */
  readonly sockets: number;
  readonly headersMs: number;
  readonly requestMs: number;
  readonly idleMs: number;
}

/**
 * From this part of the sockets on, connections end with their answers: more workers than there are
 * sockets then take turns, where kept connections would shut some of them out until their leases end.
 */
const CROWDED = 0.75;

/** One listening address: `net` accepts and limits, node:http's parser reads, the listener answers. */
export class FrontServer {
  private readonly net: Server;
  private readonly http: HttpServer;
  private open = 0;

  constructor(
    listener: RequestListener,
    limits: ServerLimits,
    private readonly log: Logger,
  ) {
    this.http = createHttp(
      {
        headersTimeout: limits.headersMs,
        requestTimeout: limits.requestMs,
        keepAliveTimeout: limits.idleMs,
        connectionsCheckingInterval: 5000,
        maxHeaderSize: 16 * 1024,
      },
      (req, res) => {
        if (this.open > limits.sockets * CROWDED) res.shouldKeepAlive = false;
        listener(req, res);
      },
    );
    this.http.on('clientError', (_error, socket) => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      else socket.destroy();
    });
    this.net = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.net.maxConnections = limits.sockets;
    this.net.on('error', (error) => this.log.error({ error: error.message }, 'front server failed'));
  }

  private accept(socket: Socket): void {
    this.open++;
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.open--);
    this.http.emit('connection', socket);
  }

  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.net.once('error', reject);
      this.net.listen({ host, port, backlog: 511 }, () => {
        this.net.removeListener('error', reject);
        resolve();
      });
    });
  }

  close(): void {
    this.net.close();
    this.http.closeAllConnections();
  }
}
