import type { LeaderContext } from '../core/context.js';
import { reason } from '../log/logger.js';
import { NoSocket } from '../net/http-client.js';
import type { Order, Report } from '../model/heartbeat.js';
import { type Steady, since } from '../model/time.js';
import type { Host } from './state/worker.js';
import type { OrderIssuer } from './command-issuer.js';

const COMMAND_MS = 1500;
/** After calls that brought no answer, orders wait for the host's reports this long. */
const REST_MS = 3000;
const MOST_ORDERS = 200;
/**
 * The part of the calls that may be first contacts. A new leader has every worker to meet; their reports
 * come by themselves, and orders to those that it knows must not queue behind the rest.
 */
const CONTACTS_SHARE = 0.25;

/** Sends orders straight to the workers, one call at a time to each, so many at once. */
export class Dispatcher {
  private readonly restUntil = new Map<string, Steady>();
  private readonly waiting = new Set<Host>();
  private readonly strangers = new Set<Host>();
  private inFlight = 0;
  private contacts = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly issuer: OrderIssuer,
    private readonly onReport: (host: Host, report: Report) => void,
    private readonly most: number,
  ) {}

  wake(host: Host): void {
    if (host.commandInFlight) {
      host.commandWanted = true;
      return;
    }
    if (!this.mayCall(host)) return;
    if (host.known) this.order(host);
    else {
      this.strangers.add(host);
      this.meet();
    }
  }

  private mayCall(host: Host): boolean {
    if (host.address === '' || this.ctx.ended()) return false;
    const rest = this.restUntil.get(host.id);
    return rest === undefined || rest <= this.ctx.clock.now();
  }

  private order(host: Host): void {
    if (this.inFlight >= this.most) {
      this.waiting.add(host);
      return;
    }
    const orders = this.issuer.issue(host, this.ctx.sure(), [], MOST_ORDERS);
    if (orders.length > 0) void this.send(host, orders);
  }

  /** An empty command tells a worker our epoch and brings its report. */
  private meet(): void {
    for (const host of this.strangers) {
      // The busier this process is, the more of them are left to report by themselves.
      const mostContacts = Math.max(1, this.most * CONTACTS_SHARE * (1 - this.ctx.load()));
      if (this.contacts >= mostContacts || this.inFlight >= this.most) return;
      this.strangers.delete(host);
      // It may have reported by itself meanwhile.
      if (host.known || host.commandInFlight || !this.mayCall(host)) continue;
      this.contacts++;
      void this.send(host, []).finally(() => {
        this.contacts--;
        this.meet();
      });
    }
  }

  private next(): void {
    for (const host of this.waiting) {
      if (this.inFlight >= this.most) return;
      this.waiting.delete(host);
      this.wake(host);
    }
  }

  private async send(host: Host, orders: Order[]): Promise<void> {
    const token = host.token(this.ctx.epoch);
    host.commandInFlight = true;
    host.commandWanted = false;
    this.inFlight++;
    const sentAt = this.ctx.clock.now();
    try {
      const answer = await this.ctx.workers.command(host.address, token, host.session, orders, COMMAND_MS);
      host.unreachable = 0;
      host.contactAt = this.ctx.clock.now();
      this.restUntil.delete(host.id);
      if (answer.report) this.onReport(host, answer.report);
    } catch (error) {
      if (error instanceof NoSocket) {
        // Nothing has left; the host's next report brings the orders if no socket is free before.
        host.commandWanted = false;
        return;
      }
      // The orders may still arrive, minutes late: until the host's token is raised.
      host.unreachable++;
      host.failedAt = this.ctx.clock.now();
      this.restUntil.set(host.id, (this.ctx.clock.now() + REST_MS) as Steady);
      this.ctx.log.debug(
        { host: host.id, error: reason(error), ms: since(this.ctx.clock.now(), sentAt) },
        'command not answered',
      );
    } finally {
      host.commandInFlight = false;
      this.inFlight--;
      if (host.commandWanted) this.wake(host);
      this.next();
    }
  }
}
