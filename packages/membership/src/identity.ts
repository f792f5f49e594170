/** Identities of controllers and of the processes that run them. */

declare const brand: unique symbol;
/** A nominal type: a `T` that is not assignable to a `T` with another brand. */
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** The name of a configured controller, which is the same for every process that runs the controller. */
export type MemberId = Branded<string, 'MemberId'>;
/** Identifies one start of a controller's process by a random string that is unique to this start. */
export type ProcessId = Branded<string, 'ProcessId'>;
/**
 * Orders a controller's statements about itself, as in SWIM. A process raises its incarnation to refute a suspicion.
 */
export type Incarnation = Branded<number, 'Incarnation'>;

/** A controller, its process, and the incarnation of that process. */
export interface Identity {
  readonly member: MemberId;
  readonly process: ProcessId;
  readonly incarnation: Incarnation;
}

/** How a received identity relates to the known identity of the same member. */
export enum IdentityOrder {
  /**
   * The identity belongs to the known process in the known or a later incarnation, or no process of the member was
   * known.
   */
  Current = 'current',
  /** The identity belongs to a later start of the member's process. */
  Restarted = 'restarted',
  /** The identity belongs to an earlier process, or to an earlier incarnation of the known process. */
  Stale = 'stale',
}

/** Compares a received identity with the known identity; `current` is null if no identity is known. */
export function compareIdentity(current: Identity | null, received: Identity): IdentityOrder {
  if (current === null) return IdentityOrder.Current;
  if (current.process === received.process) {
    return received.incarnation >= current.incarnation ? IdentityOrder.Current : IdentityOrder.Stale;
  }
  return received.incarnation > current.incarnation ? IdentityOrder.Restarted : IdentityOrder.Stale;
}

/**
 * Whether two identities are the same process in the same incarnation, so that evidence about one applies to the other.
 */
export function isSameIdentity(left: Identity, right: Identity): boolean {
  return left.process === right.process && left.incarnation === right.incarnation;
}

/** Returns the lowest incarnation that is higher than both arguments. */
export function incarnationAbove(own: Incarnation, other: Incarnation): Incarnation {
  return (Math.max(own, other) + 1) as Incarnation;
}
