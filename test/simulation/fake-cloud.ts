/** An in-memory fake of the cloud provider's machine API. */
import { type CloudApi, CloudRequestRefusedError, type ScaleOutResult } from '../../src/cloud/client.js';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { ListedMachine, Machine, MachineType } from '../../src/model/machine.js';
import { type Clock, ms } from '../../src/model/time.js';

/**
 * Returns the name of a machine pool: the key in `FakeCloud.remainingCapacity`, and the pool's name in golden traces.
 * The format is fixed because the bytes of the golden traces must not change.
 */
function poolName({ type, zone, spot }: Pick<Machine, 'type' | 'zone' | 'spot'>): string {
  return `${type}|${zone}|${spot ? 'spot' : 'ordinary'}`;
}

/** The delay between a request to the cloud and its answer. */
const REQUEST_LATENCY_MS = 80;
/** The maximum number of machines in one page of the machine list. */
const MAX_MACHINES_PER_PAGE = 500;

interface FakeMachine extends Machine {
  /** The time of creation on the cloud's clock, in milliseconds. */
  readonly createdAt: number;
  /** Whether the machine has booted. */
  isUp: boolean;
}

/** An in-memory cloud that follows the published protocol, with faults that tests switch on. */
export class FakeCloud {
  readonly machines = new Map<MachineId, FakeMachine>();
  /** The machines that each named scale-out request created; a repeated request returns the same machines. */
  private readonly createdMachinesByRequest = new Map<string, MachineId[]>();
  /** The minimum number of digits in a machine id; shorter numbers are padded with zeros. */
  idDigits = 6;
  private nextNumber = 0;
  /** Whether the cloud refuses every request with status 503. */
  isUnavailable = false;
  /** The delay after which every creation and deletion is executed a second time; null: requests run once. */
  duplicateDelayMs: number | null = null;
  /** The boot time of every new machine; null: the boot time of the machine type. */
  bootMs: number | null = null;
  /** The age from which a new machine appears in the machine list. */
  listLagMs = 0;
  /** The number of machines to be created next whose boot never completes. */
  failingBootCount = 0;
  /** The number of machines that each pool can still provide, by pool name. A pool without an entry has no limit. */
  readonly remainingCapacity = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly types: readonly MachineType[],
    private readonly onMachineUp: (machine: Machine) => void,
    private readonly onMachineGone: (id: MachineId) => void,
    private readonly trace: (text: string) => void,
  ) {}

  private createMachine(type: MachineTypeId, zone: ZoneId, spot: boolean): MachineId {
    const id = `host-${String(this.nextNumber++).padStart(this.idDigits, '0')}` as MachineId;
    const machine: FakeMachine = { id, type, zone, spot, createdAt: this.clock.now(), isUp: false };
    this.machines.set(id, machine);
    if (this.failingBootCount > 0) {
      this.failingBootCount--;
      return id;
    }
    const bootTimeMs =
      this.bootMs ?? this.types.find((machineType) => machineType.id === type)?.bootTime ?? 0;
    this.clock.after(bootTimeMs, () => {
      if (!this.machines.has(id)) return;
      machine.isUp = true;
      this.onMachineUp(machine);
    });
    return id;
  }

  /** Adds a machine that has already booted. */
  addRunningMachine(machine: Machine): void {
    this.machines.set(machine.id, { ...machine, createdAt: this.clock.now(), isUp: true });
    this.nextNumber = Math.max(this.nextNumber, Number(machine.id.slice('host-'.length)) + 1);
    this.onMachineUp(machine);
  }

  /** Returns a client of the cloud for one process; the client's timers run on the process's `clock`. */
  clientFor(clock: Clock): CloudApi {
    const request = <T>(operation: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        clock.after(REQUEST_LATENCY_MS, () => {
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
          const existing = this.createdMachinesByRequest.get(scaleOut.name);
          if (existing) return { machines: existing };
          const key = poolName(scaleOut);
          const capacity = this.remainingCapacity.get(key) ?? Infinity;
          const count = Math.min(scaleOut.count, capacity);
          if (count === 0) return 'no capacity';
          if (capacity !== Infinity) this.remainingCapacity.set(key, capacity - count);
          const created = Array.from({ length: count }, () =>
            this.createMachine(scaleOut.type, scaleOut.zone, scaleOut.spot),
          );
          this.createdMachinesByRequest.set(scaleOut.name, created);
          this.trace(`cloud      rents ${count} ${key}`);
          return { machines: created };
        }),
      deleteMachines: (ids) =>
        requestWithDuplicate(() => {
          for (const id of ids) {
            if (!this.machines.delete(id)) continue;
            this.trace(`cloud      deletes ${id}`);
            this.onMachineGone(id);
          }
        }),
      listMachines: (after) =>
        request(() => {
          const listed = [...this.machines.values()].filter(
            (machine) => machine.id > after && this.clock.now() - machine.createdAt >= this.listLagMs,
          );
          const machines = listed.slice(0, MAX_MACHINES_PER_PAGE).map((machine): ListedMachine => ({
            ...machine,
            address: address(machine.id),
            status: machine.isUp ? 'running' : 'starting',
            age: ms(this.clock.now() - machine.createdAt),
          }));
          return { more: listed.length > MAX_MACHINES_PER_PAGE, machines };
        }),
    };
  }
}

/** Returns the network address of the worker on a machine. */
export const address = (id: MachineId): string => `${id}:9000`;
