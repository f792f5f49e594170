/** Names of controllers and of the processes that stand for them. */

declare const brand: unique symbol;
/** A value of type `T` that no other brand of it can be passed for. */
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** A configured controller, whichever process runs it. */
export type MemberId = Branded<string, 'MemberId'>;
/** One start of a controller's process: a random text that no other start has. */
export type ProcessId = Branded<string, 'ProcessId'>;
/** Orders what a controller says of itself. A process raises its own to refute a suspicion. */
export type Incarnation = Branded<number, 'Incarnation'>;

/** Who says something: the controller, its process, and how often that process had to refute a suspicion. */
export interface Identity {
  readonly member: MemberId;
  readonly process: ProcessId;
  readonly incarnation: Incarnation;
}

/** How an identity relates to the one that is known for the same member. */
export enum IdentityOrder {
  /** The process that is known, or one about which nothing was known. */
  Current = 'current',
  /** A later start of the member's process. */
  Restarted = 'restarted',
  /** An earlier process, or a late message of the present one. */
  Stale = 'stale',
}

/** Compares an identity that has arrived with the one that is known. */
export function compareIdentity(known: Identity | null, arrived: Identity): IdentityOrder {
  if (known === null) return IdentityOrder.Current;
  if (known.process === arrived.process) {
    return arrived.incarnation >= known.incarnation ? IdentityOrder.Current : IdentityOrder.Stale;
  }
  return arrived.incarnation > known.incarnation ? IdentityOrder.Restarted : IdentityOrder.Stale;
}

/** Whether two identities are of one process in one incarnation: what is said of the one holds for the other. */
export function sameIdentity(a: Identity, b: Identity): boolean {
  return a.process === b.process && a.incarnation === b.incarnation;
}

/** The least incarnation that is above both. */
export function incarnationAbove(own: Incarnation, other: Incarnation): Incarnation {
  return (Math.max(own, other) + 1) as Incarnation;
}
