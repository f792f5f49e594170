/** Which machines exist: as rented, listed by the cloud, reported, or named by a predecessor's records. */
import type { LeaderContext } from '../cluster/context.js';
import { reason } from '../log/logger.js';
import type { ListedMachine, Machine } from '../model/machine.js';
import { type Steady, plus, since } from '../model/time.js';
import { Host } from '../workers/host.js';
import type { CloudTurns } from './cloud-turns.js';
import type { MachineRemover } from './remover.js';

/** The cloud's list is read again this long after the last reading. */
const LIST_EVERY_MS = 4000;
/** What a boot may take beyond its type's patience. */
const BOOT_MARGIN_MS = 10_000;
/** By then a machine that is up has been heard by a new leader. */
const HEARING_MS = 15_000;

/** Keeps the host registry in step with the cloud. */
export class MachineInventory {
  private listing = false;
  private lastList: Steady | null = null;

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

  /** `placeholder`: known only by a predecessor's task, until a list or a report tells the rest. */
  adopt(machine: Machine, since: Steady, address = '', placeholder = false): Host | null {
    if (this.ctx.hosts.isGone(machine.id)) return null;
    const known = this.ctx.hosts.get(machine.id);
    let host = known;
    if (!host || (host.placeholder && !placeholder)) {
      const type = this.ctx.types.get(machine.type);
      if (!type) return null;
      host = new Host(machine, type, since);
      host.placeholder = placeholder;
      if (known) host.inherit(known);
      this.ctx.hosts.add(host);
    }
    if (address !== '' && host.address === '') host.address = address;
    return host;
  }

  private bootLimit(host: Host): Steady {
    // A new leader first gives every machine time to be heard: it does not know which ones are up.
    const booted = plus(host.since, host.type.boot * this.ctx.ops.fleet.boot_patience + BOOT_MARGIN_MS);
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
    const host = this.adopt(machine, (now - machine.age) as Steady, machine.address);
    if (!host) return;
    host.listed = status === 'running';
    if (!known) this.ctx.log.info({ host: id, type, status }, 'machine found in the list');
    if (status === 'failed') this.remover.remove(host, 'failed');
    else if (status === 'running' && !host.known) this.ctx.dispatch(id);
  }
}
