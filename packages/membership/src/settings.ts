/** Settings of the failure detector, and their validation. */
import type { MemberId } from './identity.js';

/** Settings of one member. Periods are in milliseconds. */
export interface MembershipSettings {
  readonly self: MemberId;
  /** All configured controllers, this one included. */
  readonly members: readonly MemberId[];
  /** The number of observers, out of all configured controllers, that must find a member silent before it is failed. */
  readonly majority: number;
  /** Time between the beginnings of two rounds of probes. */
  readonly probeIntervalMs: number;
  /** How long a probe waits for its answer. */
  readonly probeTimeoutMs: number;
  /** How long a suspicion must have stood unrefuted before it counts towards a verdict. */
  readonly suspicionMs: number;
  /** The number of peers that are asked to probe a member that did not answer. */
  readonly indirectProbes: number;
  /** The maximum of the local health score: a slow observer multiplies its timeouts by up to one more than this. */
  readonly maxLocalHealth: number;
  /** A timer that fires later than this indicates a pause of this process. */
  readonly pauseThresholdMs: number;
  /** The maximum of probes sent per second; the same limit applies separately to answers. */
  readonly maxMessagesPerSecond: number;
}

/** The periods and limits, without the names of the members. */
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

/** Thrown for an invalid setting. The message names the field. */
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

const MAX_MEMBERS = 64;
const MAX_PERIOD_MS = 600_000;
const MIN_PERIOD_MS = 10;
const MAX_INDIRECT_PROBES = 8;
const MAX_LOCAL_HEALTH = 16;
const MAX_RATE = 10_000;

/** Returns the smallest number that is more than half of the configured controllers. */
export function majorityOf(members: number): number {
  return Math.floor(members / 2) + 1;
}

function requireWithin(field: string, value: number, min: number, max: number): void {
  if (!Number.isFinite(value)) throw new MembershipSettingsError(field, 'not a number');
  if (value < min) throw new MembershipSettingsError(field, `below ${min}`);
  if (value > max) throw new MembershipSettingsError(field, `above ${max}`);
}

function checkMembers({ self, members }: MembershipSettings): void {
  if (members.length > MAX_MEMBERS) {
    throw new MembershipSettingsError('members', `more than ${MAX_MEMBERS} controllers`);
  }
  const names = new Set<MemberId>();
  for (const member of members) {
    if (member === '') throw new MembershipSettingsError('members', 'an empty name');
    if (names.has(member)) throw new MembershipSettingsError('members', `${member} is named twice`);
    names.add(member);
  }
  if (!names.has(self))
    throw new MembershipSettingsError('members', `${self} (this controller) is not named`);
}

function checkMajority({ members, majority }: MembershipSettings): void {
  const minMajority = majorityOf(members.length);
  if (!Number.isInteger(majority)) throw new MembershipSettingsError('majority', 'not a whole number');
  if (majority < minMajority) {
    throw new MembershipSettingsError(
      'majority',
      `${majority} of ${members.length} controllers is no majority; at least ${minMajority} are needed`,
    );
  }
  if (majority > members.length) {
    throw new MembershipSettingsError('majority', `above the ${members.length} controllers that there are`);
  }
}

/** Validates settings. Throws `MembershipSettingsError` for the first invalid field. */
export function checkSettings(settings: MembershipSettings): void {
  checkMembers(settings);
  checkMajority(settings);
  requireWithin('probeIntervalMs', settings.probeIntervalMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
  requireWithin('probeTimeoutMs', settings.probeTimeoutMs, MIN_PERIOD_MS, settings.probeIntervalMs);
  requireWithin('suspicionMs', settings.suspicionMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
  requireWithin('indirectProbes', settings.indirectProbes, 0, MAX_INDIRECT_PROBES);
  requireWithin('maxLocalHealth', settings.maxLocalHealth, 0, MAX_LOCAL_HEALTH);
  requireWithin('pauseThresholdMs', settings.pauseThresholdMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
  const peers = settings.members.length - 1;
  const minRate = Math.max(1, Math.ceil((peers * 1000) / settings.probeIntervalMs));
  requireWithin('maxMessagesPerSecond', settings.maxMessagesPerSecond, minRate, MAX_RATE);
}
