import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import { NoSocketError } from '../net/http-client.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Worker } from './state/worker.js';
import type { CommandIssuer } from './command-issuer.js';

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
export class CommandDispatcher {
  private readonly restUntil = new Map<string, MonotonicTime>();
  private readonly waiting = new Set<Worker>();
  private readonly strangers = new Set<Worker>();
  private inFlight = 0;
  private contacts = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly issuer: CommandIssuer,
    private readonly onReport: (worker: Worker, heartbeat: Heartbeat) => void,
    private readonly most: number,
  ) {}

  dispatch(worker: Worker): void {
    if (worker.commandInFlight) {
      worker.commandWanted = true;
      return;
    }
    if (!this.mayCall(worker)) return;
    if (worker.hasReported) this.command(worker);
    else {
      this.strangers.add(worker);
      this.meet();
    }
  }

  private mayCall(worker: Worker): boolean {
    if (worker.address === '' || this.ctx.isEnded()) return false;
    const rest = this.restUntil.get(worker.id);
    return rest === undefined || rest <= this.ctx.clock.now();
  }

  private command(worker: Worker): void {
    if (this.inFlight >= this.most) {
      this.waiting.add(worker);
      return;
    }
    const commands = this.issuer.issue(worker, this.ctx.isLeaseValid(), [], MOST_ORDERS);
    if (commands.length > 0) void this.send(worker, commands);
  }

  /** An empty command tells a worker our epoch and brings its report. */
  private meet(): void {
    for (const worker of this.strangers) {
      // The busier this process is, the more of them are left to report by themselves.
      const mostContacts = Math.max(1, this.most * CONTACTS_SHARE * (1 - this.ctx.load()));
      if (this.contacts >= mostContacts || this.inFlight >= this.most) return;
      this.strangers.delete(worker);
      // It may have reported by itself meanwhile.
      if (worker.hasReported || worker.commandInFlight || !this.mayCall(worker)) continue;
      this.contacts++;
      void this.send(worker, []).finally(() => {
        this.contacts--;
        this.meet();
      });
    }
  }

  private next(): void {
    for (const worker of this.waiting) {
      if (this.inFlight >= this.most) return;
      this.waiting.delete(worker);
      this.dispatch(worker);
    }
  }

  private async send(worker: Worker, commands: WorkerCommand[]): Promise<void> {
    const token = worker.fencingToken(this.ctx.epoch);
    worker.commandInFlight = true;
    worker.commandWanted = false;
    this.inFlight++;
    const sentAt = this.ctx.clock.now();
    try {
      const answer = await this.ctx.workerClient.sendCommands(
        worker.address,
        token,
        worker.incarnation,
        commands,
        COMMAND_MS,
      );
      worker.failedCalls = 0;
      worker.lastContactAt = this.ctx.clock.now();
      this.restUntil.delete(worker.id);
      if (answer.heartbeat) this.onReport(worker, answer.heartbeat);
    } catch (error) {
      if (error instanceof NoSocketError) {
        // Nothing has left; the host's next report brings the orders if no socket is free before.
        worker.commandWanted = false;
        return;
      }
      // The orders may still arrive, minutes late: until the host's token is raised.
      worker.failedCalls++;
      worker.lastCallFailedAt = this.ctx.clock.now();
      this.restUntil.set(worker.id, (this.ctx.clock.now() + REST_MS) as MonotonicTime);
      this.ctx.log.debug(
        { worker: worker.id, error: errorMessage(error), ms: since(this.ctx.clock.now(), sentAt) },
        'command not answered',
      );
    } finally {
      worker.commandInFlight = false;
      this.inFlight--;
      if (worker.commandWanted) this.dispatch(worker);
      this.next();
    }
  }
}
