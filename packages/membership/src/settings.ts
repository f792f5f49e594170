/** The settings of the failure detector, and their validation. */
import type { MemberId } from './identity.js';

/** The settings of a member. Periods are in milliseconds. */
export interface MembershipSettings {
  readonly self: MemberId;
  /** All configured controllers, this one included. */
  readonly members: readonly MemberId[];
  /**
   * The number of observers, out of all configured controllers, that must find a member silent to declare it failed.
   */
  readonly majority: number;
  /** The mean time between the starts of two probe rounds, each of which starts up to 10 % early or late. */
  readonly probeIntervalMs: number;
  /** The time within which a probe must be answered. */
  readonly probeTimeoutMs: number;
  /** The time for which a suspicion must remain unrefuted before it counts towards a verdict. */
  readonly suspicionMs: number;
  /** The number of peers that are asked to probe a member that did not answer a direct probe. */
  readonly indirectProbes: number;
  /** The maximum local health score: a slow observer multiplies its timeouts by at most this score plus 1. */
  readonly maxLocalHealth: number;
  /** A timer that fires late by more than this time indicates a pause of this process. */
  readonly pauseThresholdMs: number;
  /**
   * The maximum number of direct and indirect probes sent per second on average, and in one burst. The same limit
   * applies separately to answers.
   */
  readonly maxMessagesPerSecond: number;
}

/** The settings that do not depend on the set of members: periods and limits. */
export type MembershipTuning = Omit<MembershipSettings, 'self' | 'members' | 'majority'>;

/** The default periods and limits. */
export const DEFAULT_TUNING: MembershipTuning = {
  probeIntervalMs: 500,
  probeTimeoutMs: 300,
  suspicionMs: 1000,
  indirectProbes: 2,
  maxLocalHealth: 4,
  pauseThresholdMs: 400,
  maxMessagesPerSecond: 100,
};

/** Thrown for an invalid setting. The message starts with the name of the field. */
export class MembershipSettingsError extends Error {
  readonly code = 'INVALID_SETTING';

  constructor(
    readonly field: string,
    problem: string,
  ) {
    super(`${field}: ${problem}`);
    this.name = 'MembershipSettingsError';
  }
}

const MAX_MEMBER_COUNT = 64;
const MAX_PERIOD_MS = 600_000;
const MIN_PERIOD_MS = 10;
const MAX_INDIRECT_PROBE_COUNT = 8;
const MAX_LOCAL_HEALTH_SCORE = 16;
const MAX_MESSAGES_PER_SECOND = 10_000;

/** Returns the size of the smallest majority of the given number of controllers. */
export function majorityOf(members: number): number {
  return Math.floor(members / 2) + 1;
}

function requireWithin(field: string, value: number, min: number, max: number): void {
  if (!Number.isFinite(value)) throw new MembershipSettingsError(field, 'must be a finite number');
  if (value < min) throw new MembershipSettingsError(field, `must be at least ${min}`);
  if (value > max) throw new MembershipSettingsError(field, `must be at most ${max}`);
}

function checkMembers({ self, members }: MembershipSettings): void {
  if (members.length > MAX_MEMBER_COUNT) {
    throw new MembershipSettingsError('members', `must contain at most ${MAX_MEMBER_COUNT} controllers`);
  }
  const names = new Set<MemberId>();
  for (const member of members) {
    if (member === '') throw new MembershipSettingsError('members', 'must not contain an empty name');
    if (names.has(member)) throw new MembershipSettingsError('members', `${member} is named twice`);
    names.add(member);
  }
  if (!names.has(self)) throw new MembershipSettingsError('members', `must contain this controller, ${self}`);
}

function checkMajority({ members, majority }: MembershipSettings): void {
  const minMajority = majorityOf(members.length);
  if (!Number.isInteger(majority)) throw new MembershipSettingsError('majority', 'must be an integer');
  if (majority < minMajority) {
    throw new MembershipSettingsError(
      'majority',
      `${majority} of ${members.length} controllers is not a majority; must be at least ${minMajority}`,
    );
  }
  if (majority > members.length) {
    throw new MembershipSettingsError(
      'majority',
      `must be at most the number of controllers (${members.length})`,
    );
  }
}

/** Validates settings. Throws `MembershipSettingsError` for the first invalid field. */
export function checkSettings(settings: MembershipSettings): void {
  checkMembers(settings);
  checkMajority(settings);
  requireWithin('probeIntervalMs', settings.probeIntervalMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
  requireWithin('probeTimeoutMs', settings.probeTimeoutMs, MIN_PERIOD_MS, settings.probeIntervalMs);
  requireWithin('suspicionMs', settings.suspicionMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
  requireWithin('indirectProbes', settings.indirectProbes, 0, MAX_INDIRECT_PROBE_COUNT);
  requireWithin('maxLocalHealth', settings.maxLocalHealth, 0, MAX_LOCAL_HEALTH_SCORE);
  requireWithin('pauseThresholdMs', settings.pauseThresholdMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
  const peers = settings.members.length - 1;
  const minRate = Math.max(1, Math.ceil((peers * 1000) / settings.probeIntervalMs));
  requireWithin('maxMessagesPerSecond', settings.maxMessagesPerSecond, minRate, MAX_MESSAGES_PER_SECOND);
}
