/**
 * Optional features, each of which has its own settings file in the feature folder (`--features`). A feature is off if
 * its file is missing or contains `enabled = false`.
 */
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import * as z from 'zod/mini';
import { type Millis, seconds } from '../model/time.js';
import { formatFirstIssue } from '../wire/common.js';
import { readToml } from './operators.js';

const positive = z.number().check(z.positive());

/** The schema of the failure detection file. Field names and defaults are part of the file format. */
const failoverFile = z.strictObject({
  enabled: z.boolean(),
  early_takeover: z._default(z.boolean(), false),
  probe_interval_s: z._default(positive, 0.5),
  probe_timeout_s: z._default(positive, 0.3),
  suspicion_s: z._default(positive, 1),
  pause_s: z._default(positive, 0.4),
  max_messages_per_s: z._default(positive, 100),
});

type FailoverFile = z.infer<typeof failoverFile>;

/** Failure detection between controllers (docs/operations/membership.md). */
export interface FailoverFeature {
  /** Whether a leader that a majority of controllers considers failed is replaced before its lease expires. */
  readonly earlyTakeover: boolean;
  readonly probeInterval: Millis;
  readonly probeTimeout: Millis;
  readonly suspicionTimeout: Millis;
  /** The time without execution after which a process counts as paused. */
  readonly pauseThreshold: Millis;
  readonly maxMessagesPerSecond: number;
}

/** The settings of each feature; null: the feature is off. */
export interface Features {
  readonly failover: FailoverFeature | null;
}

const NO_FEATURES: Features = { failover: null };

/** The upper bounds of the periods: longer periods would detect a failure too late to be of use. */
const MAX_PERIODS_S = { probe_interval_s: 60, suspicion_s: 600, pause_s: 60 } as const;
const MIN_MESSAGES_PER_SECOND = 2;
/** The file name of the failure detection settings. */
export const FAILOVER_FILE = 'membership.toml';

/** Checks the bounds of the fields. Throws an error with a one-line message that names the field. */
function checkFailoverFile(file: FailoverFile): void {
  if (file.probe_timeout_s > file.probe_interval_s)
    throw new Error('probe_timeout_s: above probe_interval_s, its maximum');
  for (const [field, max] of Object.entries(MAX_PERIODS_S)) {
    if (file[field as keyof typeof MAX_PERIODS_S] > max)
      throw new Error(`${field}: above ${max}, the maximum`);
  }
  if (file.max_messages_per_s < MIN_MESSAGES_PER_SECOND) {
    throw new Error(`max_messages_per_s: below ${MIN_MESSAGES_PER_SECOND}, the minimum`);
  }
}

function readFailover(raw: unknown): FailoverFeature | null {
  const parsed = failoverFile.safeParse(raw);
  if (!parsed.success) throw new Error(formatFirstIssue(parsed.error));
  const file = parsed.data;
  checkFailoverFile(file);
  if (!file.enabled) return null;
  return {
    earlyTakeover: file.early_takeover,
    probeInterval: seconds(file.probe_interval_s),
    probeTimeout: seconds(file.probe_timeout_s),
    suspicionTimeout: seconds(file.suspicion_s),
    pauseThreshold: seconds(file.pause_s),
    maxMessagesPerSecond: file.max_messages_per_s,
  };
}

/**
 * Reads the feature files of a folder; without a folder, all features are off. Throws `InvalidSettingsError`, which
 * names the file and, if a field is invalid, the field.
 */
export function loadFeatures(folder: string | undefined): Features {
  if (folder === undefined) return NO_FEATURES;
  const path = join(folder, FAILOVER_FILE);
  return { failover: existsSync(path) ? readToml(path, readFailover) : null };
}
