/**
 * A TCP relay between processes on loopback. Every ordered pair of processes has a port, and each direction can be cut.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

const LOOPBACK_ADDRESS = '127.0.0.1';

/** Lets the server listen on a free loopback port. Resolves to the port number. */
export function listenOnFreePort(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, LOOPBACK_ADDRESS, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Connects to a TCP port, by default of this machine. */
export function dial(port: number, host = LOOPBACK_ADDRESS): Socket {
  return connect({ host, port });
}

/** Forwards connections between named processes, and drops bytes of directions that are cut. */
export class Relay {
  private readonly servers: Server[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly cutLinks = new Set<string>();
  /** The source sockets of streams that lost bytes, with the direction ("from to") that was cut. */
  private readonly brokenSources = new Map<Socket, string>();

  /** Opens a port on which process `from` reaches process `to`. Resolves to the port number. */
  open(from: string, to: string, targetPort: () => number, targetHost = LOOPBACK_ADDRESS): Promise<number> {
    const server = createServer((inbound) => {
      const outbound = dial(targetPort(), targetHost);
      this.pipe(inbound, outbound, from, to);
      this.pipe(outbound, inbound, to, from);
    });
    this.servers.push(server);
    return listenOnFreePort(server);
  }

  /**
   * Forwards bytes from `source` to `target`. Bytes of a cut direction are dropped; the connection stays open, as
   * behind a packet filter.
   */
  private pipe(source: Socket, target: Socket, from: string, to: string): void {
    this.sockets.add(source);
    let isBroken = false;
    source.on('data', (bytes) => {
      // Dropped bytes are not retransmitted, so the stream is unusable after the first drop.
      if (!isBroken && this.isCut(from, to)) {
        isBroken = true;
        this.brokenSources.set(source, `${from} ${to}`);
      }
      if (!isBroken && target.writable) target.write(bytes);
    });
    source.on('error', () => source.destroy());
    source.on('close', () => {
      this.sockets.delete(source);
      this.brokenSources.delete(source);
      target.destroy();
    });
  }

  private isCut(from: string, to: string): boolean {
    return this.cutLinks.has(`${from} ${to}`);
  }

  /** Drops bytes from `from` to `to` from now on. */
  cut(from: string, to: string): void {
    this.cutLinks.add(`${from} ${to}`);
  }

  /**
   * Restores the direction from `from` to `to`. Connections that lost bytes are closed, so that the processes
   * reconnect.
   */
  heal(from: string, to: string): void {
    const pair = `${from} ${to}`;
    this.cutLinks.delete(pair);
    for (const [socket, brokenPair] of this.brokenSources) {
      if (brokenPair === pair) socket.destroy();
    }
  }

  /** Restores all directions. If any was cut, all connections are closed, so that the processes reconnect. */
  healAll(): void {
    if (this.cutLinks.size === 0) return;
    this.cutLinks.clear();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Closes all ports and connections. */
  close(): void {
    for (const server of this.servers) server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
