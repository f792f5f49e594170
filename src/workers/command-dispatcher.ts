/** Sends commands to workers in direct calls, in addition to the answers to their heartbeats. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import { NoSocketError } from '../net/http-client.js';
import type { WorkerCommand, Heartbeat } from '../model/heartbeat.js';
import { type MonotonicTime, since } from '../model/time.js';
import type { Worker } from './state/worker.js';
import type { CommandIssuer } from './command-issuer.js';

const COMMAND_TIMEOUT_MS = 1500;
/** The time after an unanswered call in which a worker gets no command calls; commands then wait for its heartbeats. */
const UNANSWERED_CALL_BACKOFF_MS = 3000;
const MAX_COMMANDS_PER_CALL = 200;
/**
 * The maximum ratio of concurrent first contacts to `maxConcurrentCalls`, at a load of 0. A first contact is a call
 * without commands to a worker that has sent no heartbeat in this epoch. First contacts only speed up heartbeats that
 * arrive anyway, so they must not delay commands to workers that have reported.
 */
const FIRST_CONTACT_CALL_RATIO = 0.25;

/** Collaborators and limits of a `CommandDispatcher`. */
export interface CommandDispatcherOptions {
  readonly issuer: CommandIssuer;
  /** Called with the heartbeat that a worker includes in its answer to a call. */
  readonly onHeartbeat: (worker: Worker, heartbeat: Heartbeat) => void;
  /** The maximum number of concurrent calls to all workers together. */
  readonly maxConcurrentCalls: number;
}

/** Sends commands in direct calls, with at most one concurrent call per worker and a bounded number in total. */
export class CommandDispatcher {
  /** The time at which a worker may be called again after an unanswered call, by worker id. */
  private readonly backoffUntil = new Map<string, MonotonicTime>();
  /** Workers whose commands are queued because the maximum number of concurrent calls is reached. */
  private readonly workersAwaitingCall = new Set<Worker>();
  /** Workers that have sent no heartbeat in this epoch and are queued for a first contact. */
  private readonly workersAwaitingFirstContact = new Set<Worker>();
  private callsInFlight = 0;
  private firstContactsInFlight = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly options: CommandDispatcherOptions,
  ) {}

  /**
   * Sends the worker its pending commands now, or as soon as the limit on concurrent calls allows. A worker that has
   * not reported gets a first contact instead. Nothing is sent without an address, after the term, or after an
   * unanswered call (`UNANSWERED_CALL_BACKOFF_MS`).
   */
  dispatch(worker: Worker): void {
    if (worker.commandCall.isInFlight) {
      worker.commandCall.requestFollowUp();
      return;
    }
    if (!this.canCall(worker)) return;
    if (worker.hasReported) this.sendPending(worker);
    else {
      this.workersAwaitingFirstContact.add(worker);
      this.sendFirstContacts();
    }
  }

  private get hasCallCapacity(): boolean {
    return this.callsInFlight < this.options.maxConcurrentCalls;
  }

  private canCall(worker: Worker): boolean {
    if (worker.address === '' || this.ctx.isEnded()) return false;
    const backoffUntil = this.backoffUntil.get(worker.id);
    return backoffUntil === undefined || backoffUntil <= this.ctx.clock.now();
  }

  private sendPending(worker: Worker): void {
    if (!this.hasCallCapacity) {
      this.workersAwaitingCall.add(worker);
      return;
    }
    const isLeaseValid = this.ctx.isLeaseValid();
    const commands = this.options.issuer.issue(worker, isLeaseValid, [], MAX_COMMANDS_PER_CALL);
    if (commands.length > 0) void this.send(worker, commands);
  }

  /**
   * Sends calls without commands to workers that have not reported; a call carries the epoch and returns a heartbeat.
   */
  private sendFirstContacts(): void {
    for (const worker of this.workersAwaitingFirstContact) {
      if (this.firstContactsInFlight >= this.maxFirstContacts() || !this.hasCallCapacity) return;
      this.workersAwaitingFirstContact.delete(worker);
      // The worker may have sent a heartbeat since it was queued.
      if (worker.hasReported || worker.commandCall.isInFlight || !this.canCall(worker)) continue;
      this.firstContactsInFlight++;
      void this.send(worker, []).finally(() => {
        this.firstContactsInFlight--;
        this.sendFirstContacts();
      });
    }
  }

  /** Returns the maximum number of concurrent first contacts: it falls to 1 as the load of this process rises to 1. */
  private maxFirstContacts(): number {
    return Math.max(1, this.options.maxConcurrentCalls * FIRST_CONTACT_CALL_RATIO * (1 - this.ctx.load()));
  }

  private dispatchAwaitingWorkers(): void {
    for (const worker of this.workersAwaitingCall) {
      if (!this.hasCallCapacity) return;
      this.workersAwaitingCall.delete(worker);
      this.dispatch(worker);
    }
  }

  private async send(worker: Worker, commands: WorkerCommand[]): Promise<void> {
    const token = worker.fencingToken(this.ctx.epoch);
    worker.commandCall.begin();
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
        // Nothing was sent. The next call or the answer to the next heartbeat carries the commands.
        worker.commandCall.cancelFollowUp();
        return;
      }
      this.recordUnanswered(worker, sentAt, error);
    } finally {
      const isFollowUpRequested = worker.commandCall.finish();
      this.callsInFlight--;
      if (isFollowUpRequested) this.dispatch(worker);
      this.dispatchAwaitingWorkers();
    }
  }

  /**
   * Records a call without an answer. The commands of the call may still arrive minutes later, and take effect unless
   * the worker has received a higher fencing token or begun a new incarnation.
   */
  private recordUnanswered(worker: Worker, sentAt: MonotonicTime, error: unknown): void {
    const now = this.ctx.clock.now();
    worker.contact.recordCallFailed(now);
    this.backoffUntil.set(worker.id, (now + UNANSWERED_CALL_BACKOFF_MS) as MonotonicTime);
    this.ctx.log.debug(
      { machine: worker.id, error: errorMessage(error), durationMs: since(now, sentAt) },
      'command call unanswered',
    );
  }
}
