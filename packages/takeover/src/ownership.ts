/** The types of ownership: who owns a unit of work, and under which fencing epoch. */
import type { MemberId, ProcessId } from '@plumyoke/membership';

declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Names a unit of work, which is owned as a whole: by one process at a time, or by none. */
export type UnitId = Branded<string, 'UnitId'>;
/** A fencing token: increases with every change of owner. Every effect carries it, and a lower one is refused. */
export type FencingEpoch = Branded<number, 'FencingEpoch'>;
/** The revision of a key in the store; 0: the key does not exist. */
export type StoreRevision = Branded<number, 'StoreRevision'>;

/** The revision of a key that does not exist. */
export const NO_REVISION = 0 as StoreRevision;
/** The epoch of a unit that never had an owner. */
export const NO_EPOCH = 0 as FencingEpoch;

/** A process that owns a unit. A later start of the same member is another owner. */
export interface Owner {
  readonly member: MemberId;
  readonly process: ProcessId;
}

/** An ownership that a process has won, and that it presents with every effect. */
export interface Ownership {
  readonly unit: UnitId;
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
  /** Every write of the owner is conditioned on the epoch's key being at this revision. */
  readonly epochRevision: StoreRevision;
}

/** The revisions of the two keys of a unit, on which a claim is conditioned. */
export interface UnitRevisions {
  readonly holder: StoreRevision;
  readonly epoch: StoreRevision;
}

/** The unit never had an owner, or its last owner's record was deleted. */
export interface Unowned {
  readonly kind: 'unowned';
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** A process owns the unit. */
export interface Owned {
  readonly kind: 'owned';
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** The last owner released the unit; `successor` may claim it without delay. */
export interface Released {
  readonly kind: 'released';
  readonly successor: MemberId | null;
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** A record cannot be decoded: no member acts on the unit until an operator has repaired it. */
export interface Damaged {
  readonly kind: 'damaged';
  readonly key: string;
  readonly problem: string;
}

/** The records of a unit on which a claim can be based. */
export type ClaimableReading = Unowned | Owned | Released;

/** The records of a unit as they were read. */
export type OwnershipReading = ClaimableReading | Damaged;

/** The result of a claim. */
export type ClaimResult =
  | { readonly kind: 'won'; readonly ownership: Ownership }
  /** Another member was faster, or the owner has written a heartbeat: the records must be read again. */
  | { readonly kind: 'superseded' }
  /** The store did not carry it out and will not. */
  | { readonly kind: 'unavailable' }
  /** No answer came: the claim may have been carried out, or may still be. */
  | { readonly kind: 'uncertain' };

/** The result of confirming an ownership. */
export enum Confirmation {
  Held = 'held',
  Superseded = 'superseded',
  /** The store did not answer. */
  Unknown = 'unknown',
}

/** The records of ownership. Only a conditional write decides a claim. */
export interface OwnershipClaims {
  /** Reads the unit's records. Resolves to null if the store did not answer. */
  read(unit: UnitId): Promise<OwnershipReading | null>;
  /** Claims a unit. Succeeds only if its records have not changed since `reading`. */
  claim(unit: UnitId, claimant: Owner, reading: ClaimableReading): Promise<ClaimResult>;
  /** Checks that no later epoch has begun. */
  confirm(ownership: Ownership): Promise<Confirmation>;
  /** Shows through the store that the owner is alive. The epoch does not change. */
  writeHeartbeat(ownership: Ownership): Promise<void>;
  /** Gives the unit up. `successor`: who should claim it first. */
  release(ownership: Ownership, successor: MemberId | null): Promise<void>;
}

/** Returns whether both are the same process. */
export function isSameOwner(first: Owner, second: Owner): boolean {
  return first.member === second.member && first.process === second.process;
}
