/** Evidence about a member's liveness: which observer found which condition of its link with the member, and when. */
import type { MemberId } from './identity.js';
import type { ObservationRow, PeerObservation } from './messages.js';

/** The condition of an observer's link with a member. */
export enum LinkCondition {
  /** The member answers the observer's direct probes. */
  Reached = 'reached',
  /** Only indirect probes through another member are answered: the link between observer and member is cut. */
  ReachedIndirectly = 'reached-through-others',
  /** The member's messages arrive, but the member answers no direct probe: the path to the member is cut. */
  HeardOnly = 'heard-only',
  /** No message of the member arrives, and no probe is answered. */
  Silent = 'silent',
}

/** One observer's finding about one member. */
export interface Evidence {
  readonly observer: MemberId;
  readonly subject: MemberId;
  readonly condition: LinkCondition;
  /**
   * How long the link has been in this condition: 0 if the member is reached, the time since the latest contact of any
   * kind if it is silent, otherwise the time since the last direct answer. Infinity: there was no such contact.
   */
  readonly durationMs: number;
  /** How long the observer has suspected the member; null: the observer does not suspect the member. */
  readonly suspectedForMs: number | null;
  /** Time since the member last answered the observer, directly or indirectly; Infinity: never. */
  readonly answeredAgoMs: number;
  /** Upper bound on the age of this finding. */
  readonly ageMs: number;
  /**
   * The observer's local health score; above 0 the observer itself is slow, and its suspicions need more time to count.
   */
  readonly observerHealthScore: number;
}

const orInfinity = (ms: number | null): number => ms ?? Infinity;

/** Classifies the link that an observation describes. `windowMs`: the age up to which a contact counts as current. */
function conditionOf(observation: PeerObservation, windowMs: number): LinkCondition {
  const { reachedAgoMs, vouchedAgoMs, heardAgoMs } = observation;
  if (orInfinity(reachedAgoMs) <= windowMs) return LinkCondition.Reached;
  if (orInfinity(heardAgoMs) <= windowMs) return LinkCondition.HeardOnly;
  if (orInfinity(vouchedAgoMs) <= windowMs) return LinkCondition.ReachedIndirectly;
  return LinkCondition.Silent;
}

function durationOf(observation: PeerObservation, condition: LinkCondition): number {
  const { reachedAgoMs, vouchedAgoMs, heardAgoMs } = observation;
  switch (condition) {
    case LinkCondition.Reached:
      return 0;
    case LinkCondition.ReachedIndirectly:
    case LinkCondition.HeardOnly:
      return orInfinity(reachedAgoMs);
    case LinkCondition.Silent:
      return Math.min(orInfinity(reachedAgoMs), orInfinity(vouchedAgoMs), orInfinity(heardAgoMs));
  }
}

/** Derives evidence about a member from an observation in a row. */
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
    durationMs: durationOf(observation, condition),
    suspectedForMs: observation.suspectedForMs,
    answeredAgoMs:
      ageMs + Math.min(orInfinity(observation.reachedAgoMs), orInfinity(observation.vouchedAgoMs)),
    ageMs,
    observerHealthScore: localHealth,
  };
}

const formatAgo = (ms: number): string => `${(ms / 1000).toFixed(1)} s ago`;
const formatDuration = (ms: number): string =>
  Number.isFinite(ms) ? `for ${(ms / 1000).toFixed(1)} s` : 'since its start';

/** Formats a finding as a sentence for logs and operators. */
export function describeEvidence(evidence: Evidence): string {
  const { observer, subject, condition, durationMs, ageMs, answeredAgoMs } = evidence;
  const observedAgo = `seen ${formatAgo(ageMs)}`;
  switch (condition) {
    case LinkCondition.Reached:
      return `${observer} had an answer from ${subject} ${formatAgo(answeredAgoMs)}`;
    case LinkCondition.ReachedIndirectly:
      return `${observer} -> ${subject} is cut ${formatDuration(durationMs)}: answers come through other controllers only (${observedAgo})`;
    case LinkCondition.HeardOnly:
      return `${observer} -> ${subject} is cut: ${subject} is heard, and has not answered ${formatDuration(durationMs)} (${observedAgo})`;
    case LinkCondition.Silent:
      return `${observer} has neither heard ${subject} nor had an answer ${formatDuration(durationMs)} (${observedAgo})`;
  }
}
