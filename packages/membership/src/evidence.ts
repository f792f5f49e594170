/** What speaks for or against a member: who saw what, how long ago, over which link and in which direction. */
import type { MemberId } from './identity.js';
import type { ObservationRow, PeerObservation } from './messages.js';

/** What an observer found out about its link with a member. */
export enum LinkCondition {
  /** Probes are answered. */
  Reached = 'reached',
  /** Probes are answered through another member only: the link between the two is cut. */
  ReachedThroughOthers = 'reached-through-others',
  /** The member's messages arrive, but it answers none of ours: the way to it is cut. */
  HeardOnly = 'heard-only',
  /** Nothing arrives, and nothing is answered. */
  Silent = 'silent',
}

/** One observer's finding. */
export interface Evidence {
  readonly observer: MemberId;
  readonly subject: MemberId;
  readonly condition: LinkCondition;
  /** For how long it has been so. */
  readonly forMs: number;
  /** The observer suspects the member, and for how long; null: it does not. */
  readonly suspectedForMs: number | null;
  /** Since the member last answered the observer, straight or through another; Infinity: never. */
  readonly answeredAgoMs: number;
  /** Age of the finding at most. */
  readonly ageMs: number;
  /** The observer's local health score: above 0 it is slow itself, and its findings need longer to count. */
  readonly observerScore: number;
}

const orInfinity = (ms: number | null): number => ms ?? Infinity;

/** `windowMs`: a contact that is no older counts as present. */
function conditionOf(observation: PeerObservation, windowMs: number): LinkCondition {
  const { reachedAgoMs, vouchedAgoMs, heardAgoMs } = observation;
  if (orInfinity(reachedAgoMs) <= windowMs) return LinkCondition.Reached;
  if (orInfinity(heardAgoMs) <= windowMs) return LinkCondition.HeardOnly;
  if (orInfinity(vouchedAgoMs) <= windowMs) return LinkCondition.ReachedThroughOthers;
  return LinkCondition.Silent;
}

function durationOf(observation: PeerObservation, condition: LinkCondition): number {
  const { reachedAgoMs, vouchedAgoMs, heardAgoMs } = observation;
  switch (condition) {
    case LinkCondition.Reached:
      return 0;
    case LinkCondition.ReachedThroughOthers:
    case LinkCondition.HeardOnly:
      return orInfinity(reachedAgoMs);
    case LinkCondition.Silent:
      return Math.min(orInfinity(reachedAgoMs), orInfinity(vouchedAgoMs), orInfinity(heardAgoMs));
  }
}

/** What the observer of a row has seen of the member that the observation is about. */
export function evidenceOf(
  { observer, localHealth }: ObservationRow,
  observation: PeerObservation,
  windowMs: number,
  ageMs: number,
): Evidence {
  const condition = conditionOf(observation, windowMs * (1 + localHealth));
  return {
    observer: observer.member,
    subject: observation.identity.member,
    condition,
    forMs: durationOf(observation, condition),
    suspectedForMs: observation.suspectedForMs,
    answeredAgoMs:
      ageMs + Math.min(orInfinity(observation.reachedAgoMs), orInfinity(observation.vouchedAgoMs)),
    ageMs,
    observerScore: localHealth,
  };
}

const ago = (ms: number): string => `${(ms / 1000).toFixed(1)} s ago`;
const since = (ms: number): string =>
  Number.isFinite(ms) ? `for ${(ms / 1000).toFixed(1)} s` : 'since its start';

/** One finding as a sentence. */
export function describeEvidence(evidence: Evidence): string {
  const { observer, subject, condition, forMs, ageMs, answeredAgoMs } = evidence;
  const seen = `seen ${ago(ageMs)}`;
  switch (condition) {
    case LinkCondition.Reached:
      return `${observer} had an answer from ${subject} ${ago(answeredAgoMs)}`;
    case LinkCondition.ReachedThroughOthers:
      return `${observer} -> ${subject} is cut ${since(forMs)}: answers come through other controllers only (${seen})`;
    case LinkCondition.HeardOnly:
      return `${observer} -> ${subject} is cut: ${subject} is heard, and has not answered ${since(forMs)} (${seen})`;
    case LinkCondition.Silent:
      return `${observer} has neither heard ${subject} nor had an answer ${since(forMs)} (${seen})`;
  }
}
