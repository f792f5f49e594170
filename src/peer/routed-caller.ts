/**
 * Routes calls to workers: directly, through another controller across a network partition, or through a controller
 * with less load.
 */
import type { Heartbeat, WorkerCommand } from '../model/heartbeat.js';
import type { AgentIncarnation, FencingToken } from '../model/ids.js';
import { MIN_DELEGATION_LOAD_RATIO } from '../model/load.js';
import { type Clock, type MonotonicTime, plus } from '../model/time.js';
import { NoAnswerError, NoSocketError } from '../net/http-client.js';
import { type CommandReply, directCommandBody, readCommandReply } from '../wire/workers.js';
import { FrameKind } from './frames.js';
import type { Peer } from './peer.js';
import { type WorkerCallVerb, encodeWorkerCall } from './worker-call.js';
import type { WorkerClient } from './worker-client.js';

/** How long a route to a worker is avoided after a call on that route failed. */
const ROUTE_AVOIDANCE_MS = 8000;
/** Time beyond a call's own deadline that a controller relaying the call has to respond. */
const RELAY_DEADLINE_MARGIN_MS = 300;
const OK_STATUS = 200;
const CONFLICT_STATUS = 409;
/** The status of a relayed call that was not sent because the relaying controller had no free socket. */
export const NO_SOCKET_STATUS = 429;

/** Makes calls to workers directly from this process. */
export interface DirectWorkerCaller {
  call(verb: WorkerCallVerb, address: string, body: unknown, deadlineMs: number): Promise<CommandReply>;
}

/** Worker addresses for which a route is avoided until a deadline. */
class AvoidedAddresses {
  private readonly avoidedUntil = new Map<string, MonotonicTime>();

  constructor(private readonly clock: Clock) {}

  add(address: string): void {
    this.avoidedUntil.set(address, plus(this.clock.now(), ROUTE_AVOIDANCE_MS));
  }

  has(address: string): boolean {
    const expiresAt = this.avoidedUntil.get(address);
    if (expiresAt === undefined) return false;
    if (expiresAt > this.clock.now()) return true;
    this.avoidedUntil.delete(address);
    return false;
  }

  delete(address: string): void {
    this.avoidedUntil.delete(address);
  }
}

/**
 * Selects a peer by a hash of the worker's address, so that calls to a worker reuse the same peer's connection to it.
 */
function peerForAddress(address: string, peers: readonly Peer[]): Peer | undefined {
  let hash = 0;
  for (let index = 0; index < address.length; index++) {
    hash = (hash * 31 + address.charCodeAt(index)) >>> 0;
  }
  return peers[hash % Math.max(1, peers.length)];
}

/**
 * Calls workers directly or, across a network partition, through another controller: a third zone can usually reach
 * both of two zones that cannot reach each other. While the load of this process is at least
 * `MIN_DELEGATION_LOAD_RATIO`, calls are delegated to controllers with spare capacity.
 */
export class RoutedCaller implements WorkerClient {
  private readonly avoidedDirectly: AvoidedAddresses;
  /** Addresses for which a call that was delegated to another controller (`delegateFor`) has failed. */
  private readonly avoidedByDelegation: AvoidedAddresses;
  /** Round-robin counter that selects the peer for commands across a network partition. */
  private nextPeer = 0;

  constructor(
    private readonly direct: DirectWorkerCaller,
    private readonly peers: readonly Peer[],
    clock: Clock,
    /** Returns this process's processor utilization, between 0 and 1. */
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
      const noSocketError = failures.find((failure) => failure instanceof NoSocketError);
      throw (
        noSocketError ??
        new NoAnswerError('neither this controller nor any connected peer reached the worker')
      );
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

  /** Returns the controller that a call is delegated to; undefined: this process makes the call itself. */
  private delegateFor(address: string): Peer | undefined {
    if (this.load() < MIN_DELEGATION_LOAD_RATIO || this.avoidedByDelegation.has(address)) return undefined;
    return peerForAddress(
      address,
      this.peers.filter((peer) => peer.hasSpareCapacity),
    );
  }

  private async callThroughDelegate(
    delegate: Peer,
    verb: WorkerCallVerb,
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

  /**
   * Makes a call through a peer. Throws `NoSocketError` if the peer had no free socket for the call, and
   * `NoAnswerError` if the peer did not respond or did not reach the worker.
   */
  private async callThrough(peer: Peer, payload: Buffer, deadlineMs: number): Promise<CommandReply> {
    const response = await peer.request(FrameKind.WorkerCall, payload, deadlineMs + RELAY_DEADLINE_MARGIN_MS);
    if (response?.status === NO_SOCKET_STATUS) {
      throw new NoSocketError('the relaying controller has no free socket');
    }
    if (response?.status !== OK_STATUS && response?.status !== CONFLICT_STATUS) {
      throw new NoAnswerError('the relaying controller did not respond or did not reach the worker');
    }
    return readCommandReply(response.status, JSON.parse(response.body.toString('utf8')));
  }

  /**
   * Sends commands through one peer. Commands use one route at a time: commands without an answer may still be
   * executed, and the caller must know about them. Without an answer, the direct route is no longer avoided.
   */
  private async sendThroughPeer(address: string, body: unknown, deadlineMs: number): Promise<CommandReply> {
    const payload = encodeWorkerCall('commands', address, deadlineMs, body);
    const { connectedPeers } = this;
    const peer = connectedPeers[this.nextPeer++ % Math.max(1, connectedPeers.length)];
    const reply = peer ? await this.callThrough(peer, payload, deadlineMs).catch(() => null) : null;
    if (reply) return reply;
    this.avoidedDirectly.delete(address);
    throw new NoAnswerError('the worker did not answer through another controller');
  }

  /**
   * Fetches the heartbeat through all connected peers in parallel, which is safe since the request changes no state.
   */
  private async fetchThroughPeers(address: string, deadlineMs: number): Promise<CommandReply> {
    const payload = encodeWorkerCall('show', address, deadlineMs, undefined);
    const calls = this.connectedPeers.map((peer) => this.callThrough(peer, payload, deadlineMs));
    try {
      return await Promise.any(calls);
    } catch (error) {
      throw new NoAnswerError('no connected peer reached the worker', { cause: error });
    }
  }
}
