import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { PeerGroup } from '../../src/controller/peer-group.js';
import { ConfirmedCancellations } from '../../src/core/confirmed-cancellations.js';
import { silentLogger } from '../../src/log/logger.js';
import type { MemberId } from '../../src/model/ids.js';
import { PROTOCOL_VERSION, UNVERSIONED } from '../../src/model/protocol.js';
import { ms, systemClock } from '../../src/model/time.js';
import { splitAddress } from '../../src/net/address.js';
import { encodeFrame, FrameKind } from '../../src/peer/frames.js';
import { PeerLink } from '../../src/peer/link.js';
import { encodePing, type Ping } from '../../src/peer/ping.js';
import { PeerServer } from '../../src/peer/server.js';
import { freeAddress } from './free-address.js';

/**
 * The functions that close the servers of a test. The tests use real sockets on loopback, and wait for events instead
 * of fixed times.
 */
const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

function pingOf(member: string, version: number): Ping {
  return { member, isStoreReachable: true, leadingEpoch: null, version, load: 0 };
}

describe('PeerLink and PeerServer', () => {
  it('exchange pings, requests and responses between two controllers', async () => {
    const server = new PeerServer({
      handler: {
        ping: () => pingOf('b', UNVERSIONED),
        onProgress: () => {},
        handleRequest: (_kind, payload) => Promise.resolve({ status: 200, body: payload }),
      },
      maxSockets: 4,
      log: silentLogger,
    });
    const address = await freeAddress();
    await server.listen(address);
    cleanups.push(() => server.close());
    const firstPing = await new Promise<{ link: PeerLink; from: Ping }>((resolve) => {
      const link: PeerLink = new PeerLink({
        member: 'b' as MemberId,
        address,
        clock: systemClock,
        log: silentLogger,
        localPing: () => pingOf('a', UNVERSIONED),
        onPing: (from) => resolve({ link, from }),
      });
      link.start();
    });
    expect(firstPing.from.member).toBe('b');
    const response = await firstPing.link.request(FrameKind.Heartbeat, Buffer.from('{}'), 5000);
    expect(response).toMatchObject({ status: 200 });
    expect(response?.body.toString()).toBe('{}');
  });
});

describe('PeerGroup', () => {
  it('logs a warning when a controller reconnects with an earlier version', async () => {
    const versions = [PROTOCOL_VERSION, UNVERSIONED];
    const server = createServer((socket) => {
      const version = versions.shift() ?? UNVERSIONED;
      socket.write(encodeFrame(FrameKind.Ping, 0, encodePing(pingOf('b', version))));
      // The first process exits, and a process of an earlier version replaces it.
      if (version > UNVERSIONED) setTimeout(() => socket.destroy(), 50);
    });
    const address = await freeAddress();
    const { host, port } = splitAddress(address);
    server.listen({ host, port });
    cleanups.push(() => server.close());
    const upgradeEvents: string[] = [];
    const warning = await new Promise<object>((resolve) => {
      const group = new PeerGroup({
        peers: [{ member: 'b' as MemberId, address }],
        clock: systemClock,
        log: { ...silentLogger, warn: resolve },
        cancellations: new ConfirmedCancellations(systemClock, ms(1000)),
        localState: {
          ping: () => pingOf('a', PROTOCOL_VERSION),
          leadingEpoch: () => null,
          observedLeader: () => null,
        },
        listener: { onPeerLeading: () => {}, onAllUpgraded: () => upgradeEvents.push('all') },
      });
      group.start();
    });
    expect(upgradeEvents).toEqual(['all']);
    expect(warning).toEqual({ member: 'b' });
  });
});
