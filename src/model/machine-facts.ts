/**
 * What a leader knows of a machine's type, zone and kind. Placement reads confirmed facts only; unconfirmed ones have
 * another type, so that they cannot be passed for confirmed.
 */
import type { Machine, MachineType } from './machine.js';
import type { MonotonicTime } from './time.js';

/** Who confirmed what a machine is. */
export enum FactSource {
  /** The cloud's answer to the request that created it. */
  Rental = 'rental',
  /** The cloud's list of machines. */
  List = 'list',
  /** The machine's own heartbeat. */
  Heartbeat = 'heartbeat',
  /** A leader's record of what one of these had confirmed. */
  Record = 'record',
}

/** Confirmed by the cloud or by the machine, to this leader or to an earlier one. */
export interface ConfirmedFacts {
  readonly state: 'confirmed';
  readonly machine: Machine;
  readonly type: MachineType;
  readonly source: FactSource;
  readonly learnedAt: MonotonicTime;
}

/** Read from a record of a version that recorded guesses as well: good enough for capacity planning only. */
export interface UnconfirmedFacts {
  readonly state: 'unconfirmed';
  readonly machine: Machine;
  readonly type: MachineType;
}

/** Nothing but the machine's id, from the record of a task on it. */
export interface UnknownFacts {
  readonly state: 'unknown';
}

/** All that is known of one machine. */
export type MachineFacts = ConfirmedFacts | UnconfirmedFacts | UnknownFacts;

/** The facts of a machine of which only the id is known. */
export const UNKNOWN_FACTS: UnknownFacts = { state: 'unknown' };

/** Reports whether two descriptions of one machine agree. */
export function sameMachine(one: Machine, other: Machine): boolean {
  return one.type === other.type && one.zone === other.zone && one.spot === other.spot;
}
