/** Which machines exist: as created, listed by the cloud, reported, or named by a predecessor's records. */
import type { LeaderContext } from '../core/context.js';
import { errorMessage } from '../log/logger.js';
import type { MachineId } from '../model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../model/machine.js';
import { type ConfirmedFacts, FactSource, sameMachine, UNKNOWN_FACTS } from '../model/machine-facts.js';
import { type MonotonicTime, plus, since } from '../model/time.js';
import { Worker } from '../workers/state/worker.js';
import type { CloudCallQueue } from './cloud-call-queue.js';
import type { ScaleIn } from './scale-in.js';

/** The cloud's list is read again this long after the last reading. */
const LIST_INTERVAL_MS = 4000;
/** What a boot may take beyond the setting's multiple of its type's usual time. */
const BOOT_MARGIN_MS = 10_000;
/** The log line of a machine of which only the id is known. */
export const KNOWN_BY_TASK_ONLY = 'machine known only from a task record';
/** By then a new leader has heard from a machine that is up. */
const FIRST_HEARTBEATS_MS = 15_000;

function withAddress(worker: Worker, address: string): Worker {
  if (worker.address === '') worker.address = address;
  return worker;
}

function machineOf({ id, type, zone, spot }: ListedMachine): Machine {
  return { id, type, zone, spot };
}

/** Returns the longest usual boot of any type, in ms. */
export function slowestBoot(types: Iterable<MachineType>): number {
  let slowest = 0;
  for (const type of types) slowest = Math.max(slowest, type.bootTime);
  return slowest;
}

/** Keeps the worker registry in step with the cloud. */
export class MachineInventory {
  private isListing = false;
  private lastListAt: MonotonicTime | null = null;
  private contradictionCount = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly cloudCalls: CloudCallQueue,
    private readonly scaleIn: ScaleIn,
  ) {}

  /** Reads the list when it is time to, and deletes machines whose boot has timed out. */
  tick(now: MonotonicTime): void {
    if (!this.isListing && (this.lastListAt === null || since(now, this.lastListAt) > LIST_INTERVAL_MS))
      void this.readList();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && !worker.isRemoving && now > this.bootDeadline(worker))
        this.scaleIn.remove(worker, 'boot timed out');
    }
  }

  /** Takes in confirmed facts of a machine. Null: it is gone, or of a type that the cloud does not offer. */
  registerMachine(machine: Machine, source: FactSource, since: MonotonicTime, address = ''): Worker | null {
    const known = this.ctx.workers.get(machine.id);
    if (known?.confirmedFacts && sameMachine(known.confirmedFacts.machine, machine))
      return withAddress(known, address);
    const type = this.ctx.machineTypes.get(machine.type);
    if (!type || this.ctx.workers.isGone(machine.id)) return null;
    const learnedAt = this.ctx.clock.now();
    const facts: ConfirmedFacts = { state: 'confirmed', machine, type, source, learnedAt };
    if (!known) return this.add(new Worker(machine.id, facts, since), address);
    this.logChange(known, facts);
    known.learn(facts);
    return withAddress(known, address);
  }

  /** Takes in a machine from a record of a version that also recorded guesses. */
  registerUnconfirmed(machine: Machine, since: MonotonicTime, address: string): Worker | null {
    const known = this.ctx.workers.get(machine.id);
    if (known) return known;
    const type = this.ctx.machineTypes.get(machine.type);
    if (!type) return null;
    return this.add(new Worker(machine.id, { state: 'unconfirmed', machine, type }, since), address);
  }

  /** Takes in a machine of which nothing is known but that a predecessor placed a task on it. */
  registerUnknown(id: MachineId, since: MonotonicTime): Worker | null {
    this.ctx.log.info({ machine: id }, KNOWN_BY_TASK_ONLY);
    return this.add(new Worker(id, UNKNOWN_FACTS, since), '');
  }

  private add(worker: Worker, address: string): Worker | null {
    if (this.ctx.workers.isGone(worker.id)) return null;
    this.ctx.workers.add(worker);
    return withAddress(worker, address);
  }

  private logChange(worker: Worker, { machine, source, learnedAt }: ConfirmedFacts): void {
    const { facts } = worker;
    const presumed = worker.presumedFacts?.machine;
    const fields = {
      machine: worker.id,
      previousState: facts.state,
      source,
      termAgeMs: since(learnedAt, this.ctx.startedAt),
    };
    if (presumed && !sameMachine(presumed, machine)) {
      this.contradictionCount++;
      this.ctx.log.warn(
        { ...fields, recorded: presumed, confirmed: machine },
        'machine facts contradict record',
      );
    } else if (facts.state === 'unknown') this.ctx.log.info(fields, 'machine facts confirmed');
  }

  /** Machines so far that turned out to be another type, zone or kind than was recorded. */
  get contradictions(): number {
    return this.contradictionCount;
  }

  private bootDeadline(worker: Worker): MonotonicTime {
    // A new leader first gives every machine time to send a heartbeat: it does not know which ones are up.
    const bootTime = worker.type?.bootTime ?? slowestBoot(this.ctx.machineTypes.values());
    const bootedBy = plus(worker.rentedAt, bootTime * this.ctx.operators.fleet.bootPatience + BOOT_MARGIN_MS);
    const heardBy = plus(this.ctx.startedAt, FIRST_HEARTBEATS_MS);
    return bootedBy > heardBy ? bootedBy : heardBy;
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
      await this.cloudCalls.next();
      const page = await this.ctx.cloud.listMachines(after);
      const now = this.ctx.clock.now();
      for (const machine of page.machines) this.applyListed(machine, now);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return;
      after = last.id;
    }
  }

  private applyListed(machine: ListedMachine, now: MonotonicTime): void {
    const { id, type, status } = machine;
    const wasKnown = this.ctx.workers.has(id);
    const worker = this.registerMachine(
      machineOf(machine),
      FactSource.List,
      (now - machine.age) as MonotonicTime,
      machine.address,
    );
    if (!worker) return;
    worker.isListedRunning = status === 'running';
    if (!wasKnown) this.ctx.log.info({ machine: id, type, status }, 'machine discovered in cloud list');
    if (status === 'failed') this.scaleIn.remove(worker, 'listed as failed');
    else if (status === 'running' && !worker.hasReported) this.ctx.dispatchCommands(id);
  }
}
