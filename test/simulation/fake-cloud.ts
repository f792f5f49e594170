import { type Cloud, CloudRequestRefusedError, type ScaleOutResult } from '../../src/cloud/client.js';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../../src/model/machine.js';
import { type Clock, ms } from '../../src/model/time.js';
import { poolKey } from '../../src/fleet/capacity-plan.js';

const LATENCY_MS = 80;
/** Machines in one answer. */
const PAGE_SIZE = 500;

interface FakeMachine extends Machine {
  readonly createdAt: number;
  isUp: boolean;
}

/** A cloud in memory, by the published protocol. */
export class FakeCloud {
  readonly machines = new Map<MachineId, FakeMachine>();
  private readonly createdByRequest = new Map<string, MachineId[]>();
  /** Digits of a machine's number. */
  idDigits = 6;
  private nextNumber = 0;
  isUnavailable = false;
  /** Every rental and deletion comes once more, so many ms after it was carried out. */
  duplicateDelayMs: number | null = null;
  /** How long a boot takes; null: as long as the type's usually does. */
  bootMs: number | null = null;
  /** Machines appear in the list only so long after they were rented. */
  listLagMs = 0;
  /** The next so many machines never come up. */
  failingBoots = 0;
  /** Machines left to give, by pool; a pool not named here has enough. */
  readonly remainingCapacity = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly types: readonly MachineType[],
    private readonly onUp: (machine: Machine) => void,
    private readonly onGone: (id: MachineId) => void,
    private readonly trace: (text: string) => void,
  ) {}

  private create(type: MachineTypeId, zone: ZoneId, spot: boolean): MachineId {
    const id = `host-${String(this.nextNumber++).padStart(this.idDigits, '0')}` as MachineId;
    const machine: FakeMachine = { id, type, zone, spot, createdAt: this.clock.now(), isUp: false };
    this.machines.set(id, machine);
    if (this.failingBoots > 0) {
      this.failingBoots--;
      return id;
    }
    const boot = this.bootMs ?? this.types.find((t) => t.id === type)?.bootTime ?? 0;
    this.clock.after(boot, () => {
      if (!this.machines.has(id)) return;
      machine.isUp = true;
      this.onUp(machine);
    });
    return id;
  }

  /** A machine that was rented before the day begins. */
  adopt(machine: Machine): void {
    this.machines.set(machine.id, { ...machine, createdAt: this.clock.now(), isUp: true });
    this.nextNumber = Math.max(this.nextNumber, Number(machine.id.slice('host-'.length)) + 1);
    this.onUp(machine);
  }

  clientFor(clock: Clock): Cloud {
    const ask = <T>(act: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        clock.after(LATENCY_MS, () => {
          if (this.isUnavailable) reject(new CloudRequestRefusedError('cloud answered 503'));
          else resolve(act());
        });
      });
    const twice = <T>(act: () => T): Promise<T> =>
      ask(() => {
        if (this.duplicateDelayMs !== null) this.clock.after(this.duplicateDelayMs, act);
        return act();
      });
    return {
      listMachineTypes: () => ask(() => [...this.types]),
      createMachines: (r) =>
        twice((): ScaleOutResult => {
          const known = this.createdByRequest.get(r.name);
          if (known) return { machines: known };
          const key = poolKey(r);
          const room = this.remainingCapacity.get(key) ?? Infinity;
          const count = Math.min(r.count, room);
          if (count === 0) return 'no capacity';
          if (room !== Infinity) this.remainingCapacity.set(key, room - count);
          const hosts = Array.from({ length: count }, () => this.create(r.type, r.zone, r.spot));
          this.createdByRequest.set(r.name, hosts);
          this.trace(`cloud      rents ${count} ${key}`);
          return { machines: hosts };
        }),
      deleteMachines: (hosts) =>
        twice(() => {
          for (const id of hosts) {
            if (!this.machines.delete(id)) continue;
            this.trace(`cloud      deletes ${id}`);
            this.onGone(id);
          }
        }),
      listMachines: (after) =>
        ask(() => {
          const rest = [...this.machines.values()].filter(
            (m) => m.id > after && this.clock.now() - m.createdAt >= this.listLagMs,
          );
          const machines = rest.slice(0, PAGE_SIZE).map((m): ListedMachine => ({
            ...m,
            address: address(m.id),
            status: m.isUp ? 'running' : 'starting',
            age: ms(this.clock.now() - m.createdAt),
          }));
          return { more: rest.length > PAGE_SIZE, machines };
        }),
    };
  }
}

export const address = (id: MachineId): string => `${id}:9000`;
