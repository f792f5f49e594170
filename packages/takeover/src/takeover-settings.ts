/** Settings of a takeover, and their validation. */

/** Settings of one coordinator. Periods are in milliseconds. */
export interface TakeoverSettings {
  /** How often units are polled, apart from events of the membership, while any unit is not served normally. */
  readonly pollIntervalMs: number;
  /** How often units are polled while every unit is served and no owner is suspected. */
  readonly idlePollIntervalMs: number;
  /** A reading older than this is renewed. */
  readonly maxReadingAgeMs: number;
  /** The second-ranked successor waits this long before it claims, the third twice as long. */
  readonly claimStaggerMs: number;
  /** How often an owner without contact to a majority writes a heartbeat to the store. */
  readonly heartbeatIntervalMs: number;
  /** An owner whose last heartbeat in the store is more recent is not replaced, whatever the verdict. */
  readonly heartbeatTimeoutMs: number;
  /** An owner that was never seen is considered gone after this. */
  readonly unknownOwnerTimeoutMs: number;
  /** Whether a failed verdict leads to a claim. If not, a successor only prepares. */
  readonly claimOnFailure: boolean;
}

/** The default settings. */
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

/** An owner is watched for this many heartbeat intervals before it is considered silent. */
const MIN_OBSERVED_HEARTBEATS = 2;

/** Thrown for an invalid setting. The message names the field. */
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

/** Validates settings. Throws `TakeoverSettingsError` for the first invalid field. */
export function checkTakeoverSettings(settings: TakeoverSettings): void {
  for (const [field, value] of Object.entries(settings)) {
    if (typeof value === 'boolean') continue;
    if (!Number.isFinite(value) || value <= 0) throw new TakeoverSettingsError(field, 'not above 0');
  }
  if (settings.heartbeatTimeoutMs < MIN_OBSERVED_HEARTBEATS * settings.heartbeatIntervalMs) {
    throw new TakeoverSettingsError(
      'heartbeatTimeoutMs',
      `below ${MIN_OBSERVED_HEARTBEATS} times heartbeatIntervalMs`,
    );
  }
}

/** Returns the minimum time for which a suspected owner is watched before it is replaced. */
export function minObservationMs({ heartbeatIntervalMs }: TakeoverSettings): number {
  return MIN_OBSERVED_HEARTBEATS * heartbeatIntervalMs;
}
