/** The failure detector's settings: its feature file, and the controllers of the platform's file. */
import {
  checkSettings,
  DEFAULT_TUNING,
  majorityOf,
  type MemberId,
  type MembershipSettings,
  MembershipSettingsError,
} from '@plumyoke/membership';
import { FAILOVER_FILE, type FailoverFeature } from '../../config/features.js';
import { InvalidSettingsError } from '../../config/operators.js';
import type { Settings } from '../../wire/settings.js';

type Controllers = Pick<Settings, 'member' | 'peers'>;

/** Every controller of the platform's settings is a member. */
export function membershipSettings(
  { member, peers }: Controllers,
  feature: FailoverFeature,
): MembershipSettings {
  const members: readonly string[] = [member, ...peers.map((sibling) => sibling.member)];
  return {
    ...DEFAULT_TUNING,
    self: member as string as MemberId,
    members: members as readonly MemberId[],
    majority: majorityOf(members.length),
    probeIntervalMs: feature.probeInterval,
    probeTimeoutMs: feature.probeTimeout,
    suspicionMs: feature.suspicionTimeout,
    pauseThresholdMs: feature.pauseThreshold,
    maxMessagesPerSecond: feature.maxMessagesPerSecond,
  };
}

/** Throws `BadSettings` where the two files cannot be used together. */
export function checkFailover(settings: Controllers, feature: FailoverFeature): void {
  try {
    checkSettings(membershipSettings(settings, feature));
  } catch (error) {
    if (!(error instanceof MembershipSettingsError)) throw error;
    throw new InvalidSettingsError(`${FAILOVER_FILE}: ${error.message}`);
  }
}
