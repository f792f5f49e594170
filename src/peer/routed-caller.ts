import type { WorkerCaller } from '../cluster/context.js';
import type { SessionNumber, Token } from '../model/ids.js';
import type { Order, Report } from '../model/report.js';
import { type Clock, type Steady, plus } from '../model/time.js';
import { NoAnswer, NoSocket } from '../net/http-client.js';
import { commandBody, readCommandReply, type CommandReply } from '../wire/workers.js';
import { encodeCall, type CallVerb, Kind } from './frames.js';
import type { PeerLink } from './link.js';

/** After a direct call failed, a worker is asked through other controllers for this long. */
const DETOUR_MS = 8000;

/** One call to a worker, wherever it is made from. */
export interface RawCaller {
  call(verb: CallVerb, address: string, body: unknown, deadlineMs: number): Promise<CommandReply>;
}

/**
 * Reaches workers directly or, across a cut, through another controller: two zones that cannot
 * reach each other are mostly both reached from a third.
 */
export class RoutedCaller implements WorkerCaller {
  private readonly detours = new Map<string, Steady>();
  private turn = 0;

  constructor(
    private readonly direct: RawCaller,
    private readonly links: readonly PeerLink[],
    private readonly clock: Clock,
  ) {}

  async command(
    address: string,
    token: Token,
    session: SessionNumber,
    orders: readonly Order[],
    deadlineMs: number,
  ): Promise<CommandReply> {
    const body = commandBody(token, session, orders);
    const until = this.detours.get(address);
    if (until !== undefined && until > this.clock.now()) {
      const reply = await this.throughPeers('commands', address, body, deadlineMs);
      if (reply) return reply;
      this.detours.delete(address);
      throw new NoAnswer('no controller reaches the worker');
    }
    try {
      return await this.direct.call('commands', address, body, deadlineMs);
    } catch (error) {
      if (error instanceof NoSocket) throw error;
      if (this.links.some((l) => l.alive)) this.detours.set(address, plus(this.clock.now(), DETOUR_MS));
      throw error;
    }
  }

  async show(address: string, deadlineMs: number, everyWay: boolean): Promise<Report | null> {
    if (!everyWay) return (await this.direct.call('show', address, undefined, deadlineMs)).report;
    try {
      return await Promise.any([
        this.direct.call('show', address, undefined, deadlineMs),
        this.throughPeers('show', address, undefined, deadlineMs).then((r) => {
          if (!r) throw new NoAnswer('no other controller reaches the worker');
          return r;
        }),
      ]).then((r) => r.report);
    } catch (error) {
      const tried = (error as AggregateError).errors as unknown[];
      const unsent = tried.find((e) => e instanceof NoSocket);
      throw unsent ?? new NoAnswer('no controller reaches the worker');
    }
  }

  /** Commands take one way at a time; a look may be taken by all at once. */
  private async throughPeers(
    verb: CallVerb,
    address: string,
    body: unknown,
    deadlineMs: number,
  ): Promise<CommandReply | null> {
    const payload = encodeCall(verb, address, deadlineMs, body);
    const ask = async (link: PeerLink): Promise<CommandReply> => {
      const answer = await link.ask(Kind.Call, payload, deadlineMs + 300);
      if (answer?.status !== 200 && answer?.status !== 409) throw new NoAnswer('not reached');
      return readCommandReply(answer.status, JSON.parse(answer.body.toString('utf8')));
    };
    const alive = this.links.filter((l) => l.alive);
    if (verb === 'show') return Promise.any(alive.map(ask)).catch(() => null);
    // One way only: a command that brought no answer may still arrive, and its caller must know.
    const link = alive[this.turn++ % Math.max(1, alive.length)];
    return link ? ask(link).catch(() => null) : null;
  }
}
