import { createServer, connect, type AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { type RequestHandler, requestListener, MAX_BODY_BYTES } from '../../src/api/http-router.js';
import { ConfirmedCancellations } from '../../src/core/confirmed-cancellations.js';
import { PeerGroup } from '../../src/controller/peer-group.js';
import { silentLogger } from '../../src/log/logger.js';
import type { MemberId } from '../../src/model/ids.js';
import { PROTOCOL_VERSION, UNVERSIONED } from '../../src/model/protocol.js';
import { ms, systemClock } from '../../src/model/time.js';
import { HttpTarget } from '../../src/net/http-client.js';
import { FrontServer } from '../../src/net/server.js';
import { splitAddress } from '../../src/net/address.js';
import { encodeFrame, encodePing, FrameKind, type Ping } from '../../src/peer/frames.js';
import { PeerLink, PeerServer } from '../../src/peer/link.js';

/** Real sockets on loopback; every wait is for an event. */
const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

function freeAddress(): Promise<string> {
  return new Promise((resolve) => {
    const probe = createServer().listen(0, '127.0.0.1', () => {
      const { port } = probe.address() as AddressInfo;
      probe.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}

async function front(handler: Partial<RequestHandler>, idleMs = 2000): Promise<string> {
  const whole: RequestHandler = {
    up: () => true,
    heartbeat: () => Promise.resolve({ status: 503, body: null }),
    user: (verb, body) => Promise.resolve({ status: 200, body: { verb, text: body.toString() } }),
    ...handler,
  };
  const limits = { sockets: 10, headersMs: 2000, requestMs: 2000, idleMs };
  const server = new FrontServer(requestListener(whole), limits, silentLogger);
  const address = await freeAddress();
  await server.listen(address);
  closing.push(() => server.close());
  return address;
}

function target(address: string): HttpTarget {
  const http = new HttpTarget(address, 2);
  closing.push(() => http.close());
  return http;
}

describe('the front address', () => {
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

  it('tells a user when to come back, and answers 500 for what it could not do', async () => {
    const address = await front({
      user: (verb) =>
        verb === 'query'
          ? Promise.resolve({ status: 503, body: { error: 'busy' }, retryAfter: 2 })
          : Promise.reject(new Error('cannot')),
    });
    const response = await fetch(`http://${address}/v2/runs/j-000001?as=is`);
    expect([response.status, response.headers.get('retry-after')]).toEqual([503, '2']);
    expect(await response.json()).toEqual({ error: 'busy' });
    expect((await fetch(`http://${address}/v2/runs/a/b/c`)).status).toBe(404);
    expect((await fetch(`http://${address}/v2/runs`, { method: 'POST', body: '{}' })).status).toBe(500);
    expect((await fetch(`http://${address}/up`, { method: 'HEAD' })).status).toBe(200);
  });

  it('refuses a body over the limit and goes on', async () => {
    const address = await front({});
    const long = await target(address).call('POST', '/v2/runs', 'x'.repeat(MAX_BODY_BYTES), 5000);
    expect(long.status).toBe(413);
    expect((await target(address).call('GET', '/up', undefined, 5000)).status).toBe(200);
  });

  it('answers more workers than it has sockets for, in turns', async () => {
    let inside = 0;
    let most = 0;
    const heartbeat = async (): Promise<{ status: number; body: null }> => {
      most = Math.max(most, ++inside);
      await new Promise((resolve) => setImmediate(resolve));
      inside--;
      return { status: 200, body: null };
    };
    const address = await front({ heartbeat }, 60_000);
    // Ten sockets, 40 workers that keep their connections and come at the same moment, three times each.
    const sendHeartbeat = async (worker: HttpTarget): Promise<number> => {
      for (let tries = 0; tries < 500; tries++) {
        const reply = await worker.call('POST', '/agent/beat', {}, 5000).catch(() => null);
        if (reply) return reply.status;
      }
      return 0;
    };
    const workers = Array.from({ length: 40 }, () => target(address));
    const answers = await Promise.all(
      workers.map(async (w) => [await sendHeartbeat(w), await sendHeartbeat(w), await sendHeartbeat(w)]),
    );
    expect(answers.flat().every((status) => status === 200)).toBe(true);
    expect(most).toBeLessThanOrEqual(10);
  });

  it('answers what is no HTTP with 400', async () => {
    const address = await front({});
    const text = await new Promise<string>((resolve) => {
      const socket = connect(Number(address.split(':')[1]), '127.0.0.1', () =>
        socket.write('nonsense\r\n\r\n'),
      );
      let read = '';
      socket.on('data', (d) => (read += d.toString()));
      socket.on('close', () => resolve(read));
    });
    expect(text).toContain('400 Bad Request');
  });
});

describe('the peer link', () => {
  it('carries questions and pings between two nodes', async () => {
    const ping = (member: string): Ping => ({
      member,
      isStoreReachable: true,
      leadingEpoch: null,
      version: 0,
      load: 0,
    });
    const server = new PeerServer(
      {
        ping: () => ping('b'),
        progress: () => {},
        ask: (_kind, payload) => Promise.resolve({ status: 200, body: payload }),
      },
      4,
      silentLogger,
    );
    const address = await freeAddress();
    await server.listen(address);
    closing.push(() => server.close());
    const heard = await new Promise<{ link: PeerLink; from: Ping }>((resolve) => {
      const link: PeerLink = new PeerLink(
        'b',
        address,
        systemClock,
        silentLogger,
        () => ping('a'),
        (from) => resolve({ link, from }),
      );
      link.start();
    });
    expect(heard.from.member).toBe('b');
    const answer = await heard.link.request(FrameKind.Heartbeat, Buffer.from('{}'), 5000);
    expect(answer).toMatchObject({ status: 200 });
    expect(answer?.body.toString()).toBe('{}');
  });

  it('warns where a controller comes back with an earlier version', async () => {
    const told = [PROTOCOL_VERSION, UNVERSIONED];
    const server = createServer((socket) => {
      const version = told.shift() ?? UNVERSIONED;
      const ping: Ping = { member: 'b', isStoreReachable: true, leadingEpoch: null, version, load: 0 };
      socket.write(encodeFrame(FrameKind.Ping, 0, encodePing(ping)));
      // The first process ends, and another one takes its place.
      if (version > UNVERSIONED) setTimeout(() => socket.destroy(), 50);
    });
    const address = await freeAddress();
    const { host, port } = splitAddress(address);
    server.listen({ host, port });
    closing.push(() => server.close());
    const upgraded: string[] = [];
    const warning = await new Promise<object>((resolve) => {
      const group = new PeerGroup(
        [{ member: 'b' as MemberId, address }],
        systemClock,
        { ...silentLogger, warn: resolve },
        new ConfirmedCancellations(systemClock, ms(1000)),
        {
          ping: () => ({
            member: 'a',
            isStoreReachable: true,
            leadingEpoch: null,
            version: PROTOCOL_VERSION,
            load: 0,
          }),
          leading: () => null,
          leaderRecord: () => null,
        },
        { heardOfLeader: () => {}, allUpgraded: () => upgraded.push('all') },
      );
      group.start();
    });
    expect(upgraded).toEqual(['all']);
    expect(warning).toEqual({ member: 'b' });
  });
});
