/** Identities of controllers and of the processes that run them. */

declare const brand: unique symbol;
/** A `T` that is not assignable to other brands of `T`. */
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Names a configured controller, whichever process runs it. */
export type MemberId = Branded<string, 'MemberId'>;
/** Names one start of a controller's process: a random string, unique to that start. */
export type ProcessId = Branded<string, 'ProcessId'>;
/** Orders a controller's statements about itself (as in SWIM). A process raises its own to refute a suspicion. */
export type Incarnation = Branded<number, 'Incarnation'>;

/** A controller, its process, and the incarnation of that process. */
export interface Identity {
  readonly member: MemberId;
  readonly process: ProcessId;
  readonly incarnation: Incarnation;
}

/** How a received identity relates to the one that is known for the same member. */
export enum IdentityOrder {
  /** The known process, or the first one that is seen of the member. */
  Current = 'current',
  /** A later start of the member's process. */
  Restarted = 'restarted',
  /** An earlier process, or a late message of the present one. */
  Stale = 'stale',
}

/** Compares a received identity with the one that is known; `current` is null if none is. */
export function compareIdentity(current: Identity | null, received: Identity): IdentityOrder {
  if (current === null) return IdentityOrder.Current;
  if (current.process === received.process) {
    return received.incarnation >= current.incarnation ? IdentityOrder.Current : IdentityOrder.Stale;
  }
  return received.incarnation > current.incarnation ? IdentityOrder.Restarted : IdentityOrder.Stale;
}

/** Whether two identities are the same process in the same incarnation, so that evidence about one holds for the other. */
export function isSameIdentity(first: Identity, second: Identity): boolean {
  return first.process === second.process && first.incarnation === second.incarnation;
}

/** Returns the lowest incarnation that is above both. */
export function incarnationAbove(own: Incarnation, other: Incarnation): Incarnation {
  return (Math.max(own, other) + 1) as Incarnation;
}
