/** The inventory of machines, from creations, the cloud's list, heartbeats and the records of earlier leaders. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineId } from '../model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../model/machine.js';
import { type ConfirmedFacts, FactSource, isSameMachine, UNKNOWN_FACTS } from '../model/machine-facts.js';
import { type MonotonicTime, plus, since } from '../model/time.js';
import { Worker } from '../workers/state/worker.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { ScaleIn } from './scale-in.js';

/** The interval between reading the cloud's machine list and reading the list again. */
const LIST_INTERVAL_MS = 4000;
/** Added to the boot timeout, which is the configured multiple (`boot_patience`) of the type's usual boot time. */
const BOOT_TIMEOUT_MARGIN_MS = 10_000;
/** The log message for a machine of which only the id is known. */
export const MACHINE_KNOWN_BY_TASK_ONLY_MESSAGE = 'machine known only from a task record';
/** The time after takeover within which a new leader expects the first heartbeat of every machine that is up. */
const FIRST_HEARTBEAT_TIMEOUT_MS = 15_000;

function withAddress(worker: Worker, address: string): Worker {
  if (worker.address === '') worker.address = address;
  return worker;
}

function toMachine({ id, type, zone, spot }: ListedMachine): Machine {
  return { id, type, zone, spot };
}

/** Returns the longest usual boot time of all machine types, in milliseconds. */
export function slowestBootMs(types: Iterable<MachineType>): number {
  let slowest = 0;
  for (const type of types) slowest = Math.max(slowest, type.bootTime);
  return slowest;
}

/** Registers machines, confirms their facts, and deletes machines that failed or whose boot timed out. */
export class MachineInventory {
  private isListing = false;
  private lastListAt: MonotonicTime | null = null;
  private contradictionCount = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly cloudCalls: CloudCallQueue,
    private readonly scaleIn: ScaleIn,
  ) {}

  /** Reads the cloud's machine list if a reading is due, and deletes machines whose boot has timed out. */
  tick(now: MonotonicTime): void {
    if (!this.isListing && (this.lastListAt === null || since(now, this.lastListAt) > LIST_INTERVAL_MS))
      void this.readList();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && !worker.isRemoving && now > this.bootDeadline(worker))
        this.scaleIn.deleteMachine(worker, 'boot timed out');
    }
  }

  /**
   * Registers a machine whose type, zone and kind (spot or on-demand) are confirmed, or confirms these facts for a
   * registered machine. Returns null if the machine was deleted or its type is not offered by the cloud.
   */
  registerMachine(
    machine: Machine,
    source: FactSource,
    rentedAt: MonotonicTime,
    address = '',
  ): Worker | null {
    const existing = this.ctx.workers.get(machine.id);
    if (existing?.confirmedFacts && isSameMachine(existing.confirmedFacts.machine, machine))
      return withAddress(existing, address);
    const type = this.ctx.machineTypes.get(machine.type);
    if (!type || this.ctx.workers.isGone(machine.id)) return null;
    const learnedAt = this.ctx.clock.now();
    const facts: ConfirmedFacts = { state: 'confirmed', machine, type, source, learnedAt };
    if (!existing) return this.addWorker(new Worker(machine.id, facts, rentedAt), address);
    this.logConfirmation(existing, facts);
    existing.setConfirmedFacts(facts);
    return withAddress(existing, address);
  }

  /**
   * Registers a machine from a stored record whose facts may be unconfirmed: earlier versions also recorded
   * assumptions. Returns null if the machine was deleted or its type is not offered by the cloud.
   */
  registerUnconfirmed(machine: Machine, rentedAt: MonotonicTime, address: string): Worker | null {
    const existing = this.ctx.workers.get(machine.id);
    if (existing) return existing;
    const type = this.ctx.machineTypes.get(machine.type);
    if (!type) return null;
    return this.addWorker(new Worker(machine.id, { state: 'unconfirmed', machine, type }, rentedAt), address);
  }

  /**
   * Registers a machine known only by its id, from the record of a task that an earlier leader placed on the machine.
   * Returns null if the machine was deleted.
   */
  registerUnknown(id: MachineId, rentedAt: MonotonicTime): Worker | null {
    this.ctx.log.info({ machine: id }, MACHINE_KNOWN_BY_TASK_ONLY_MESSAGE);
    return this.addWorker(new Worker(id, UNKNOWN_FACTS, rentedAt), '');
  }

  private addWorker(worker: Worker, address: string): Worker | null {
    if (this.ctx.workers.isGone(worker.id)) return null;
    this.ctx.workers.add(worker);
    return withAddress(worker, address);
  }

  private logConfirmation(worker: Worker, { machine, source, learnedAt }: ConfirmedFacts): void {
    const { facts } = worker;
    const presumed = worker.presumedFacts?.machine;
    const fields = {
      machine: worker.id,
      previousState: facts.state,
      source,
      termAgeMs: since(learnedAt, this.ctx.startedAt),
    };
    if (presumed && !isSameMachine(presumed, machine)) {
      this.contradictionCount++;
      this.ctx.log.warn(
        { ...fields, recorded: presumed, confirmed: machine },
        'machine facts contradict record',
      );
    } else if (facts.state === 'unknown') this.ctx.log.info(fields, 'machine facts confirmed');
  }

  /**
   * The number of times in this term that a machine's confirmed type, zone or kind (spot or on-demand) contradicted the
   * recorded one.
   */
  get contradictions(): number {
    return this.contradictionCount;
  }

  private bootDeadline(worker: Worker): MonotonicTime {
    // A new leader does not know which machines are up, so every machine gets time to send a heartbeat first.
    const bootTimeMs = worker.type?.bootTime ?? slowestBootMs(this.ctx.machineTypes.values());
    const bootTimeoutAt = plus(
      worker.rentedAt,
      bootTimeMs * this.ctx.operators.fleet.bootPatience + BOOT_TIMEOUT_MARGIN_MS,
    );
    const firstHeartbeatDeadline = plus(this.ctx.startedAt, FIRST_HEARTBEAT_TIMEOUT_MS);
    return bootTimeoutAt > firstHeartbeatDeadline ? bootTimeoutAt : firstHeartbeatDeadline;
  }

  private async readList(): Promise<void> {
    this.isListing = true;
    try {
      await this.readPages();
    } catch (error) {
      this.ctx.log.debug({ error: errorMessage(error) }, 'machine list request failed');
    } finally {
      this.isListing = false;
      this.lastListAt = this.ctx.clock.now();
    }
  }

  private async readPages(): Promise<void> {
    let after = '';
    for (;;) {
      await this.cloudCalls.acquire();
      const page = await this.ctx.cloud.listMachines(after);
      const now = this.ctx.clock.now();
      for (const machine of page.machines) this.applyListedMachine(machine, now);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return;
      after = last.id;
    }
  }

  private applyListedMachine(machine: ListedMachine, now: MonotonicTime): void {
    const { id, type, status } = machine;
    const wasKnown = this.ctx.workers.has(id);
    const worker = this.registerMachine(
      toMachine(machine),
      FactSource.List,
      (now - machine.age) as MonotonicTime,
      machine.address,
    );
    if (!worker) return;
    worker.isListedRunning = status === 'running';
    if (!wasKnown) this.ctx.log.info({ machine: id, type, status }, 'machine discovered in cloud list');
    if (status === 'failed') this.scaleIn.deleteMachine(worker, 'listed as failed');
    else if (status === 'running' && !worker.hasReported) this.ctx.dispatchCommands(id);
  }
}
