/** Settings of failure detection, and the checks that they must pass. */
import type { MemberId } from './identity.js';

/** How the members watch each other. Periods are in milliseconds. */
export interface MembershipSettings {
  readonly self: MemberId;
  /** All configured controllers, this one included. */
  readonly members: readonly MemberId[];
  /** So many observers, out of all configured controllers, must find a member silent before it is failed. */
  readonly majority: number;
  /** From the beginning of one round of probes to the next. */
  readonly probeIntervalMs: number;
  /** How long a probe waits for its answer. */
  readonly probeTimeoutMs: number;
  /** How long a suspicion must have stood unrefuted before it counts towards a verdict. */
  readonly suspicionMs: number;
  /** Peers that are asked to probe a member that did not answer. */
  readonly indirectProbes: number;
  /** The most by which a slow observer stretches its own periods, above 1. */
  readonly maxLocalHealth: number;
  /** A timer that fires later than this tells of a pause of our own process. */
  readonly pauseThresholdMs: number;
  /** Probes that leave in a second at most; as many answers leave besides. */
  readonly maxMessagesPerSecond: number;
}

/** The periods and bounds, without the names. */
export type MembershipTuning = Omit<MembershipSettings, 'self' | 'members' | 'majority'>;

export const DEFAULT_TUNING: MembershipTuning = {
  probeIntervalMs: 500,
  probeTimeoutMs: 300,
  suspicionMs: 1000,
  indirectProbes: 2,
  maxLocalHealth: 4,
  pauseThresholdMs: 400,
  maxMessagesPerSecond: 100,
};

/** A setting that cannot be used. The message names the field. */
export class MembershipSettingsError extends Error {
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

/** More than half of the configured controllers. */
export function majorityOf(members: number): number {
  return Math.floor(members / 2) + 1;
}

function requireWithin(field: string, value: number, least: number, most: number): void {
  if (!Number.isFinite(value)) throw new MembershipSettingsError(field, 'not a number');
  if (value < least) throw new MembershipSettingsError(field, `below ${least}`);
  if (value > most) throw new MembershipSettingsError(field, `above ${most}`);
}

function checkMembers({ self, members }: MembershipSettings): void {
  if (members.length > MAX_MEMBERS) {
    throw new MembershipSettingsError('members', `more than ${MAX_MEMBERS} controllers`);
  }
  const seen = new Set<MemberId>();
  for (const member of members) {
    if (member === '') throw new MembershipSettingsError('members', 'an empty name');
    if (seen.has(member)) throw new MembershipSettingsError('members', `${member} is named twice`);
    seen.add(member);
  }
  if (!seen.has(self)) throw new MembershipSettingsError('members', `${self} (this controller) is not named`);
}

function checkMajority({ members, majority }: MembershipSettings): void {
  const least = majorityOf(members.length);
  if (!Number.isInteger(majority)) throw new MembershipSettingsError('majority', 'not a whole number');
  if (majority < least) {
    throw new MembershipSettingsError(
      'majority',
      `${majority} of ${members.length} controllers is no majority; at least ${least} are needed`,
    );
  }
  if (majority > members.length) {
    throw new MembershipSettingsError('majority', `above the ${members.length} controllers that there are`);
  }
}

/** Throws `MembershipSettingsError` for the first field that cannot be used. */
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
  const leastRate = Math.max(1, Math.ceil((peers * 1000) / settings.probeIntervalMs));
  requireWithin('maxMessagesPerSecond', settings.maxMessagesPerSecond, leastRate, MAX_RATE);
}
