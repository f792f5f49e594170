/**
 * Facts that a leader has about a machine: its type, its zone, and whether it is a spot machine. Placement reads
 * confirmed facts only. Unconfirmed facts have a separate type, so that the compiler rejects them in place of confirmed
 * facts.
 */
import type { Machine, MachineType } from './machine.js';
import type { MonotonicTime } from './time.js';

/** Source that confirmed the facts of a machine. */
export enum FactSource {
  /** The cloud's answer to the request that created it. */
  Rental = 'rental',
  /** The cloud's list of machines. */
  List = 'list',
  /** The machine's own heartbeat. */
  Heartbeat = 'heartbeat',
  /** An earlier leader's record of facts that another source had confirmed. */
  Record = 'record',
}

/** Facts that the cloud or the machine has confirmed, to this leader or to an earlier leader. */
export interface ConfirmedFacts {
  readonly state: 'confirmed';
  readonly machine: Machine;
  readonly type: MachineType;
  readonly source: FactSource;
  readonly learnedAt: MonotonicTime;
}

/** Facts from a record of a version that also recorded guesses. Only capacity planning may use unconfirmed facts. */
export interface UnconfirmedFacts {
  readonly state: 'unconfirmed';
  readonly machine: Machine;
  readonly type: MachineType;
}

/** Facts of a machine of which only the id is known, from the record of a task on the machine. */
export interface UnknownFacts {
  readonly state: 'unknown';
}

/** Facts of one machine, by state of confirmation. */
export type MachineFacts = ConfirmedFacts | UnconfirmedFacts | UnknownFacts;

/** The facts of a machine of which only the id is known. */
export const UNKNOWN_FACTS: UnknownFacts = { state: 'unknown' };

/** Reports whether two descriptions of one machine agree. */
export function isSameMachine(left: Machine, right: Machine): boolean {
  return left.type === right.type && left.zone === right.zone && left.spot === right.spot;
}
