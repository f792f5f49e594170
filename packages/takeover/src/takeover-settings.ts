/** The periods of a takeover, and the checks that they must pass. */

/** All in milliseconds but for the last. */
export interface TakeoverSettings {
  /** How often a member looks at its units beside the events of the membership, while something is amiss. */
  readonly lookEveryMs: number;
  /** The same while every unit is served and no owner is suspected. */
  readonly calmLookEveryMs: number;
  /** A record that was read longer ago is read again. */
  readonly readEveryMs: number;
  /** The second choice waits so much longer than the first before it claims, the third twice as long. */
  readonly staggerMs: number;
  /** An owner without a majority shows through the store that it lives, so often. */
  readonly signEveryMs: number;
  /** An owner that has shown life through the store within this time is not replaced, whatever the verdict. */
  readonly signValidMs: number;
  /** An owner of which nothing was ever heard is gone after this. */
  readonly unknownOwnerMs: number;
  /** Whether a failed verdict leads to a claim. If not, a member only prepares. */
  readonly claimOnFailure: boolean;
}

export const DEFAULT_TAKEOVER: TakeoverSettings = {
  lookEveryMs: 200,
  calmLookEveryMs: 1000,
  readEveryMs: 3000,
  staggerMs: 300,
  signEveryMs: 400,
  signValidMs: 1200,
  unknownOwnerMs: 5000,
  claimOnFailure: true,
};

/** Watched for so many of its periods, an owner has had time to show its life. */
const OBSERVED_SIGNS = 2;

/** A setting that cannot be used. The message names the field. */
export class TakeoverSettingsError extends Error {
  constructor(
    readonly field: string,
    problem: string,
  ) {
    super(`${field}: ${problem}`);
    this.name = 'TakeoverSettingsError';
  }
}

/** Throws `TakeoverSettingsError` for the first field that cannot be used. */
export function checkTakeover(settings: TakeoverSettings): void {
  for (const [field, value] of Object.entries(settings)) {
    if (typeof value === 'boolean') continue;
    if (!Number.isFinite(value) || value <= 0) throw new TakeoverSettingsError(field, 'not above 0');
  }
  if (settings.signValidMs < OBSERVED_SIGNS * settings.signEveryMs) {
    throw new TakeoverSettingsError('signValidMs', `below ${OBSERVED_SIGNS} times signEveryMs`);
  }
}

/** How long a suspected owner is watched at least before it is replaced. */
export function observeMs({ signEveryMs }: TakeoverSettings): number {
  return OBSERVED_SIGNS * signEveryMs;
}
