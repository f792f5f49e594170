/** The records of the fleet (`fleet/<n>`), each with some of the machines, as every version reads and writes them. */
import type { MachineId, MachineTypeId, ZoneId } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { InvalidRecordError } from './errors.js';

/**
 * One machine in a record, by position; positions never change. `confirmed` was added with issue 30: earlier versions
 * also recorded what they had guessed, and leave the field out.
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

/** What a leader records of a machine for its successors. */
export interface MachineRecord {
  readonly machine: Machine;
  /** Where the worker listens; empty: not known yet. */
  readonly address: string;
  /** By the time of day, in milliseconds since 1970. */
  readonly rentedAt: number;
  /** Whether the machine was up when the record was written. */
  readonly isUp: boolean;
  /** Whether its facts are confirmed. Not so in records of versions that recorded guesses as well. */
  readonly isConfirmed: boolean;
}

/** The value of one record. */
interface StoredFleetChunk {
  readonly m: readonly StoredMachine[];
}

/** Encodes one machine. */
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

/** Builds the value of one record from encoded machines. */
export function encodeFleetChunk(machines: readonly StoredMachine[]): StoredFleetChunk {
  return { m: machines };
}

const isText = (value: unknown): boolean => typeof value === 'string';
const isFlag = (value: unknown): boolean => value === 0 || value === 1;

function isStoredMachine(value: unknown): value is StoredMachine {
  if (!Array.isArray(value)) return false;
  const [id, type, zone, spot, address, rentedAt, up] = value as unknown[];
  const hasNames = [id, type, zone, address].every(isText);
  return hasNames && isFlag(spot) && isFlag(up) && typeof rentedAt === 'number';
}

/**
 * Decodes the machines of one record.
 *
 * @throws {InvalidRecordError} On a value that no version writes.
 */
export function decodeFleetChunk(value: unknown): MachineRecord[] {
  const machines = (value as Partial<StoredFleetChunk> | null | undefined)?.m;
  if (!Array.isArray(machines)) throw new InvalidRecordError('no list of machines');
  return machines.map((machine: unknown) => {
    if (!isStoredMachine(machine)) throw new InvalidRecordError('a machine without its places');
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
