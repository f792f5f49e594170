/** Calls to workers: directly, through another controller across a cut, or through an idler one while this one is busy. */
import type { WorkerClient } from './worker-client.js';
import type { AgentIncarnation, FencingToken } from '../model/ids.js';
import { DELEGATION_LOAD } from '../model/load.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import { type Clock, type MonotonicTime, plus } from '../model/time.js';
import { NoAnswerError, NoSocketError } from '../net/http-client.js';
import { directCommandBody, readCommandReply, type CommandReply } from '../wire/workers.js';
import { encodeCall, type CallVerb, FrameKind } from './frames.js';
import type { PeerLink } from './link.js';

/** After a call failed on one way, others are taken for this long. */
const DETOUR_MS = 8000;
/** What a controller that calls on our behalf is given beyond the call's own deadline. */
const RELAY_MS = 300;
/** The answer of a controller that had no socket for the call: nothing was sent. */
export const NO_SOCKET_STATUS = 429;

/** One call to a worker, wherever it is made from. */
export interface RawCaller {
  call(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<CommandReply>;
}

/** Addresses to which a way is not taken for a while. */
class Avoided {
  private readonly until = new Map<string, MonotonicTime>();

  constructor(private readonly clock: Clock) {}

  add(address: string): void {
    this.until.set(address, plus(this.clock.now(), DETOUR_MS));
  }

  has(address: string): boolean {
    const until = this.until.get(address);
    if (until === undefined) return false;
    if (until > this.clock.now()) return true;
    this.until.delete(address);
    return false;
  }

  delete(address: string): void {
    this.until.delete(address);
  }
}

/** Always the same one for an address, so that its connections to workers are used again. */
function linkFor(address: string, links: readonly PeerLink[]): PeerLink | undefined {
  let hash = 0;
  for (let i = 0; i < address.length; i++) hash = (hash * 31 + address.charCodeAt(i)) >>> 0;
  return links[hash % Math.max(1, links.length)];
}

/**
 * Reaches workers directly or, across a cut, through another controller: two zones that cannot
 * reach each other are mostly both reached from a third.
 */
export class RoutedCaller implements WorkerClient {
  /** Not reached directly. */
  private readonly detours: Avoided;
  /** Not reached through the controller that makes calls for us while we are busy. */
  private readonly notHelped: Avoided;
  private turn = 0;

  constructor(
    private readonly direct: RawCaller,
    private readonly links: readonly PeerLink[],
    clock: Clock,
    /** The share of its processor time that this process uses. */
    private readonly load: () => number,
  ) {
    this.detours = new Avoided(clock);
    this.notHelped = new Avoided(clock);
  }

  async sendCommands(
    address: string,
    token: FencingToken,
    session: AgentIncarnation,
    commands: readonly WorkerCommand[],
    deadlineMs: number,
  ): Promise<CommandReply> {
    const body = directCommandBody(token, session, commands);
    if (this.detours.has(address)) {
      const reply = await this.throughPeers('commands', address, body, deadlineMs);
      if (reply) return reply;
      this.detours.delete(address);
      throw new NoAnswerError('no controller reaches the worker');
    }
    const helper = this.helperFor(address);
    if (helper) return this.throughHelper(helper, 'commands', address, body, deadlineMs);
    try {
      return await this.direct.call('commands', address, body, deadlineMs);
    } catch (error) {
      if (error instanceof NoSocketError) throw error;
      if (this.alive.length > 0) this.detours.add(address);
      throw error;
    }
  }

  async fetchHeartbeat(address: string, deadlineMs: number, everyWay: boolean): Promise<Heartbeat | null> {
    if (!everyWay) return (await this.showOneWay(address, deadlineMs)).heartbeat;
    try {
      return await Promise.any([
        this.direct.call('show', address, undefined, deadlineMs),
        this.throughPeers('show', address, undefined, deadlineMs).then((r) => {
          if (!r) throw new NoAnswerError('no other controller reaches the worker');
          return r;
        }),
      ]).then((r) => r.heartbeat);
    } catch (error) {
      const tried = (error as AggregateError).errors as unknown[];
      const unsent = tried.find((e) => e instanceof NoSocketError);
      throw unsent ?? new NoAnswerError('no controller reaches the worker');
    }
  }

  private showOneWay(address: string, deadlineMs: number): Promise<CommandReply> {
    const helper = this.helperFor(address);
    if (helper) return this.throughHelper(helper, 'show', address, undefined, deadlineMs);
    return this.direct.call('show', address, undefined, deadlineMs);
  }

  private get alive(): PeerLink[] {
    return this.links.filter((link) => link.isConnected);
  }

  /** The controller that makes this call for us; undefined: we make it. */
  private helperFor(address: string): PeerLink | undefined {
    if (this.load() < DELEGATION_LOAD || this.notHelped.has(address)) return undefined;
    return linkFor(
      address,
      this.links.filter((link) => link.hasSpareCapacity),
    );
  }

  private async throughHelper(
    helper: PeerLink,
    verb: CallVerb,
    address: string,
    body: unknown,
    deadlineMs: number,
  ): Promise<CommandReply> {
    try {
      return await this.ask(helper, encodeCall(verb, address, deadlineMs, body), deadlineMs);
    } catch (error) {
      this.notHelped.add(address);
      throw error;
    }
  }

  /** Throws `NoSocket` where nothing was sent, and `NoAnswer`. */
  private async ask(link: PeerLink, payload: Buffer, deadlineMs: number): Promise<CommandReply> {
    const answer = await link.request(FrameKind.Call, payload, deadlineMs + RELAY_MS);
    if (answer?.status === NO_SOCKET_STATUS)
      throw new NoSocketError('the other controller has no socket free');
    if (answer?.status !== 200 && answer?.status !== 409) throw new NoAnswerError('not reached');
    return readCommandReply(answer.status, JSON.parse(answer.body.toString('utf8')));
  }

  /** Commands take one way at a time; a look may be taken by all at once. */
  private async throughPeers(
    verb: CallVerb,
    address: string,
    body: unknown,
    deadlineMs: number,
  ): Promise<CommandReply | null> {
    const payload = encodeCall(verb, address, deadlineMs, body);
    const { alive } = this;
    if (verb === 'show') {
      return Promise.any(alive.map((link) => this.ask(link, payload, deadlineMs))).catch(() => null);
    }
    // One way only: a command that brought no answer may still arrive, and its caller must know.
    const link = alive[this.turn++ % Math.max(1, alive.length)];
    return link ? this.ask(link, payload, deadlineMs).catch(() => null) : null;
  }
}
