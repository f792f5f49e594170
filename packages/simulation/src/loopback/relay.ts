/** A relay between processes on loopback: every ordered pair has a port, and drops bytes in one direction when cut. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Listens on a free port. */
export function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Dials a port of this machine. */
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

  /** The port on which `from` reaches `to`. */
  open(from: string, to: string, targetPort: () => number, targetHost = LOOPBACK): Promise<number> {
    const server = createServer((near) => {
      const far = dial(targetPort(), targetHost);
      this.pipe(near, far, from, to);
      this.pipe(far, near, to, from);
    });
    this.servers.push(server);
    return listen(server);
  }

  /** Bytes of a cut direction are dropped; the connection stays, as behind a packet filter. */
  private pipe(source: Socket, target: Socket, from: string, to: string): void {
    this.sockets.add(source);
    let broken = false;
    source.on('data', (bytes) => {
      // What was dropped cannot be made up for: the stream is useless from then on.
      if (!broken && this.isCut(from, to)) {
        broken = true;
        this.broken.set(source, `${from} ${to}`);
      }
      if (!broken && target.writable) target.write(bytes);
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

  cut(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
  }

  /** Bytes pass again. Connections that lost some are closed, so that the processes dial anew. */
  heal(from: string, to: string): void {
    const pair = `${from} ${to}`;
    this.cuts.delete(pair);
    for (const [socket, lost] of this.broken) if (lost === pair) socket.destroy();
  }

  /** Connections that lost bytes are closed, so that the processes dial anew. */
  healAll(): void {
    if (this.cuts.size === 0) return;
    this.cuts.clear();
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    for (const server of this.servers) server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
