/** Features that a file of their own under `deploy/` turns on; a missing file means off. */
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import * as z from 'zod/mini';
import { type Millis, seconds } from '../model/time.js';
import { firstIssue } from '../wire/common.js';
import { readToml } from './operators.js';

const positive = z.number().check(z.positive());

/** The file of failure detection. Names and defaults are part of its form. */
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
  /** Whether a leader that a majority has found failed is replaced before its lease expires. */
  readonly earlyTakeover: boolean;
  readonly probeInterval: Millis;
  readonly probeTimeout: Millis;
  readonly suspicionTimeout: Millis;
  /** A process that did not run for this long counts as paused. */
  readonly pauseThreshold: Millis;
  readonly maxMessagesPerSecond: number;
}

/** The features that are on; null: off. */
export interface Features {
  readonly failover: FailoverFeature | null;
}

const NO_FEATURES: Features = { failover: null };

/** Longer periods would notice nothing in time to be of use. */
const MAX_PERIODS_S = { probe_interval_s: 60, suspicion_s: 600, pause_s: 60 } as const;
const MIN_MESSAGES_PER_SECOND = 2;
/** The name of the file of failure detection. */
export const FAILOVER_FILE = 'membership.toml';

/** Throws an error whose message is one line naming the field. */
function checkFailoverFile(file: FailoverFile): void {
  if (file.probe_timeout_s > file.probe_interval_s)
    throw new Error('probe_timeout_s: above probe_interval_s');
  for (const [field, max] of Object.entries(MAX_PERIODS_S)) {
    if (file[field as keyof typeof MAX_PERIODS_S] > max) throw new Error(`${field}: above ${max}`);
  }
  if (file.max_messages_per_s < MIN_MESSAGES_PER_SECOND) {
    throw new Error(`max_messages_per_s: below ${MIN_MESSAGES_PER_SECOND}`);
  }
}

function readFailover(raw: unknown): FailoverFeature | null {
  const read = failoverFile.safeParse(raw);
  if (!read.success) throw new Error(firstIssue(read.error));
  const file = read.data;
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

/** Reads the feature files of a folder; without a folder, none is on. Throws `InvalidSettingsError` naming file and field. */
export function loadFeatures(folder: string | undefined): Features {
  if (folder === undefined) return NO_FEATURES;
  const path = join(folder, FAILOVER_FILE);
  return { failover: existsSync(path) ? readToml(path, readFailover) : null };
}
