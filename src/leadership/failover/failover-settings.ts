/**
 * Builds and checks the failure detector's settings from the feature file and the controllers in the platform's
 * settings file.
 */
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

type ControllerSettings = Pick<Settings, 'member' | 'peers'>;

/** Returns the settings of the membership protocol; every controller in the platform's settings is a member. */
export function membershipSettings(
  { member, peers }: ControllerSettings,
  feature: FailoverFeature,
): MembershipSettings {
  const members: readonly string[] = [member, ...peers.map((peer) => peer.member)];
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

/**
 * Checks the platform's settings together with the failure detection feature.
 * Throws `InvalidSettingsError` if the membership protocol can't run with both.
 */
export function checkFailover(settings: ControllerSettings, feature: FailoverFeature): void {
  try {
    checkSettings(membershipSettings(settings, feature));
  } catch (error) {
    if (!(error instanceof MembershipSettingsError)) throw error;
    throw new InvalidSettingsError(`${FAILOVER_FILE}: ${error.message}`);
  }
}
