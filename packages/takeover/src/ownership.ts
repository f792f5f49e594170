/** The types of ownership: which process owns a unit of work, and under which fencing epoch. */
import type { MemberId, ProcessId } from '@plumyoke/membership';

declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** The name of a unit of work. A unit has at most one owner at a time. */
export type UnitId = Branded<string, 'UnitId'>;
/**
 * A fencing token that increases with every successful claim. Resources refuse effects with a lower epoch than the
 * highest that they have accepted.
 */
export type FencingEpoch = Branded<number, 'FencingEpoch'>;
/** The revision of a key in the store; 0: the key does not exist. */
export type StoreRevision = Branded<number, 'StoreRevision'>;

/** The revision of a key that does not exist. */
export const NO_REVISION = 0 as StoreRevision;
/** The epoch of a unit that never had an owner. */
export const NO_EPOCH = 0 as FencingEpoch;

/** A process that owns a unit. After a restart, the same member is a different owner. */
export interface Owner {
  readonly member: MemberId;
  readonly process: ProcessId;
}

/** The ownership of a unit that a process has claimed. The process presents the ownership with every effect. */
export interface Ownership {
  readonly unit: UnitId;
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
  /** The revision of the unit's epoch key. Every write of the owner requires that the key is still at this revision. */
  readonly epochRevision: StoreRevision;
}

/** The revisions of the two keys of a unit, on which a claim is conditioned. */
export interface UnitRevisions {
  readonly holder: StoreRevision;
  readonly epoch: StoreRevision;
}

/**
 * The unit never had an owner, or its last owner's record was deleted. The reference registry also returns this reading
 * when a claim was committed between its reads of the two keys; a claim based on that reading fails.
 */
export interface UnownedReading {
  readonly kind: 'unowned';
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** A process owns the unit. */
export interface OwnedReading {
  readonly kind: 'owned';
  readonly owner: Owner;
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** The last owner released the unit; `successor` may claim it without delay. Null: no member is preferred. */
export interface ReleasedReading {
  readonly kind: 'released';
  readonly successor: MemberId | null;
  readonly epoch: FencingEpoch;
  readonly revisions: UnitRevisions;
}

/** A record of the unit cannot be decoded. No member claims the unit until an operator has repaired the record. */
export interface DamagedReading {
  readonly kind: 'damaged';
  readonly key: string;
  /** A predicate of which the record is the subject, such as "is not a JSON object". */
  readonly problem: string;
}

/** A reading of a unit's records on which a claim can be based. */
export type ClaimableReading = UnownedReading | OwnedReading | ReleasedReading;

/** The result of reading a unit's records. */
export type OwnershipReading = ClaimableReading | DamagedReading;

/** The result of a claim. */
export type ClaimResult =
  | { readonly kind: 'won'; readonly ownership: Ownership }
  /** The records have changed, for example by another claim, a heartbeat or a release, and must be read again. */
  | { readonly kind: 'superseded' }
  /** The store rejected the claim and will not execute it later. */
  | { readonly kind: 'unavailable' }
  /** The store did not respond: the claim may have been executed, or may still be executed. */
  | { readonly kind: 'uncertain' };

/** The result of confirming an ownership. */
export enum OwnershipConfirmation {
  Held = 'held',
  Superseded = 'superseded',
  /** The store did not respond or refused the request. */
  Unknown = 'unknown',
}

/**
 * The interface that reads, claims, confirms, renews (by heartbeats) and releases the ownership of units. A claim is
 * decided by a conditional write to the store alone.
 */
export interface OwnershipClaims {
  /** Reads the unit's records. Resolves to null if the store did not respond or refused the request. */
  read(unit: UnitId): Promise<OwnershipReading | null>;
  /** Claims a unit. Succeeds only if the unit's records have not changed since `reading`. */
  claim(unit: UnitId, claimant: Owner, reading: ClaimableReading): Promise<ClaimResult>;
  /** Checks that no other process has claimed the unit under a later epoch. */
  confirm(ownership: Ownership): Promise<OwnershipConfirmation>;
  /** Writes a heartbeat to the store, as evidence that the owner is alive. The epoch does not change. */
  writeHeartbeat(ownership: Ownership): Promise<void>;
  /** Releases the unit. `successor` may claim the unit without delay; null: no member is preferred. */
  release(ownership: Ownership, successor: MemberId | null): Promise<void>;
}

/** Returns whether both owners are the same process of the same member. */
export function isSameOwner(left: Owner, right: Owner): boolean {
  return left.member === right.member && left.process === right.process;
}
