import { describe, expect, it } from 'vitest';
import type { AgentIncarnation, FencingToken, MemberId } from '../../src/model/ids.js';
import { NoAnswerError, NoSocketError } from '../../src/net/http-client.js';
import type { Peer } from '../../src/peer/peer.js';
import { NO_SOCKET_STATUS, RoutedCaller } from '../../src/peer/routed-caller.js';
import { VirtualClock } from '../simulation/clock.js';

describe('RoutedCaller', () => {
  const reply = { status: 200, body: Buffer.from('{}') };
  const peer = (calledRoutes: string[], name: string, hasSpareCapacity: boolean, status = 200): Peer => ({
    member: name as MemberId,
    lastPing: null,
    isConnected: true,
    hasSpareCapacity,
    supports: () => true,
    request: () => {
      calledRoutes.push(name);
      return Promise.resolve({ ...reply, status });
    },
  });

  function caller(load: number, peers: (calledRoutes: string[]) => Peer[]) {
    const calledRoutes: string[] = [];
    const direct = {
      call: () => {
        calledRoutes.push('direct');
        return Promise.resolve({ executed: true, heartbeat: null });
      },
    };
    const routed = new RoutedCaller(direct, peers(calledRoutes), new VirtualClock(), () => load);
    const command = () =>
      routed.sendCommands('10.1.0.1:9000', 1 as FencingToken, 1 as AgentIncarnation, [], 1500);
    return { calledRoutes, command };
  }

  it('calls through a peer with spare capacity while this controller is busy, and otherwise directly', async () => {
    const idle = caller(0.2, (calledRoutes) => [peer(calledRoutes, 'b', true)]);
    await idle.command();
    expect(idle.calledRoutes).toEqual(['direct']);
    const busy = caller(0.9, (calledRoutes) => [peer(calledRoutes, 'b', true)]);
    await busy.command();
    expect(busy.calledRoutes).toEqual(['b']);
    const allBusy = caller(0.9, (calledRoutes) => [peer(calledRoutes, 'b', false)]);
    await allBusy.command();
    expect(allBusy.calledRoutes).toEqual(['direct']);
  });

  it('calls directly after a call through a peer failed, which is no evidence that the worker failed', async () => {
    const failing = caller(0.9, (calledRoutes) => [peer(calledRoutes, 'b', true, 503)]);
    await expect(failing.command()).rejects.toThrow(NoAnswerError);
    await failing.command();
    expect(failing.calledRoutes).toEqual(['b', 'direct']);
    // The call was not sent, so the error must not count as missing contact with the worker.
    const full = caller(0.9, (calledRoutes) => [peer(calledRoutes, 'b', true, NO_SOCKET_STATUS)]);
    await expect(full.command()).rejects.toThrow(NoSocketError);
  });
});
