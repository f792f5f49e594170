/** Who owns a unit of work, and under which epoch. */
import type { MemberId, ProcessId } from '@plumyoke/membership';

declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Work that is owned as a whole: by one process at a time, or by none. */
export type UnitId = Branded<string, 'UnitId'>;
/** Rises with every change of owner. Every effect of an owner carries it, and a lower one is refused. */
export type FencingEpoch = Branded<number, 'FencingEpoch'>;
/** Revision of a key of the store; 0: the key does not exist. */
export type StoreRevision = Branded<number, 'StoreRevision'>;

export const NO_REVISION = 0 as StoreRevision;
export const NO_EPOCH = 0 as FencingEpoch;

/** A process that owns a unit. A later start of the same member is another owner. */
export interface Owner {
  readonly member: MemberId;
  readonly process: ProcessId;
}

/** An ownership that was won: what its holder has to show with every effect. */
export interface Ownership {
  readonly unit: UnitId;
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
  /** Every write of the owner is conditioned on the epoch's key being at this revision. */
  readonly epochRevision: StoreRevision;
}

/** The store's revisions of the two keys of a unit, as a claim has to find them. */
export interface UnitRevisions {
  readonly holder: StoreRevision;
  readonly epoch: StoreRevision;
}

/** Nobody has ever owned the unit, or its last owner's record is gone. */
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

/** Its last owner gave it up; `heir` is who should take it first. */
export interface Released {
  readonly kind: 'released';
  readonly heir: MemberId | null;
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** A record that cannot be read: nobody may act on the unit until an operator has looked at it. */
export interface Damaged {
  readonly kind: 'damaged';
  readonly key: string;
  readonly problem: string;
}

/** What the records tell of a unit. */
export type OwnershipReading = Unowned | Owned | Released | Damaged;

/** What an attempt to own a unit came to. */
export type ClaimResult =
  | { readonly kind: 'won'; readonly ownership: Ownership }
  /** Somebody else was faster, or the owner has shown that it lives: read again. */
  | { readonly kind: 'superseded' }
  /** The store surely did not carry it out. */
  | { readonly kind: 'unavailable' }
  /** No answer: it may have been carried out, or may be later. */
  | { readonly kind: 'uncertain' };

/** Whether an ownership still holds. */
export enum Confirmation {
  Held = 'held',
  Superseded = 'superseded',
  /** The store did not tell. */
  Unknown = 'unknown',
}

/** Where ownership is recorded. A claim is decided by a conditional write, by nothing else. */
export interface OwnershipClaims {
  /** Null: the store did not tell. Never rejects. */
  read(unit: UnitId): Promise<OwnershipReading | null>;
  /** Succeeds only if the unit's records are still as `found` tells. Never rejects. */
  claim(unit: UnitId, claimant: Owner, found: Unowned | Owned | Released): Promise<ClaimResult>;
  confirm(ownership: Ownership): Promise<Confirmation>;
  /** Shows through the store that the owner lives. The epoch stays. */
  showLife(ownership: Ownership): Promise<void>;
  release(ownership: Ownership, heir: MemberId | null): Promise<void>;
}

/** Whether both are the same process. */
export function sameOwner(a: Owner, b: Owner): boolean {
  return a.member === b.member && a.process === b.process;
}
