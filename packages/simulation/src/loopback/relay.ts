/** A relay between processes on loopback: every ordered pair has a port, and bytes of a cut direction are dropped. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Listens on a free port; resolves to the port. */
export function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Connects to a port of this machine. */
export function dial(port: number, host = LOOPBACK): Socket {
  return connect({ host, port });
}

/** Forwards connections that `from` opens to `to`. */
export class Relay {
  private readonly servers: Server[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly cuts = new Set<string>();
  /** Connections that lost bytes, by the direction that was cut. */
  private readonly broken = new Map<Socket, string>();

  /** Opens a port on which `from` reaches `to`; resolves to it. */
  open(from: string, to: string, targetPort: () => number, targetHost = LOOPBACK): Promise<number> {
    const server = createServer((inbound) => {
      const outbound = dial(targetPort(), targetHost);
      this.pipe(inbound, outbound, from, to);
      this.pipe(outbound, inbound, to, from);
    });
    this.servers.push(server);
    return listen(server);
  }

  /** Forwards bytes. Those of a cut direction are dropped; the connection stays open, as behind a packet filter. */
  private pipe(source: Socket, target: Socket, from: string, to: string): void {
    this.sockets.add(source);
    let isBroken = false;
    source.on('data', (bytes) => {
      // Dropped bytes are lost for good, so the stream is unusable from then on.
      if (!isBroken && this.isCut(from, to)) {
        isBroken = true;
        this.broken.set(source, `${from} ${to}`);
      }
      if (!isBroken && target.writable) target.write(bytes);
    });
    source.on('error', () => source.destroy());
    source.on('close', () => {
      this.sockets.delete(source);
      this.broken.delete(source);
      target.destroy();
    });
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from} ${to}`);
  }

  /** Drops bytes from `from` to `to` from now on. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
  }

  /** Restores one direction. Connections that lost bytes are closed, so that the processes reconnect. */
  heal(from: string, to: string): void {
    const pair = `${from} ${to}`;
    this.cuts.delete(pair);
    for (const [socket, brokenPair] of this.broken) {
      if (brokenPair === pair) socket.destroy();
    }
  }

  /** Restores all directions. If any was cut, all connections are closed, so that the processes reconnect. */
  healAll(): void {
    if (this.cuts.size === 0) return;
    this.cuts.clear();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Closes all ports and connections. */
  close(): void {
    for (const server of this.servers) server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
