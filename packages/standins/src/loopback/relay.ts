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
export function dial(port: number): Socket {
  return connect({ host: LOOPBACK, port });
}

/** Forwards connections that `from` opens to `to`. */
export class Relay {
  private readonly servers: Server[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly cuts = new Set<string>();

  /** The port on which `from` reaches `to`. */
  open(from: string, to: string, targetPort: () => number): Promise<number> {
    const server = createServer((near) => {
      const far = dial(targetPort());
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
      broken ||= this.isCut(from, to);
      if (!broken && target.writable) target.write(bytes);
    });
    source.on('error', () => source.destroy());
    source.on('close', () => {
      this.sockets.delete(source);
      target.destroy();
    });
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from} ${to}`);
  }

  cut(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
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
