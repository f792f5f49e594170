/**
 * Derives the verdict on a member from the observations of all members. The verdict is a pure function of the rows, so
 * members that hold the same rows reach the same verdict.
 */
import { type Evidence, evidenceOf, LinkCondition } from './evidence.js';
import { compareIdentity, type Identity, IdentityOrder, type MemberId, isSameIdentity } from './identity.js';
import type { ObservationRow } from './messages.js';
import { type AgedRow, identityInRow } from './observation-table.js';

/** The states of a member. The values are part of the log format and of the API for operators. */
export enum MemberState {
  /** Nothing is known of the member yet, or its version does not support membership messages. */
  Unknown = 'unknown',
  Alive = 'alive',
  /** The member did not answer probes, and may still refute the suspicion. */
  Suspect = 'suspect',
  /** A majority of the configured controllers has found the member silent for at least the suspicion time. */
  Failed = 'failed',
  /** The member announced that it leaves. */
  Left = 'left',
}

/** The thresholds for verdicts. */
export interface VerdictRules {
  readonly majority: number;
  readonly suspicionMs: number;
  /** The age up to which a contact counts as current; multiplied by the observer's local health score plus 1. */
  readonly contactWindowMs: number;
}

/** The state of a member, and the evidence for it. */
export interface Verdict {
  readonly state: MemberState;
  /** The member's latest identity in any row; null: no row mentions the member. */
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
}

function latestIdentity(subject: MemberId, rows: readonly AgedRow[]): Identity | null {
  let latest: Identity | null = null;
  for (const { row } of rows) {
    const identity = identityInRow(row, subject);
    if (identity !== null && compareIdentity(latest, identity) !== IdentityOrder.Stale) latest = identity;
  }
  return latest;
}

/** Returns the evidence about exactly this identity; observations of an earlier identity are ignored. */
function evidenceAbout(identity: Identity, rows: readonly AgedRow[], rules: VerdictRules): Evidence[] {
  const findings: Evidence[] = [];
  for (const { row, ageMs } of rows) {
    const observation = row.peers.find((peer) => peer.identity.member === identity.member);
    if (!observation || !isSameIdentity(observation.identity, identity)) continue;
    findings.push(evidenceOf(row, observation, rules.contactWindowMs, ageMs));
  }
  return findings;
}

/**
 * Whether a finding counts as a vote for failure: the member has been silent in both directions, and suspected, for at
 * least the suspicion time, which is extended by the observer's local health score.
 */
function supportsFailure(evidence: Evidence, rules: VerdictRules): boolean {
  const { condition, suspectedForMs, durationMs, observerHealthScore } = evidence;
  const neededMs = rules.suspicionMs * (1 + observerHealthScore);
  if (condition !== LinkCondition.Silent || suspectedForMs === null) return false;
  return suspectedForMs >= neededMs && durationMs >= neededMs;
}

/** Whether an observer suspects the member, and no observer received an answer since the suspicion began. */
function isSuspectedSinceLastAnswer(evidence: readonly Evidence[]): boolean {
  const answeredAgoMs = Math.min(...evidence.map((finding) => finding.answeredAgoMs));
  return evidence.some(
    ({ suspectedForMs, ageMs }) => suspectedForMs !== null && suspectedForMs + ageMs <= answeredAgoMs,
  );
}

function ownRow(subject: MemberId, rows: readonly AgedRow[]): ObservationRow | null {
  return rows.find(({ row }) => row.observer.member === subject)?.row ?? null;
}

/** Derives a member's state. `own`: the member's own row; null if there is none. */
function stateFrom(
  identity: Identity,
  own: ObservationRow | null,
  evidence: readonly Evidence[],
  hasFailureMajority: boolean,
): MemberState {
  if (own?.leaving && own.observer.process === identity.process) return MemberState.Left;
  if (hasFailureMajority) return MemberState.Failed;
  if (evidence.length === 0) return own ? MemberState.Alive : MemberState.Unknown;
  return isSuspectedSinceLastAnswer(evidence) ? MemberState.Suspect : MemberState.Alive;
}

/** Evaluates a member. `rows`: the rows that are recent enough to count, including the evaluating member's own row. */
export function evaluateMember(subject: MemberId, rows: readonly AgedRow[], rules: VerdictRules): Verdict {
  const identity = latestIdentity(subject, rows);
  if (identity === null) return { state: MemberState.Unknown, identity, evidence: [] };
  const evidence = evidenceAbout(identity, rows, rules);
  const failureVotes = evidence.filter((finding) => supportsFailure(finding, rules)).length;
  const state = stateFrom(identity, ownRow(subject, rows), evidence, failureVotes >= rules.majority);
  return { state, identity, evidence };
}
