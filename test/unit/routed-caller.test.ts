import { describe, expect, it } from 'vitest';
import type { AgentIncarnation, FencingToken, MemberId } from '../../src/model/ids.js';
import { NoAnswerError, NoSocketError } from '../../src/net/http-client.js';
import type { Peer } from '../../src/peer/peer.js';
import { NO_SOCKET_STATUS, RoutedCaller } from '../../src/peer/routed-caller.js';
import { VirtualClock } from '../simulation/clock.js';

describe('RoutedCaller', () => {
  const reply = { status: 200, body: Buffer.from('{}') };
  const peer = (asked: string[], name: string, hasSpareCapacity: boolean, status = 200): Peer => ({
    member: name as MemberId,
    lastPing: null,
    isConnected: true,
    hasSpareCapacity,
    supports: () => true,
    request: () => {
      asked.push(name);
      return Promise.resolve({ ...reply, status });
    },
  });

  function caller(load: number, peers: (asked: string[]) => Peer[]) {
    const asked: string[] = [];
    const direct = {
      call: () => {
        asked.push('direct');
        return Promise.resolve({ executed: true, heartbeat: null });
      },
    };
    const routed = new RoutedCaller(direct, peers(asked), new VirtualClock(), () => load);
    const command = () =>
      routed.sendCommands('10.1.0.1:9000', 1 as FencingToken, 1 as AgentIncarnation, [], 1500);
    return { asked, command };
  }

  it('calls through a peer with spare capacity while this controller is busy, and through no other', async () => {
    const idle = caller(0.2, (asked) => [peer(asked, 'b', true)]);
    await idle.command();
    expect(idle.asked).toEqual(['direct']);
    const busy = caller(0.9, (asked) => [peer(asked, 'b', true)]);
    await busy.command();
    expect(busy.asked).toEqual(['b']);
    const allBusy = caller(0.9, (asked) => [peer(asked, 'b', false)]);
    await allBusy.command();
    expect(allBusy.asked).toEqual(['direct']);
  });

  it('calls directly after a call through a peer failed: that a controller reaches no worker says nothing of the worker', async () => {
    const failing = caller(0.9, (asked) => [peer(asked, 'b', true, 503)]);
    await expect(failing.command()).rejects.toThrow(NoAnswerError);
    await failing.command();
    expect(failing.asked).toEqual(['b', 'direct']);
    // Nothing was sent: the host is under no suspicion.
    const full = caller(0.9, (asked) => [peer(asked, 'b', true, NO_SOCKET_STATUS)]);
    await expect(full.command()).rejects.toThrow(NoSocketError);
  });
});
