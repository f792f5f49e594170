/** Calls to workers: directly, through another controller across a partition, or through one with less load. */
import type { Heartbeat, WorkerCommand } from '../model/heartbeat.js';
import type { AgentIncarnation, FencingToken } from '../model/ids.js';
import { DELEGATION_LOAD } from '../model/load.js';
import { type Clock, type MonotonicTime, plus } from '../model/time.js';
import { NoAnswerError, NoSocketError } from '../net/http-client.js';
import { type CommandReply, directCommandBody, readCommandReply } from '../wire/workers.js';
import { FrameKind } from './frames.js';
import type { Peer } from './peer.js';
import { type CallVerb, encodeWorkerCall } from './worker-call.js';
import type { WorkerClient } from './worker-client.js';

/** After a call failed on one route, that route is avoided for this long. */
const ROUTE_AVOIDANCE_MS = 8000;
/** What a controller that calls on our behalf is given beyond the call's own deadline. */
const RELAY_ALLOWANCE_MS = 300;
const OK_STATUS = 200;
const CONFLICT_STATUS = 409;
/** The status with which a controller responds that had no socket for the call: nothing was sent. */
export const NO_SOCKET_STATUS = 429;

/** Makes one call to a worker from this process. */
export interface DirectWorkerCaller {
  call(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<CommandReply>;
}

/** Addresses for which a route is avoided for a while. */
class AvoidedAddresses {
  private readonly avoidedUntil = new Map<string, MonotonicTime>();

  constructor(private readonly clock: Clock) {}

  add(address: string): void {
    this.avoidedUntil.set(address, plus(this.clock.now(), ROUTE_AVOIDANCE_MS));
  }

  has(address: string): boolean {
    const until = this.avoidedUntil.get(address);
    if (until === undefined) return false;
    if (until > this.clock.now()) return true;
    this.avoidedUntil.delete(address);
    return false;
  }

  delete(address: string): void {
    this.avoidedUntil.delete(address);
  }
}

/** Picks always the same peer for an address, so that its connections to workers are used again. */
function peerFor(address: string, peers: readonly Peer[]): Peer | undefined {
  let hash = 0;
  for (let index = 0; index < address.length; index++) {
    hash = (hash * 31 + address.charCodeAt(index)) >>> 0;
  }
  return peers[hash % Math.max(1, peers.length)];
}

/**
 * Reaches workers directly or, across a partition, through another controller: two zones that cannot
 * reach each other are mostly both reached from a third.
 */
export class RoutedCaller implements WorkerClient {
  private readonly avoidedDirectly: AvoidedAddresses;
  /** Avoided through the controller that makes calls for this one while it is busy. */
  private readonly avoidedByDelegation: AvoidedAddresses;
  /** Commands across a partition go through the peers in turn. */
  private nextPeer = 0;

  constructor(
    private readonly direct: DirectWorkerCaller,
    private readonly peers: readonly Peer[],
    clock: Clock,
    /** The share of its processor time that this process uses. */
    private readonly load: () => number,
  ) {
    this.avoidedDirectly = new AvoidedAddresses(clock);
    this.avoidedByDelegation = new AvoidedAddresses(clock);
  }

  async sendCommands(
    address: string,
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
    deadlineMs: number,
  ): Promise<CommandReply> {
    const body = directCommandBody(token, incarnation, commands);
    if (this.avoidedDirectly.has(address)) return this.sendThroughPeer(address, body, deadlineMs);
    const delegate = this.delegateFor(address);
    if (delegate) return this.callThroughDelegate(delegate, 'commands', address, body, deadlineMs);
    try {
      return await this.direct.call('commands', address, body, deadlineMs);
    } catch (error) {
      if (error instanceof NoSocketError) throw error;
      if (this.connectedPeers.length > 0) this.avoidedDirectly.add(address);
      throw error;
    }
  }

  async fetchHeartbeat(
    address: string,
    deadlineMs: number,
    useEveryRoute: boolean,
  ): Promise<Heartbeat | null> {
    if (!useEveryRoute) return (await this.fetchOnOneRoute(address, deadlineMs)).heartbeat;
    try {
      const reply = await Promise.any([
        this.direct.call('show', address, undefined, deadlineMs),
        this.fetchThroughPeers(address, deadlineMs),
      ]);
      return reply.heartbeat;
    } catch (error) {
      const failures = (error as AggregateError).errors as unknown[];
      const unsent = failures.find((failure) => failure instanceof NoSocketError);
      throw unsent ?? new NoAnswerError('no controller reaches the worker');
    }
  }

  private fetchOnOneRoute(address: string, deadlineMs: number): Promise<CommandReply> {
    const delegate = this.delegateFor(address);
    if (delegate) return this.callThroughDelegate(delegate, 'show', address, undefined, deadlineMs);
    return this.direct.call('show', address, undefined, deadlineMs);
  }

  private get connectedPeers(): Peer[] {
    return this.peers.filter((peer) => peer.isConnected);
  }

  /** The controller that makes this call for us; undefined: we make it. */
  private delegateFor(address: string): Peer | undefined {
    if (this.load() < DELEGATION_LOAD || this.avoidedByDelegation.has(address)) return undefined;
    return peerFor(
      address,
      this.peers.filter((peer) => peer.hasSpareCapacity),
    );
  }

  private async callThroughDelegate(
    delegate: Peer,
    verb: CallVerb,
    address: string,
    body: unknown,
    deadlineMs: number,
  ): Promise<CommandReply> {
    try {
      return await this.callThrough(delegate, encodeWorkerCall(verb, address, deadlineMs, body), deadlineMs);
    } catch (error) {
      this.avoidedByDelegation.add(address);
      throw error;
    }
  }

  /** Throws `NoSocketError` where nothing was sent, and `NoAnswerError`. */
  private async callThrough(peer: Peer, payload: Buffer, deadlineMs: number): Promise<CommandReply> {
    const response = await peer.request(FrameKind.WorkerCall, payload, deadlineMs + RELAY_ALLOWANCE_MS);
    if (response?.status === NO_SOCKET_STATUS) {
      throw new NoSocketError('the other controller has no socket free');
    }
    if (response?.status !== OK_STATUS && response?.status !== CONFLICT_STATUS) {
      throw new NoAnswerError('not reached');
    }
    return readCommandReply(response.status, JSON.parse(response.body.toString('utf8')));
  }

  /**
   * Sends commands through one peer: commands take one route at a time, as one that brought no answer may still
   * arrive, and its caller must know. Without an answer the direct route is tried again next time.
   */
  private async sendThroughPeer(address: string, body: unknown, deadlineMs: number): Promise<CommandReply> {
    const payload = encodeWorkerCall('commands', address, deadlineMs, body);
    const { connectedPeers } = this;
    const peer = connectedPeers[this.nextPeer++ % Math.max(1, connectedPeers.length)];
    const reply = peer ? await this.callThrough(peer, payload, deadlineMs).catch(() => null) : null;
    if (reply) return reply;
    this.avoidedDirectly.delete(address);
    throw new NoAnswerError('no controller reaches the worker');
  }

  /** Reads the heartbeat through all peers at once: reading changes nothing, so every route may be taken. */
  private async fetchThroughPeers(address: string, deadlineMs: number): Promise<CommandReply> {
    const payload = encodeWorkerCall('show', address, deadlineMs, undefined);
    const calls = this.connectedPeers.map((peer) => this.callThrough(peer, payload, deadlineMs));
    try {
      return await Promise.any(calls);
    } catch (error) {
      throw new NoAnswerError('no other controller reaches the worker', { cause: error });
    }
  }
}
