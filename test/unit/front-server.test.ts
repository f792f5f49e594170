import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { type RequestHandler, createRequestListener, MAX_BODY_BYTES } from '../../src/api/http-router.js';
import { silentLogger } from '../../src/log/logger.js';
import { HttpConnectionPool } from '../../src/net/http-client.js';
import { FrontServer } from '../../src/net/front-server.js';
import { freeAddress } from './free-address.js';

/** Cleanup functions of each test. The tests use real loopback sockets, and wait for events rather than for times. */
const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

async function front(handler: Partial<RequestHandler>, idleTimeoutMs = 2000): Promise<string> {
  const completeHandler: RequestHandler = {
    up: () => true,
    heartbeat: () => Promise.resolve({ status: 503, body: null }),
    user: (verb, body) => Promise.resolve({ status: 200, body: { verb, text: body.toString() } }),
    ...handler,
  };
  const limits = { maxSockets: 10, headersTimeoutMs: 2000, requestTimeoutMs: 2000, idleTimeoutMs };
  const server = new FrontServer(createRequestListener(completeHandler), limits, silentLogger);
  const address = await freeAddress();
  await server.listen(address);
  closing.push(() => server.close());
  return address;
}

function target(address: string): HttpConnectionPool {
  const http = new HttpConnectionPool(address, 2);
  closing.push(() => http.close());
  return http;
}

describe('FrontServer', () => {
  it('routes health checks, users and workers', async () => {
    const http = target(await front({}));
    expect((await http.call('GET', '/up', undefined, 5000)).status).toBe(200);
    const query = await http.call('GET', '/v2/runs/j-000001', undefined, 5000);
    expect(query.body).toEqual({ verb: 'query', text: 'j-000001' });
    const cancel = await http.call('POST', '/v2/runs/j-000001/cancel', {}, 5000);
    expect(cancel.body).toEqual({ verb: 'cancel', text: 'j-000001' });
    expect((await http.call('POST', '/agent/beat', {}, 5000)).status).toBe(503);
    expect((await http.call('GET', '/elsewhere', undefined, 5000)).status).toBe(404);
  });

  it('sends the retry-after header, and answers 500 if the handler fails', async () => {
    const address = await front({
      user: (verb) =>
        verb === 'query'
          ? Promise.resolve({ status: 503, body: { error: 'busy' }, retryAfter: 2 })
          : Promise.reject(new Error('handler failed to process a user request')),
    });
    const response = await fetch(`http://${address}/v2/runs/j-000001?as=is`);
    expect([response.status, response.headers.get('retry-after')]).toEqual([503, '2']);
    expect(await response.json()).toEqual({ error: 'busy' });
    expect((await fetch(`http://${address}/v2/runs/a/b/c`)).status).toBe(404);
    expect((await fetch(`http://${address}/v2/runs`, { method: 'POST', body: '{}' })).status).toBe(500);
    expect((await fetch(`http://${address}/up`, { method: 'HEAD' })).status).toBe(200);
  });

  it('answers 413 to a body over the limit, and serves the next request', async () => {
    const address = await front({});
    const tooLarge = await target(address).call('POST', '/v2/runs', 'x'.repeat(MAX_BODY_BYTES), 5000);
    expect(tooLarge.status).toBe(413);
    expect((await target(address).call('GET', '/up', undefined, 5000)).status).toBe(200);
  });

  it('serves more workers than it has sockets, by closing connections after responses', async () => {
    let concurrent = 0;
    let maxConcurrent = 0;
    const heartbeat = async (): Promise<{ status: number; body: null }> => {
      maxConcurrent = Math.max(maxConcurrent, ++concurrent);
      await new Promise((resolve) => setImmediate(resolve));
      concurrent--;
      return { status: 200, body: null };
    };
    const address = await front({ heartbeat }, 60_000);
    // 10 sockets, and 40 workers with keep-alive connections that start concurrently and send three heartbeats each.
    const sendHeartbeat = async (worker: HttpConnectionPool): Promise<number> => {
      for (let attempts = 0; attempts < 500; attempts++) {
        const reply = await worker.call('POST', '/agent/beat', {}, 5000).catch(() => null);
        if (reply) return reply.status;
      }
      return 0;
    };
    const workers = Array.from({ length: 40 }, () => target(address));
    const statuses = await Promise.all(
      workers.map(async (worker) => [
        await sendHeartbeat(worker),
        await sendHeartbeat(worker),
        await sendHeartbeat(worker),
      ]),
    );
    expect(statuses.flat().every((status) => status === 200)).toBe(true);
    expect(maxConcurrent).toBeLessThanOrEqual(10);
  });

  it('answers 400 to bytes that are not HTTP', async () => {
    const address = await front({});
    const text = await new Promise<string>((resolve) => {
      const socket = connect(Number(address.split(':')[1]), '127.0.0.1', () =>
        socket.write('nonsense\r\n\r\n'),
      );
      let received = '';
      socket.on('data', (bytes) => (received += bytes.toString()));
      socket.on('close', () => resolve(received));
    });
    expect(text).toContain('400 Bad Request');
  });
});
