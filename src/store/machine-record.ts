/** Codec of the fleet records (`fleet/<n>`), each of which holds several machines. All versions share the format. */
import type { MachineId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { InvalidRecordError } from './errors.js';

/**
 * One machine in a fleet record, with fields by position; positions never change. `confirmed` was added with issue 30:
 * earlier versions also recorded guessed facts and leave the field out.
 */
export type StoredMachine = [
  id: string,
  type: string,
  zone: string,
  spot: 0 | 1,
  address: string,
  rentedAt: number,
  up: 0 | 1,
  confirmed?: 1,
];

/** Facts about a machine that a leader records for its successors. */
export interface MachineRecord {
  readonly machine: Machine;
  /** Address on which the machine's worker listens; empty if not yet known. */
  readonly address: string;
  /** Wall-clock time at which the machine was rented, in milliseconds since 1970. */
  readonly rentedAt: number;
  /** Whether the machine was up when the record was written. */
  readonly isUp: boolean;
  /** Whether the machine's facts are confirmed. False in records of versions that also recorded guessed facts. */
  readonly isConfirmed: boolean;
}

/** The stored value of one fleet record. */
interface StoredFleetChunk {
  readonly m: readonly StoredMachine[];
}

/** Encodes one machine for a fleet record. */
export function encodeMachine({
  machine,
  address,
  rentedAt,
  isUp,
  isConfirmed,
}: MachineRecord): StoredMachine {
  const { id, type, zone, spot } = machine;
  const stored: StoredMachine = [id, type, zone, spot ? 1 : 0, address, rentedAt, isUp ? 1 : 0];
  if (isConfirmed) stored.push(1);
  return stored;
}

/** Builds the value of one fleet record from encoded machines. */
export function encodeFleetChunk(machines: readonly StoredMachine[]): StoredFleetChunk {
  return { m: machines };
}

const isString = (value: unknown): boolean => typeof value === 'string';
const isBit = (value: unknown): boolean => value === 0 || value === 1;

function isStoredMachine(value: unknown): value is StoredMachine {
  if (!Array.isArray(value)) return false;
  const [id, type, zone, spot, address, rentedAt, up] = value as unknown[];
  const hasNames = [id, type, zone, address].every(isString);
  return hasNames && isBit(spot) && isBit(up) && typeof rentedAt === 'number';
}

/**
 * Decodes the machines of one fleet record.
 *
 * @throws {InvalidRecordError} If no version writes such a value.
 */
export function decodeFleetChunk(value: unknown): MachineRecord[] {
  const machines = (value as Partial<StoredFleetChunk> | null | undefined)?.m;
  if (!Array.isArray(machines))
    throw new InvalidRecordError('fleet record: field m is not a list of machines');
  return machines.map((machine: unknown) => {
    if (!isStoredMachine(machine))
      throw new InvalidRecordError(
        'fleet record: a machine entry is not a list of id, type, zone, spot bit, address, rental time and up bit',
      );
    return decodeMachine(machine);
  });
}

function decodeMachine([
  id,
  type,
  zone,
  spot,
  address,
  rentedAt,
  up,
  confirmed,
]: StoredMachine): MachineRecord {
  return {
    machine: { id: id as MachineId, type: type as MachineTypeId, zone: zone as ZoneId, spot: spot === 1 },
    address,
    rentedAt,
    isUp: up === 1,
    isConfirmed: confirmed === 1,
  };
}
