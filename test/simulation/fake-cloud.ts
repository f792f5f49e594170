/** A fake of the cloud. */
import { type Cloud, CloudRequestRefusedError, type ScaleOutResult } from '../../src/cloud/client.js';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../../src/model/machine.js';
import { type Clock, ms } from '../../src/model/time.js';

/** A pool's name in the kept traces and in `room`: the bytes of the traces stay. */
function poolName({ type, zone, spot }: Pick<Machine, 'type' | 'zone' | 'spot'>): string {
  return `${type}|${zone}|${spot ? 'spot' : 'ordinary'}`;
}

const LATENCY_MS = 80;
/** The maximum of machines in one answer. */
const PAGE_SIZE = 500;

interface FakeMachine extends Machine {
  readonly createdAt: number;
  isUp: boolean;
}

/** A cloud in memory that behaves as the published protocol says. */
export class FakeCloud {
  readonly machines = new Map<MachineId, FakeMachine>();
  private readonly createdByRequest = new Map<string, MachineId[]>();
  /** The number of digits in a machine's id. */
  idDigits = 6;
  private nextNumber = 0;
  /** Whether every request is refused. */
  isUnavailable = false;
  /** Every creation and deletion is carried out a second time after this delay; null: it is not. */
  duplicateDelayMs: number | null = null;
  /** The duration of a boot; null: that of the machine type. */
  bootMs: number | null = null;
  /** The delay after which a new machine appears in the list. */
  listLagMs = 0;
  /** The number of machines, from the next one on, that never come up. */
  failingBoots = 0;
  /** The number of machines that a pool can still provide; a pool that is not named has no limit. */
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
    const boot = this.bootMs ?? this.types.find((machineType) => machineType.id === type)?.bootTime ?? 0;
    this.clock.after(boot, () => {
      if (!this.machines.has(id)) return;
      machine.isUp = true;
      this.onUp(machine);
    });
    return id;
  }

  /** Adds a machine that is up already. */
  adopt(machine: Machine): void {
    this.machines.set(machine.id, { ...machine, createdAt: this.clock.now(), isUp: true });
    this.nextNumber = Math.max(this.nextNumber, Number(machine.id.slice('host-'.length)) + 1);
    this.onUp(machine);
  }

  /** Returns the cloud's interface for one process, whose timers run on `clock`. */
  clientFor(clock: Clock): Cloud {
    const request = <T>(operation: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        clock.after(LATENCY_MS, () => {
          if (this.isUnavailable) reject(new CloudRequestRefusedError(503));
          else resolve(operation());
        });
      });
    const requestWithDuplicate = <T>(operation: () => T): Promise<T> =>
      request(() => {
        if (this.duplicateDelayMs !== null) this.clock.after(this.duplicateDelayMs, operation);
        return operation();
      });
    return {
      listMachineTypes: () => request(() => [...this.types]),
      createMachines: (scaleOut) =>
        requestWithDuplicate((): ScaleOutResult => {
          const existing = this.createdByRequest.get(scaleOut.name);
          if (existing) return { machines: existing };
          const key = poolName(scaleOut);
          const capacity = this.remainingCapacity.get(key) ?? Infinity;
          const count = Math.min(scaleOut.count, capacity);
          if (count === 0) return 'no capacity';
          if (capacity !== Infinity) this.remainingCapacity.set(key, capacity - count);
          const created = Array.from({ length: count }, () =>
            this.create(scaleOut.type, scaleOut.zone, scaleOut.spot),
          );
          this.createdByRequest.set(scaleOut.name, created);
          this.trace(`cloud      rents ${count} ${key}`);
          return { machines: created };
        }),
      deleteMachines: (ids) =>
        requestWithDuplicate(() => {
          for (const id of ids) {
            if (!this.machines.delete(id)) continue;
            this.trace(`cloud      deletes ${id}`);
            this.onGone(id);
          }
        }),
      listMachines: (after) =>
        request(() => {
          const listed = [...this.machines.values()].filter(
            (machine) => machine.id > after && this.clock.now() - machine.createdAt >= this.listLagMs,
          );
          const machines = listed.slice(0, PAGE_SIZE).map((machine): ListedMachine => ({
            ...machine,
            address: address(machine.id),
            status: machine.isUp ? 'running' : 'starting',
            age: ms(this.clock.now() - machine.createdAt),
          }));
          return { more: listed.length > PAGE_SIZE, machines };
        }),
    };
  }
}

/** Returns the address of a machine's worker. */
export const address = (id: MachineId): string => `${id}:9000`;
