/**
 * What a leader knows of a machine's type, zone and kind. Placement reads confirmed facts only; what merely may be so
 * has another type, so that it cannot be passed for a fact.
 */
import type { Machine, MachineType } from './machine.js';
import type { MonotonicTime } from './time.js';

/** Who told what a machine is. */
export enum FactSource {
  /** The cloud's answer to the rental. */
  Rental = 'rental',
  /** The cloud's list of machines. */
  List = 'list',
  /** The machine's own report. */
  Heartbeat = 'heartbeat',
  /** A leader's record of what one of these had told. */
  Record = 'record',
}

/** Told by the cloud or the machine, now or to an earlier leader. */
export interface ConfirmedFacts {
  readonly state: 'confirmed';
  readonly machine: Machine;
  readonly type: MachineType;
  readonly source: FactSource;
  readonly learnedAt: MonotonicTime;
}

/** Told by a record of a version that recorded guesses as well: good enough for planning. */
export interface UnconfirmedFacts {
  readonly state: 'unconfirmed';
  readonly machine: Machine;
  readonly type: MachineType;
}

/** Nothing but the machine's name, from the record of a task on it. */
export interface UnknownFacts {
  readonly state: 'unknown';
}

/** All that is known of one machine. */
export type MachineFacts = ConfirmedFacts | UnconfirmedFacts | UnknownFacts;

export const UNKNOWN_FACTS: UnknownFacts = { state: 'unknown' };

/** Whether two descriptions of one machine agree. */
export function sameMachine(one: Machine, other: Machine): boolean {
  return one.type === other.type && one.zone === other.zone && one.spot === other.spot;
}
