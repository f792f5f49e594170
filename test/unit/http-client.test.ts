import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { HttpConnectionPool, NoAnswerError, NoSocketError } from '../../src/net/http-client.js';
import { WorkerConnections } from '../../src/workers/worker-connections.js';

const openResources: (Server | HttpConnectionPool | Socket)[] = [];
afterEach(() => {
  for (const resource of openResources.splice(0)) {
    if ('destroy' in resource) resource.destroy();
    else resource.close();
  }
});

/** Starts a server that passes the text, the socket and the index of each request to `respond`. */
async function startServer(
  respond: (request: string, socket: Socket, index: number) => void,
): Promise<string> {
  let requests = 0;
  const listening = createServer((socket) => {
    openResources.push(socket);
    socket.on('error', () => {});
    socket.on('data', (bytes) => respond(bytes.toString(), socket, requests++));
  });
  openResources.push(listening);
  await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(listening.address() as AddressInfo).port}`;
}

function targetAt(address: string, sockets: number): HttpConnectionPool {
  const target = new HttpConnectionPool(address, sockets);
  openResources.push(target);
  return target;
}

const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}';

describe('an HTTP connection pool', () => {
  it('shares connections among calls, and sends no call on a connection with a pending response', async () => {
    const connections = new Set<Socket>();
    const address = await startServer((request, socket) => {
      expect(request.match(/HTTP\/1\.1/g)).toHaveLength(1);
      connections.add(socket);
      setImmediate(() => socket.write(OK));
    });
    const http = targetAt(address, 2);
    const replies = await Promise.all(
      Array.from({ length: 9 }, () => http.call('POST', '/x', { a: 1 }, 5000)),
    );
    expect(replies.every(({ status, body }) => status === 200 && (body as { a: number }).a === 1)).toBe(true);
    expect(connections.size).toBe(2);
  });

  // A late response to a call must not be taken for the response to the next call on the same connection.
  it('closes the connection of a call whose deadline passed', async () => {
    const sockets: Socket[] = [];
    const address = await startServer((_request, socket, index) => {
      sockets.push(socket);
      if (index > 0) socket.write(OK);
    });
    const http = targetAt(address, 1);
    const late = http.call('GET', '/slow', undefined, 50);
    const next = http.call('GET', '/next', undefined, 5000);
    await expect(late).rejects.toThrow(NoAnswerError);
    expect((await next).status).toBe(200);
    expect(sockets[0]).not.toBe(sockets[1]);
  });

  it('fails calls when the connection is lost or refused, and reconnects for the next call', async () => {
    const address = await startServer((_request, socket, index) => {
      if (index === 0) socket.destroy();
      else socket.write(OK);
    });
    const http = targetAt(address, 1);
    await expect(http.call('GET', '/x', undefined, 5000)).rejects.toThrow(NoAnswerError);
    expect((await http.call('GET', '/x', undefined, 5000)).status).toBe(200);
    await expect(targetAt('127.0.0.1:1', 1).call('GET', '/x', undefined, 5000)).rejects.toThrow(
      NoAnswerError,
    );
  });
});

describe('WorkerConnections', () => {
  it('never opens more sockets than its limit, and keeps the connections of the workers called last', async () => {
    let connected = 0;
    const addresses = await Promise.all(
      [0, 1, 2].map(async () => {
        const listening = createServer((socket) => {
          openResources.push(socket);
          connected++;
          socket.on('close', () => connected--);
          socket.on('error', () => {});
          socket.on('data', () => socket.write(OK));
        });
        openResources.push(listening);
        await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
        return `127.0.0.1:${(listening.address() as AddressInfo).port}`;
      }),
    );
    const [a, b, c] = addresses as [string, string, string];
    const workers = new WorkerConnections(2);
    for (const address of [a, b, a, c, a, b, c]) {
      expect((await workers.call('show', address, undefined, 5000)).status).toBe(200);
      // The server sees the close of a connection only after the client has closed it, so the test polls the count.
      await vi.waitFor(() => expect(connected).toBeLessThanOrEqual(2), { timeout: 10_000 });
    }
    expect(connected).toBe(2);
    const busy = [workers.call('show', a, undefined, 5000), workers.call('show', b, undefined, 5000)];
    await expect(workers.call('show', c, undefined, 5000)).rejects.toThrow(NoSocketError);
    await Promise.all(busy);
    expect((await workers.call('show', c, undefined, 5000)).status).toBe(200);
  });
});

describe('an HTTP connection pool in a process with an overloaded event loop', () => {
  // The event loop runs expired timers before socket reads. If the expired deadline alone decided, a call would fail
  // although the server had executed the call and its response was already in the socket's receive buffer.
  it('accepts a response that arrived before the deadline', async () => {
    const address = await startServer((_request, socket) => {
      socket.write(OK);
      // Blocks the event loop after the response was sent, until the call's deadline has passed.
      const until = performance.now() + 150;
      while (performance.now() < until);
    });
    const reply = targetAt(address, 1).call('GET', '/x', undefined, 60);
    expect((await reply).status).toBe(200);
  });
});
