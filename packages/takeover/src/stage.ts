/** The stages of a unit's takeover from the view of one member: a state machine without side effects. */
import type { DamagedReading, OwnedReading, Owner, Ownership, StoreRevision } from './ownership.js';

/** Another process owns the unit and is not suspected, or the unit has no owner and this member has sent no claim. */
export interface Watching {
  readonly kind: 'watching';
}

/**
 * The owner is suspected, failed or gone. This member watches the owner's record for heartbeats; the first successor
 * prefetches.
 */
export interface Suspecting {
  readonly kind: 'suspecting';
  readonly owner: Owner;
  readonly sinceMs: number;
  /** The revision of the holder's record at the last reading. Every heartbeat of the owner changes the revision. */
  readonly holderRevision: StoreRevision;
  /** When a heartbeat was last observed, in monotonic milliseconds; null: no heartbeat was observed. */
  readonly lastHeartbeatMs: number | null;
}

/** This member has sent a claim whose result is pending. */
interface Claiming {
  readonly kind: 'claiming';
}

/** This process owns the unit and is adopting the unit's machines and jobs. */
export interface Adopting {
  readonly kind: 'adopting';
  readonly ownership: Ownership;
}

/** This process owns and serves the unit. */
export interface Serving {
  readonly kind: 'serving';
  readonly ownership: Ownership;
}

/** A record of the unit cannot be decoded, so this member does not claim the unit. */
interface Blocked {
  readonly kind: 'blocked';
  readonly damage: DamagedReading;
}

/** The stage of a unit's takeover. The values of `kind` appear in the log. */
export type Stage = Watching | Suspecting | Claiming | Adopting | Serving | Blocked;

/** An event that may change a unit's stage. */
export type StageEvent =
  | { readonly kind: 'owner-suspected'; readonly reading: OwnedReading }
  | { readonly kind: 'owner-cleared' }
  | { readonly kind: 'holder-read'; readonly reading: OwnedReading }
  | { readonly kind: 'claim-began' }
  | { readonly kind: 'claim-won'; readonly ownership: Ownership }
  | { readonly kind: 'claim-lost' }
  | { readonly kind: 'adopted' }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'damaged'; readonly damage: DamagedReading }
  | { readonly kind: 'repaired' };

/** The initial stage. */
export const WATCHING: Watching = { kind: 'watching' };

/** Returns whether this process believes that it owns the unit. Another process may have claimed the unit since. */
export function isOwnerStage(stage: Stage): stage is Adopting | Serving {
  return stage.kind === 'adopting' || stage.kind === 'serving';
}

function startSuspecting(stage: Stage, { owner, revisions }: OwnedReading, nowMs: number): Stage {
  if (stage.kind !== 'watching') return stage;
  return {
    kind: 'suspecting',
    owner,
    sinceMs: nowMs,
    holderRevision: revisions.holder,
    lastHeartbeatMs: null,
  };
}

/** Returns the stage after a new reading of the suspected owner's record. */
function recordHolderRead(stage: Stage, { owner, revisions }: OwnedReading, nowMs: number): Stage {
  if (stage.kind !== 'suspecting') return stage;
  if (stage.owner.process !== owner.process) return WATCHING;
  if (stage.holderRevision === revisions.holder) return stage;
  return { ...stage, holderRevision: revisions.holder, lastHeartbeatMs: nowMs };
}

function startClaiming(stage: Stage): Stage {
  if (isOwnerStage(stage) || stage.kind === 'blocked') return stage;
  return { kind: 'claiming' };
}

/** Returns to `watching` from a stage of the given kind. A stage of another kind is returned unchanged. */
function leaveStage(stage: Stage, kind: Stage['kind']): Stage {
  return stage.kind === kind ? WATCHING : stage;
}

/** Returns the stage that follows an event. An event that does not apply to the stage leaves the stage unchanged. */
export function nextStage(stage: Stage, event: StageEvent, nowMs: number): Stage {
  switch (event.kind) {
    case 'owner-suspected':
      return startSuspecting(stage, event.reading, nowMs);
    case 'holder-read':
      return recordHolderRead(stage, event.reading, nowMs);
    case 'owner-cleared':
      return leaveStage(stage, 'suspecting');
    case 'claim-began':
      return startClaiming(stage);
    case 'claim-won':
      return { kind: 'adopting', ownership: event.ownership };
    case 'claim-lost':
      return leaveStage(stage, 'claiming');
    case 'adopted':
      return stage.kind === 'adopting' ? { ...stage, kind: 'serving' } : stage;
    case 'superseded':
      return isOwnerStage(stage) ? WATCHING : stage;
    case 'damaged':
      return { kind: 'blocked', damage: event.damage };
    case 'repaired':
      return leaveStage(stage, 'blocked');
  }
}
