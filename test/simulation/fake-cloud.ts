import { type Cloud, CloudRequestRefusedError, type ScaleOutResult } from '../../src/cloud/client.js';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../../src/model/machine.js';
import { type Clock, ms } from '../../src/model/time.js';

/** A pool's name in the kept traces and in `room`: the bytes of the traces stay. */
function poolName({ type, zone, spot }: Pick<Machine, 'type' | 'zone' | 'spot'>): string {
  return `${type}|${zone}|${spot ? 'spot' : 'ordinary'}`;
}

const LATENCY_MS = 80;
/** Machines in one answer. */
const PAGE = 500;

interface Rented1 extends Machine {
  readonly at: number;
  up: boolean;
}

/** A cloud in memory, by the published protocol. */
export class FakeCloud {
  readonly machines = new Map<MachineId, Rented1>();
  private readonly answers = new Map<string, MachineId[]>();
  /** Digits of a machine's number. */
  idLength = 6;
  private next = 0;
  outage = false;
  /** Every rental and deletion comes once more, so many ms after it was carried out. */
  repeatAfter: number | null = null;
  /** How long a boot takes; null: as long as the type's usually does. */
  bootMs: number | null = null;
  /** Machines appear in the list only so long after they were rented. */
  listLagMs = 0;
  /** The next so many machines never come up. */
  deadBoots = 0;
  /** Machines left to give, by pool; a pool not named here has enough. */
  readonly room = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly types: readonly MachineType[],
    private readonly onUp: (machine: Machine) => void,
    private readonly onGone: (id: MachineId) => void,
    private readonly trace: (text: string) => void,
  ) {}

  private create(type: MachineTypeId, zone: ZoneId, spot: boolean): MachineId {
    const id = `host-${String(this.next++).padStart(this.idLength, '0')}` as MachineId;
    const machine: Rented1 = { id, type, zone, spot, at: this.clock.now(), up: false };
    this.machines.set(id, machine);
    if (this.deadBoots > 0) {
      this.deadBoots--;
      return id;
    }
    const boot = this.bootMs ?? this.types.find((t) => t.id === type)?.bootTime ?? 0;
    this.clock.after(boot, () => {
      if (!this.machines.has(id)) return;
      machine.up = true;
      this.onUp(machine);
    });
    return id;
  }

  /** A machine that was rented before the day begins. */
  adopt(machine: Machine): void {
    this.machines.set(machine.id, { ...machine, at: this.clock.now(), up: true });
    this.next = Math.max(this.next, Number(machine.id.slice('host-'.length)) + 1);
    this.onUp(machine);
  }

  for(clock: Clock): Cloud {
    const ask = <T>(act: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        clock.after(LATENCY_MS, () => {
          if (this.outage) reject(new CloudRequestRefusedError('cloud answered 503'));
          else resolve(act());
        });
      });
    const twice = <T>(act: () => T): Promise<T> =>
      ask(() => {
        if (this.repeatAfter !== null) this.clock.after(this.repeatAfter, act);
        return act();
      });
    return {
      listMachineTypes: () => ask(() => [...this.types]),
      createMachines: (r) =>
        twice((): ScaleOutResult => {
          const known = this.answers.get(r.name);
          if (known) return { machines: known };
          const key = poolName(r);
          const room = this.room.get(key) ?? Infinity;
          const count = Math.min(r.count, room);
          if (count === 0) return 'no capacity';
          if (room !== Infinity) this.room.set(key, room - count);
          const hosts = Array.from({ length: count }, () => this.create(r.type, r.zone, r.spot));
          this.answers.set(r.name, hosts);
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
            (m) => m.id > after && this.clock.now() - m.at >= this.listLagMs,
          );
          const machines = rest.slice(0, PAGE).map((m): ListedMachine => ({
            ...m,
            address: address(m.id),
            status: m.up ? 'running' : 'starting',
            age: ms(this.clock.now() - m.at),
          }));
          return { more: rest.length > PAGE, machines };
        }),
    };
  }
}

export const address = (id: MachineId): string => `${id}:9000`;
