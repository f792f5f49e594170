/** Which machines exist: as rented, listed by the cloud, reported, or named by a predecessor's records. */
import type { LeaderContext } from '../core/context.js';
import { reason } from '../log/logger.js';
import type { HostId } from '../model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../model/machine.js';
import { type ConfirmedFacts, FactSource, sameMachine, UNKNOWN_FACTS } from '../model/machine-facts.js';
import { type Steady, plus, since } from '../model/time.js';
import { Host } from '../workers/state/worker.js';
import type { CloudTurns } from './cloud-call-queue.js';
import type { MachineRemover } from './scale-in.js';

/** The cloud's list is read again this long after the last reading. */
const LIST_EVERY_MS = 4000;
/** What a boot may take beyond its type's patience. */
const BOOT_MARGIN_MS = 10_000;
/** What the log says of a machine of which only the name is known. */
export const KNOWN_BY_TASK = 'machine known by a task alone';
/** By then a machine that is up has been heard by a new leader. */
const HEARING_MS = 15_000;

function addressed(host: Host, address: string): Host {
  if (host.address === '') host.address = address;
  return host;
}

function factsOf({ id, type, zone, spot }: ListedMachine): Machine {
  return { id, type, zone, spot };
}

/** The longest usual boot of any type. */
export function slowestBoot(types: Iterable<MachineType>): number {
  let boot = 0;
  for (const type of types) boot = Math.max(boot, type.boot);
  return boot;
}

/** Keeps the host registry in step with the cloud. */
export class MachineInventory {
  private listing = false;
  private lastList: Steady | null = null;
  private contradicted = 0;

  constructor(
    private readonly ctx: LeaderContext,
    private readonly turns: CloudTurns,
    private readonly remover: MachineRemover,
  ) {}

  /** Reads the list when it is time to, and gives up on machines that never came up. */
  tick(now: Steady): void {
    if (!this.listing && (this.lastList === null || since(now, this.lastList) > LIST_EVERY_MS))
      void this.list();
    for (const host of this.ctx.hosts.values()) {
      if (!host.up && !host.removing && now > this.bootLimit(host))
        this.remover.remove(host, 'never came up');
    }
  }

  /** Somebody told what a machine is. Null: it is gone, or of a type that the cloud does not offer. */
  adopt(machine: Machine, source: FactSource, since: Steady, address = ''): Host | null {
    const known = this.ctx.hosts.get(machine.id);
    if (known?.confirmed && sameMachine(known.confirmed.machine, machine)) return addressed(known, address);
    const type = this.ctx.types.get(machine.type);
    if (!type || this.ctx.hosts.isGone(machine.id)) return null;
    const learnedAt = this.ctx.clock.now();
    const facts: ConfirmedFacts = { state: 'confirmed', machine, type, source, learnedAt };
    if (!known) return this.add(new Host(machine.id, facts, since), address);
    this.tellOfChange(known, facts);
    known.learn(facts);
    return addressed(known, address);
  }

  /** A record of a version that also recorded guesses tells of a machine. */
  adoptUnconfirmed(machine: Machine, since: Steady, address: string): Host | null {
    const known = this.ctx.hosts.get(machine.id);
    if (known) return known;
    const type = this.ctx.types.get(machine.type);
    if (!type) return null;
    return this.add(new Host(machine.id, { state: 'unconfirmed', machine, type }, since), address);
  }

  /** A predecessor placed a task on a machine of which nothing else is known. */
  adoptUnknown(id: HostId, since: Steady): Host | null {
    this.ctx.log.info({ host: id }, KNOWN_BY_TASK);
    return this.add(new Host(id, UNKNOWN_FACTS, since), '');
  }

  private add(host: Host, address: string): Host | null {
    if (this.ctx.hosts.isGone(host.id)) return null;
    this.ctx.hosts.add(host);
    return addressed(host, address);
  }

  private tellOfChange(host: Host, { machine, source, learnedAt }: ConfirmedFacts): void {
    const { facts } = host;
    const presumed = host.presumed?.machine;
    const fields = { host: host.id, was: facts.state, source, afterMs: since(learnedAt, this.ctx.startedAt) };
    if (presumed && !sameMachine(presumed, machine)) {
      this.contradicted++;
      this.ctx.log.warn({ ...fields, recorded: presumed, told: machine }, 'machine is not what was recorded');
    } else if (facts.state === 'unknown') this.ctx.log.info(fields, 'machine became known');
  }

  /** Machines so far that turned out to be another type, zone or kind than was recorded. */
  get contradictions(): number {
    return this.contradicted;
  }

  private bootLimit(host: Host): Steady {
    // A new leader first gives every machine time to be heard: it does not know which ones are up.
    const boot = host.type?.boot ?? slowestBoot(this.ctx.types.values());
    const booted = plus(host.since, boot * this.ctx.ops.fleet.boot_patience + BOOT_MARGIN_MS);
    const heard = plus(this.ctx.startedAt, HEARING_MS);
    return booted > heard ? booted : heard;
  }

  private async list(): Promise<void> {
    this.listing = true;
    try {
      await this.readPages();
    } catch (error) {
      this.ctx.log.debug({ error: reason(error) }, 'list failed');
    } finally {
      this.listing = false;
      this.lastList = this.ctx.clock.now();
    }
  }

  private async readPages(): Promise<void> {
    let after = '';
    for (;;) {
      await this.turns.next();
      const page = await this.ctx.cloud.list(after);
      const now = this.ctx.clock.now();
      for (const machine of page.machines) this.listed(machine, now);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return;
      after = last.id;
    }
  }

  private listed(machine: ListedMachine, now: Steady): void {
    const { id, type, status } = machine;
    const known = this.ctx.hosts.has(id);
    const host = this.adopt(
      factsOf(machine),
      FactSource.List,
      (now - machine.age) as Steady,
      machine.address,
    );
    if (!host) return;
    host.listed = status === 'running';
    if (!known) this.ctx.log.info({ host: id, type, status }, 'machine found in the list');
    if (status === 'failed') this.remover.remove(host, 'failed');
    else if (status === 'running' && !host.known) this.ctx.dispatch(id);
  }
}
