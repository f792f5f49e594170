/** Sends commands straight to the workers, beside the answers to their heartbeats. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import { NoSocketError } from '../net/http-client.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Worker } from './state/worker.js';
import type { CommandIssuer } from './command-issuer.js';

const COMMAND_TIMEOUT_MS = 1500;
/** After a call that brought no answer, commands wait for the worker's heartbeats this long. */
const BACKOFF_MS = 3000;
const MAX_COMMANDS_PER_CALL = 200;
/**
 * The part of the calls that may be first contacts. A new leader has to contact every worker; their heartbeats
 * come by themselves, and commands to those that it knows must not queue behind the rest.
 */
const FIRST_CONTACT_SHARE = 0.25;

/** What a `CommandDispatcher` is made with. */
export interface CommandDispatcherOptions {
  readonly issuer: CommandIssuer;
  /** Called with the heartbeat that a worker sent in its answer to a call. */
  readonly onHeartbeat: (worker: Worker, heartbeat: Heartbeat) => void;
  /** Calls that may be under way at once, to all workers together. */
  readonly maxConcurrentCalls: number;
}

/** Sends commands in direct calls: one call at a time to each worker, a bounded number to all of them. */
export class CommandDispatcher {
  /** When workers whose calls went unanswered may be called again. */
  private readonly backoffUntil = new Map<string, MonotonicTime>();
  /** Workers whose commands wait for a free call. */
  private readonly waiting = new Set<Worker>();
  /** Workers that have not reported under our epoch yet, and wait for a first contact. */
  private readonly unregistered = new Set<Worker>();
  private callsInFlight = 0;
  private firstContactsInFlight = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: CommandDispatcherOptions,
  ) {}

  /** Sends the worker what it has to be sent now, or as soon as a call is free. */
  dispatch(worker: Worker): void {
    if (worker.pendingCommands.isInFlight) {
      worker.pendingCommands.requestAnother();
      return;
    }
    if (!this.mayCall(worker)) return;
    if (worker.hasReported) this.sendPending(worker);
    else {
      this.unregistered.add(worker);
      this.contactUnregistered();
    }
  }

  private get hasFreeCall(): boolean {
    return this.callsInFlight < this.options.maxConcurrentCalls;
  }

  private mayCall(worker: Worker): boolean {
    if (worker.address === '' || this.ctx.isEnded()) return false;
    const backoffUntil = this.backoffUntil.get(worker.id);
    return backoffUntil === undefined || backoffUntil <= this.ctx.clock.now();
  }

  private sendPending(worker: Worker): void {
    if (!this.hasFreeCall) {
      this.waiting.add(worker);
      return;
    }
    const isLeaseValid = this.ctx.isLeaseValid();
    const commands = this.options.issuer.issue(worker, isLeaseValid, [], MAX_COMMANDS_PER_CALL);
    if (commands.length > 0) void this.send(worker, commands);
  }

  /** Contacts workers that have not reported: an empty call tells them our epoch and brings a heartbeat. */
  private contactUnregistered(): void {
    for (const worker of this.unregistered) {
      if (this.firstContactsInFlight >= this.maxFirstContacts() || !this.hasFreeCall) return;
      this.unregistered.delete(worker);
      // It may have reported by itself meanwhile.
      if (worker.hasReported || worker.pendingCommands.isInFlight || !this.mayCall(worker)) continue;
      this.firstContactsInFlight++;
      void this.send(worker, []).finally(() => {
        this.firstContactsInFlight--;
        this.contactUnregistered();
      });
    }
  }

  /** The busier this process is, the more workers are left to report by themselves. */
  private maxFirstContacts(): number {
    return Math.max(1, this.options.maxConcurrentCalls * FIRST_CONTACT_SHARE * (1 - this.ctx.load()));
  }

  private dispatchWaiting(): void {
    for (const worker of this.waiting) {
      if (!this.hasFreeCall) return;
      this.waiting.delete(worker);
      this.dispatch(worker);
    }
  }

  private async send(worker: Worker, commands: WorkerCommand[]): Promise<void> {
    const token = worker.fencingToken(this.ctx.epoch);
    worker.pendingCommands.begin();
    this.callsInFlight++;
    const sentAt = this.ctx.clock.now();
    try {
      const answer = await this.ctx.workerClient.sendCommands(
        worker.address,
        token,
        worker.incarnation,
        commands,
        COMMAND_TIMEOUT_MS,
      );
      worker.contact.recordCallAnswered(this.ctx.clock.now());
      this.backoffUntil.delete(worker.id);
      if (answer.heartbeat) this.options.onHeartbeat(worker, answer.heartbeat);
    } catch (error) {
      if (error instanceof NoSocketError) {
        // Nothing has left; the next heartbeat's answer brings the commands if no socket is free before.
        worker.pendingCommands.cancelRequest();
        return;
      }
      this.recordUnanswered(worker, sentAt, error);
    } finally {
      const isAnotherRequested = worker.pendingCommands.finish();
      this.callsInFlight--;
      if (isAnotherRequested) this.dispatch(worker);
      this.dispatchWaiting();
    }
  }

  /** The commands may still arrive, minutes late: until the worker's fencing token is raised. */
  private recordUnanswered(worker: Worker, sentAt: MonotonicTime, error: unknown): void {
    const now = this.ctx.clock.now();
    worker.contact.recordCallFailed(now);
    this.backoffUntil.set(worker.id, (now + BACKOFF_MS) as MonotonicTime);
    this.ctx.log.debug(
      { machine: worker.id, error: errorMessage(error), durationMs: since(now, sentAt) },
      'command call unanswered',
    );
  }
}
