/** The stages of a takeover as seen by one member, and how they follow each other. Pure. */
import type { Damaged, Owned, Owner, Ownership, StoreRevision } from './ownership.js';

/** Somebody else owns the unit, or nobody does, and there is nothing to do. */
export interface Watching {
  readonly kind: 'watching';
}

/** The owner is suspected or failed. Its record is watched for signs of life; the first successor reads ahead. */
export interface Suspecting {
  readonly kind: 'suspecting';
  readonly owner: Owner;
  readonly sinceMs: number;
  /** The holder's record as last seen: the owner changes it to show that it lives. */
  readonly holderRevision: StoreRevision;
  /** When a change of it was last seen; null: none was. */
  readonly lastSignMs: number | null;
}

/** A claim is under way. */
interface Claiming {
  readonly kind: 'claiming';
}

/** The unit is ours; its machines and jobs are being adopted. */
export interface Adopting {
  readonly kind: 'adopting';
  readonly ownership: Ownership;
}

/** The unit is ours and served. */
export interface Serving {
  readonly kind: 'serving';
  readonly ownership: Ownership;
}

/** The unit's record cannot be read: nobody acts. */
interface Blocked {
  readonly kind: 'blocked';
  readonly damage: Damaged;
}

/** Where a member stands with one unit. */
export type Stage = Watching | Suspecting | Claiming | Adopting | Serving | Blocked;

/** What moves a member from one stage to another. */
export type StageEvent =
  | { readonly kind: 'owner-suspected'; readonly reading: Owned }
  | { readonly kind: 'owner-cleared' }
  | { readonly kind: 'holder-read'; readonly reading: Owned }
  | { readonly kind: 'claim-began' }
  | { readonly kind: 'claim-won'; readonly ownership: Ownership }
  | { readonly kind: 'claim-lost' }
  | { readonly kind: 'adopted' }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'damaged'; readonly damage: Damaged }
  | { readonly kind: 'repaired' };

export const WATCHING: Watching = { kind: 'watching' };

/** Whether the member owns the unit, as far as it knows. */
export function owns(stage: Stage): stage is Adopting | Serving {
  return stage.kind === 'adopting' || stage.kind === 'serving';
}

function beginSuspecting(stage: Stage, { owner, revisions }: Owned, nowMs: number): Stage {
  if (stage.kind !== 'watching') return stage;
  return { kind: 'suspecting', owner, sinceMs: nowMs, holderRevision: revisions.holder, lastSignMs: null };
}

/** The suspect's record was read again. */
function afterReading(stage: Stage, { owner, revisions }: Owned, nowMs: number): Stage {
  if (stage.kind !== 'suspecting') return stage;
  if (stage.owner.process !== owner.process) return WATCHING;
  if (stage.holderRevision === revisions.holder) return stage;
  return { ...stage, holderRevision: revisions.holder, lastSignMs: nowMs };
}

function beginClaiming(stage: Stage): Stage {
  if (owns(stage) || stage.kind === 'blocked') return stage;
  return { kind: 'claiming' };
}

/** Events that only end the stage that they belong to. */
function ended(stage: Stage, of: Stage['kind']): Stage {
  return stage.kind === of ? WATCHING : stage;
}

/** The stage that follows; an event that does not fit the stage changes nothing. */
export function nextStage(stage: Stage, event: StageEvent, nowMs: number): Stage {
  switch (event.kind) {
    case 'owner-suspected':
      return beginSuspecting(stage, event.reading, nowMs);
    case 'holder-read':
      return afterReading(stage, event.reading, nowMs);
    case 'owner-cleared':
      return ended(stage, 'suspecting');
    case 'claim-began':
      return beginClaiming(stage);
    case 'claim-won':
      return { kind: 'adopting', ownership: event.ownership };
    case 'claim-lost':
      return ended(stage, 'claiming');
    case 'adopted':
      return stage.kind === 'adopting' ? { ...stage, kind: 'serving' } : stage;
    case 'superseded':
      return owns(stage) ? WATCHING : stage;
    case 'damaged':
      return { kind: 'blocked', damage: event.damage };
    case 'repaired':
      return ended(stage, 'blocked');
  }
}
