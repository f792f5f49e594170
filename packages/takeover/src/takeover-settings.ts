/** The settings of takeovers, and their validation. */

/** The settings of a takeover coordinator. Durations are in milliseconds. */
export interface TakeoverSettings {
  /**
   * The poll interval while any unit is unserved or its owner suspected, or this member has no contact to a majority.
   * Membership events trigger additional polls.
   */
  readonly pollIntervalMs: number;
  /** The poll interval while this member has contact to a majority, every unit is served and no owner is suspected. */
  readonly idlePollIntervalMs: number;
  /**
   * The maximum age of a reading of a unit's records, or of an attempt to confirm an ownership, before the next request.
   */
  readonly maxReadingAgeMs: number;
  /** The additional delay of a claim for each better-ranked successor: 0 for the first, one stagger for the second. */
  readonly claimStaggerMs: number;
  /** The interval at which an owner without contact to a majority writes heartbeats to the store. */
  readonly heartbeatIntervalMs: number;
  /**
   * The age of an owner's last heartbeat in the store below which the owner is not replaced even if found failed. An
   * owner that is gone is replaced regardless of its heartbeats.
   */
  readonly heartbeatTimeoutMs: number;
  /** The time for which an owner's state must be unknown before the owner is considered gone. */
  readonly unknownOwnerTimeoutMs: number;
  /**
   * Whether a member claims a unit whose owner has failed or is gone, or that has no owner. If false, the first
   * successor only prefetches.
   */
  readonly claimOnFailure: boolean;
}

/** The default settings of a takeover coordinator. */
export const DEFAULT_TAKEOVER_SETTINGS: TakeoverSettings = {
  pollIntervalMs: 200,
  idlePollIntervalMs: 1000,
  maxReadingAgeMs: 3000,
  claimStaggerMs: 300,
  heartbeatIntervalMs: 400,
  heartbeatTimeoutMs: 1200,
  unknownOwnerTimeoutMs: 5000,
  claimOnFailure: true,
};

/**
 * The number of heartbeat intervals for which an owner is observed before missing heartbeats count against the owner.
 */
const MIN_OBSERVATION_INTERVAL_COUNT = 2;

/** Reports an invalid takeover setting. The message names the field. */
export class TakeoverSettingsError extends Error {
  readonly code = 'INVALID_SETTING';

  constructor(
    readonly field: string,
    problem: string,
  ) {
    super(`${field}: ${problem}`);
    this.name = 'TakeoverSettingsError';
  }
}

/** Validates takeover settings. Throws `TakeoverSettingsError` for the first invalid field. */
export function checkTakeoverSettings(settings: TakeoverSettings): void {
  for (const [field, value] of Object.entries(settings)) {
    if (typeof value === 'boolean') continue;
    if (!Number.isFinite(value) || value <= 0)
      throw new TakeoverSettingsError(field, 'must be a finite number above 0');
  }
  if (settings.heartbeatTimeoutMs < MIN_OBSERVATION_INTERVAL_COUNT * settings.heartbeatIntervalMs) {
    throw new TakeoverSettingsError(
      'heartbeatTimeoutMs',
      `must be at least ${MIN_OBSERVATION_INTERVAL_COUNT} times heartbeatIntervalMs`,
    );
  }
}

/**
 * Returns the minimum time in milliseconds for which a failed owner is observed before it is replaced. An owner that is
 * gone is replaced without this wait.
 */
export function minObservationMs({ heartbeatIntervalMs }: TakeoverSettings): number {
  return MIN_OBSERVATION_INTERVAL_COUNT * heartbeatIntervalMs;
}
