/**
 * The one place where orders to workers leave. A run order that the placement rule forbids, by what is known at that
 * moment, is withheld: nothing is forgotten or killed, the task is proven gone like any that never started, and its job goes on.
 */
import type { LeaderContext } from '../core/context.js';
import type { DecisionLog } from '../log/decision-log.js';
import type { Order } from '../model/heartbeat.js';
import { type Steady, since } from '../model/time.js';
import { bindsZones, placementRefusal, PlacementRefusal } from '../scheduler/placement-rule.js';
import type { Task } from '../scheduler/task.js';
import type { Host } from './state/worker.js';
import { markSent, ordersFor } from './worker-commands.js';

/** What the log says of an order that was withheld. */
export const ORDER_WITHHELD = 'run order withheld: the placement rule forbids it';

/** The part of the rule that forbids the task on this host now; null: it may start. */
function refusalOf(task: Task, host: Host): PlacementRefusal | null {
  const { spec, zones } = task.job;
  if (!host.confirmed) return PlacementRefusal.MachineUnknown;
  const { machine } = host.confirmed;
  if (!bindsZones(spec)) return placementRefusal(spec, machine, zones.counts);
  // The task's own zone is known, as its machine is: it is counted there, and any other may be elsewhere.
  if (zones.unknown > 0) return PlacementRefusal.ZoneUnknown;
  return placementRefusal(spec, machine, zones.without(task.zone));
}

/** Chooses the orders that a host gets now, and remembers what has left. */
export class OrderIssuer {
  /** Run orders withheld under this leadership. */
  withheld = 0;

  constructor(
    private readonly ctx: Pick<LeaderContext, 'epoch' | 'log' | 'clock'>,
    private readonly decisions: DecisionLog,
  ) {}

  /** At most so many orders; `clears` come last. */
  issue(host: Host, sure: boolean, clears: readonly Order[], most: number): Order[] {
    const now = this.ctx.clock.now();
    const wanted = [...ordersFor(host, now, sure), ...clears].slice(0, most);
    const orders = this.permitted(host, wanted, now);
    markSent(host, orders, host.token(this.ctx.epoch));
    return orders;
  }

  private permitted(host: Host, orders: readonly Order[], now: Steady): Order[] {
    const tasks = new Map<string, Task>();
    if (orders.some(({ verb }) => verb !== 'clear')) for (const task of host.tasks) tasks.set(task.id, task);
    return orders.filter((order) => {
      if (order.verb === 'clear') return true;
      const task = tasks.get(order.task);
      if (order.verb === 'kill') this.tellOfStop(order, host, task);
      // The run order of a task that is stopped with it was checked when it was first sent.
      else if (task && task.kill === null) return this.mayRun(task, host, now);
      return true;
    });
  }

  private mayRun(task: Task, host: Host, now: Steady): boolean {
    const refusal = refusalOf(task, host);
    if (refusal !== null) {
      this.withhold(task, host, refusal, now);
      return false;
    }
    if (task.sentSession === null) this.decisions.tell('start', () => this.basisOf(task, host, now));
    return true;
  }

  private withhold(task: Task, host: Host, refusal: PlacementRefusal, now: Steady): void {
    this.withheld++;
    this.ctx.log.error({ refusal, ...this.basisOf(task, host, now) }, ORDER_WITHHELD);
    // A task of which no order has left is gone once a report lacks it; of one that was sent, once its orders are refused.
    if (task.sentSession === null) task.kill = { graceS: 0, why: 'misplaced', at: now };
    else host.doubted = true;
  }

  private tellOfStop(order: Order, host: Host, task: Task | undefined): void {
    const why = task?.tryNo === order.tryNo ? (task.kill?.why ?? 'unknown') : 'not wanted here';
    this.decisions.tell(`stop, ${why}`, () => ({ task: order.task, tryNo: order.tryNo, host: host.id }));
  }

  /** All that the decision to start the task rested on. */
  private basisOf(task: Task, host: Host, now: Steady): object {
    const { types, zone, spot, oneZone, spread, tasks } = task.job.spec;
    const { confirmed, facts } = host;
    return {
      epoch: this.ctx.epoch,
      task: task.id,
      tryNo: task.tryNo,
      host: host.id,
      rule: { types, zone, spot, oneZone, spread, tasks },
      machine: confirmed?.machine ?? facts.state,
      source: confirmed?.source ?? null,
      ageMs: confirmed ? Math.round(since(now, confirmed.learnedAt)) : null,
      zones: Object.fromEntries(task.job.zones.counts),
      unknownZones: task.job.zones.unknown,
    };
  }
}
