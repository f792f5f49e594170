/** Which machines exist: as rented, listed by the cloud, reported, or named by a predecessor's records. */
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
const LIST_EVERY_MS = 4000;
/** What a boot may take beyond its type's patience. */
const BOOT_MARGIN_MS = 10_000;
/** What the log says of a machine of which only the name is known. */
export const KNOWN_BY_TASK_ONLY = 'machine known by a task alone';
/** By then a machine that is up has been heard by a new leader. */
const HEARING_MS = 15_000;

function addressed(worker: Worker, address: string): Worker {
  if (worker.address === '') worker.address = address;
  return worker;
}

function factsOf({ id, type, zone, spot }: ListedMachine): Machine {
  return { id, type, zone, spot };
}

/** The longest usual boot of any type. */
export function slowestBoot(types: Iterable<MachineType>): number {
  let boot = 0;
  for (const type of types) boot = Math.max(boot, type.bootTime);
  return boot;
}

/** Keeps the host registry in step with the cloud. */
export class MachineInventory {
  private listing = false;
  private lastList: MonotonicTime | null = null;
  private contradicted = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly turns: CloudCallQueue,
    private readonly remover: ScaleIn,
  ) {}

  /** Reads the list when it is time to, and gives up on machines that never came up. */
  tick(now: MonotonicTime): void {
    if (!this.listing && (this.lastList === null || since(now, this.lastList) > LIST_EVERY_MS))
      void this.list();
    for (const worker of this.ctx.workers.values()) {
      if (!worker.isUp && !worker.isRemoving && now > this.bootLimit(worker))
        this.remover.remove(worker, 'never came up');
    }
  }

  /** Somebody told what a machine is. Null: it is gone, or of a type that the cloud does not offer. */
  registerMachine(machine: Machine, source: FactSource, since: MonotonicTime, address = ''): Worker | null {
    const known = this.ctx.workers.get(machine.id);
    if (known?.confirmedFacts && sameMachine(known.confirmedFacts.machine, machine))
      return addressed(known, address);
    const type = this.ctx.machineTypes.get(machine.type);
    if (!type || this.ctx.workers.isGone(machine.id)) return null;
    const learnedAt = this.ctx.clock.now();
    const facts: ConfirmedFacts = { state: 'confirmed', machine, type, source, learnedAt };
    if (!known) return this.add(new Worker(machine.id, facts, since), address);
    this.tellOfChange(known, facts);
    known.learn(facts);
    return addressed(known, address);
  }

  /** A record of a version that also recorded guesses tells of a machine. */
  registerUnconfirmed(machine: Machine, since: MonotonicTime, address: string): Worker | null {
    const known = this.ctx.workers.get(machine.id);
    if (known) return known;
    const type = this.ctx.machineTypes.get(machine.type);
    if (!type) return null;
    return this.add(new Worker(machine.id, { state: 'unconfirmed', machine, type }, since), address);
  }

  /** A predecessor placed a task on a machine of which nothing else is known. */
  registerUnknown(id: MachineId, since: MonotonicTime): Worker | null {
    this.ctx.log.info({ worker: id }, KNOWN_BY_TASK_ONLY);
    return this.add(new Worker(id, UNKNOWN_FACTS, since), '');
  }

  private add(worker: Worker, address: string): Worker | null {
    if (this.ctx.workers.isGone(worker.id)) return null;
    this.ctx.workers.add(worker);
    return addressed(worker, address);
  }

  private tellOfChange(worker: Worker, { machine, source, learnedAt }: ConfirmedFacts): void {
    const { facts } = worker;
    const presumed = worker.presumedFacts?.machine;
    const fields = {
      worker: worker.id,
      was: facts.state,
      source,
      afterMs: since(learnedAt, this.ctx.startedAt),
    };
    if (presumed && !sameMachine(presumed, machine)) {
      this.contradicted++;
      this.ctx.log.warn({ ...fields, recorded: presumed, told: machine }, 'machine is not what was recorded');
    } else if (facts.state === 'unknown') this.ctx.log.info(fields, 'machine became known');
  }

  /** Machines so far that turned out to be another type, zone or kind than was recorded. */
  get contradictions(): number {
    return this.contradicted;
  }

  private bootLimit(worker: Worker): MonotonicTime {
    // A new leader first gives every machine time to be heard: it does not know which ones are up.
    const boot = worker.type?.bootTime ?? slowestBoot(this.ctx.machineTypes.values());
    const booted = plus(worker.rentedAt, boot * this.ctx.operators.fleet.bootPatience + BOOT_MARGIN_MS);
    const heard = plus(this.ctx.startedAt, HEARING_MS);
    return booted > heard ? booted : heard;
  }

  private async list(): Promise<void> {
    this.listing = true;
    try {
      await this.readPages();
    } catch (error) {
      this.ctx.log.debug({ error: errorMessage(error) }, 'list failed');
    } finally {
      this.listing = false;
      this.lastList = this.ctx.clock.now();
    }
  }

  private async readPages(): Promise<void> {
    let after = '';
    for (;;) {
      await this.turns.next();
      const page = await this.ctx.cloud.listMachines(after);
      const now = this.ctx.clock.now();
      for (const machine of page.machines) this.listed(machine, now);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return;
      after = last.id;
    }
  }

  private listed(machine: ListedMachine, now: MonotonicTime): void {
    const { id, type, status } = machine;
    const known = this.ctx.workers.has(id);
    const worker = this.registerMachine(
      factsOf(machine),
      FactSource.List,
      (now - machine.age) as MonotonicTime,
      machine.address,
    );
    if (!worker) return;
    worker.isListedRunning = status === 'running';
    if (!known) this.ctx.log.info({ worker: id, type, status }, 'machine found in the list');
    if (status === 'failed') this.remover.remove(worker, 'failed');
    else if (status === 'running' && !worker.hasReported) this.ctx.dispatchCommands(id);
  }
}
