import type { LeaderContext } from '../cluster/context.js';
import { reason } from '../log/logger.js';
import type { Order, Report } from '../model/report.js';
import { type Steady, since } from '../model/time.js';
import type { Task } from '../scheduler/job-book.js';
import type { Host } from './host-book.js';
import { ordersFor } from './orders.js';

const COMMAND_MS = 1500;
/** After calls that brought no answer, orders wait for the host's reports this long. */
const REST_MS = 3000;
const MOST_ORDERS = 200;

/** Sends orders straight to the workers, one call at a time to each. */
export class Dispatcher {
  private readonly restUntil = new Map<string, Steady>();

  constructor(
    private readonly ctx: LeaderContext,
    private readonly onReport: (host: Host, report: Report) => void,
  ) {}

  wake(host: Host): void {
    if (host.commandInFlight) {
      host.commandWanted = true;
      return;
    }
    if (host.address === '' || this.ctx.ended()) return;
    const rest = this.restUntil.get(host.id);
    if (rest !== undefined && rest > this.ctx.clock.now()) return;
    const orders = host.known ? ordersFor(host, this.ctx.clock.now()).slice(0, MOST_ORDERS) : [];
    if (orders.length === 0 && host.known) return;
    void this.send(host, orders);
  }

  private async send(host: Host, orders: Order[]): Promise<void> {
    const runs = runsAmong(host, orders);
    for (const { task } of runs) {
      task.sentTenure ??= host.tenure;
      task.loose++;
    }
    host.commandInFlight = true;
    host.commandWanted = false;
    const sentAt = this.ctx.clock.now();
    try {
      const answer = await this.ctx.workers.command(
        host.address,
        this.ctx.epoch,
        host.tenure,
        orders,
        COMMAND_MS,
      );
      for (const { task, tryNo } of runs) if (task.tryNo === tryNo && task.loose > 0) task.loose--;
      host.unreachable = 0;
      this.restUntil.delete(host.id);
      if (answer.report) this.onReport(host, answer.report);
    } catch (error) {
      // The orders may still arrive, minutes late: the attempts stay loose.
      host.unreachable++;
      this.restUntil.set(host.id, (this.ctx.clock.now() + REST_MS) as Steady);
      this.ctx.log.debug(
        { host: host.id, error: reason(error), ms: since(this.ctx.clock.now(), sentAt) },
        'command not answered',
      );
    } finally {
      host.commandInFlight = false;
      if (host.commandWanted) this.wake(host);
    }
  }
}

/** The tasks whose run orders are among these. */
export function runsAmong(host: Host, orders: readonly Order[]): { task: Task; tryNo: Task['tryNo'] }[] {
  const ids = new Set(orders.filter((o) => o.verb === 'run').map((o) => o.task));
  const runs: { task: Task; tryNo: Task['tryNo'] }[] = [];
  for (const task of host.tasks) if (ids.has(task.id)) runs.push({ task, tryNo: task.tryNo });
  return runs;
}
