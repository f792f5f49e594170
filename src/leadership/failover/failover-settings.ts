/** Builds and checks the failure detector's settings, from its feature file and the controllers of the platform's file. */
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

/** Settings of the membership protocol; every controller of the platform's settings is a member. */
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

/** Throws `InvalidSettingsError` where the two files cannot be used together. */
export function checkFailover(settings: ControllerSettings, feature: FailoverFeature): void {
  try {
    checkSettings(membershipSettings(settings, feature));
  } catch (error) {
    if (!(error instanceof MembershipSettingsError)) throw error;
    throw new InvalidSettingsError(`${FAILOVER_FILE}: ${error.message}`);
  }
}
