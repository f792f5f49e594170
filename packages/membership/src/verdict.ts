/**
 * What the observations of all members come to, for one member. A pure function of the rows: members that hold the
 * same rows come to the same verdict.
 */
import { type Evidence, evidenceOf, LinkCondition } from './evidence.js';
import { compareIdentity, type Identity, IdentityOrder, type MemberId, sameIdentity } from './identity.js';
import type { ObservationRow } from './messages.js';
import { type AgedRow, identityIn } from './observation-table.js';

/** The states that a member can be in, as seen from here. */
export enum MemberState {
  /** Nothing tells of it yet, or its program knows no membership messages. */
  Unknown = 'unknown',
  Alive = 'alive',
  /** It did not answer, and may still show that it lives. */
  Suspect = 'suspect',
  /** A majority of the configured controllers has found it silent. */
  Failed = 'failed',
  /** It said that it leaves. */
  Left = 'left',
}

/** What is needed to judge. */
export interface VerdictRules {
  readonly majority: number;
  readonly suspicionMs: number;
  /** A contact that is no older counts as present. */
  readonly contactWindowMs: number;
}

/** The state that the rows amount to, and why. */
export interface Verdict {
  readonly state: MemberState;
  /** The latest identity that any row names. */
  readonly identity: Identity | null;
  readonly evidence: readonly Evidence[];
  /** Observers whose finding counts towards a failure. */
  readonly accusers: readonly MemberId[];
}

function latestIdentity(subject: MemberId, rows: readonly AgedRow[]): Identity | null {
  let latest: Identity | null = null;
  for (const { row } of rows) {
    const identity = identityIn(row, subject);
    if (identity !== null && compareIdentity(latest, identity) !== IdentityOrder.Stale) latest = identity;
  }
  return latest;
}

/** Findings about exactly this identity: what was seen of an earlier one tells nothing. */
function evidenceAbout(identity: Identity, rows: readonly AgedRow[], rules: VerdictRules): Evidence[] {
  const found: Evidence[] = [];
  for (const { row, ageMs } of rows) {
    const observation = row.peers.find((peer) => peer.identity.member === identity.member);
    if (!observation || !sameIdentity(observation.identity, identity)) continue;
    found.push(evidenceOf(row, observation, rules.contactWindowMs, ageMs));
  }
  return found;
}

/** Silent in both directions, and suspected for long enough. A member that is still heard is not failed. */
function accuses(evidence: Evidence, rules: VerdictRules): boolean {
  const { condition, suspectedForMs, forMs, observerScore } = evidence;
  const neededMs = rules.suspicionMs * (1 + observerScore);
  if (condition !== LinkCondition.Silent || suspectedForMs === null) return false;
  return suspectedForMs >= neededMs && forMs >= neededMs;
}

/** An observer suspects the member, and nobody has had an answer from it since that began. */
function suspectedSinceLastAnswer(evidence: readonly Evidence[]): boolean {
  const answeredAgoMs = Math.min(...evidence.map((finding) => finding.answeredAgoMs));
  return evidence.some(
    ({ suspectedForMs, ageMs }) => suspectedForMs !== null && suspectedForMs + ageMs <= answeredAgoMs,
  );
}

function ownRow(subject: MemberId, rows: readonly AgedRow[]): ObservationRow | null {
  return rows.find(({ row }) => row.observer.member === subject)?.row ?? null;
}

function stateFrom(
  subject: MemberId,
  identity: Identity,
  rows: readonly AgedRow[],
  evidence: readonly Evidence[],
  accusers: readonly MemberId[],
  rules: VerdictRules,
): MemberState {
  const own = ownRow(subject, rows);
  if (own?.leaving && own.observer.process === identity.process) return MemberState.Left;
  if (accusers.length >= rules.majority) return MemberState.Failed;
  if (evidence.length === 0) return own ? MemberState.Alive : MemberState.Unknown;
  return suspectedSinceLastAnswer(evidence) ? MemberState.Suspect : MemberState.Alive;
}

/** `rows`: those that are fresh enough to count, the judging member's own among them. */
export function judge(subject: MemberId, rows: readonly AgedRow[], rules: VerdictRules): Verdict {
  const identity = latestIdentity(subject, rows);
  if (identity === null) return { state: MemberState.Unknown, identity, evidence: [], accusers: [] };
  const evidence = evidenceAbout(identity, rows, rules);
  const accusers = evidence.filter((finding) => accuses(finding, rules)).map(({ observer }) => observer);
  const state = stateFrom(subject, identity, rows, evidence, accusers, rules);
  return { state, identity, evidence, accusers };
}
