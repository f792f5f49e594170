/** Features that a file of their own under `deploy/` turns on; a missing file means off. */
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import * as z from 'zod/mini';
import { firstIssue } from '../wire/common.js';
import { readToml } from './operators.js';

const positive = z.number().check(z.positive());

const failoverSchema = z.strictObject({
  enabled: z.boolean(),
  early_takeover: z._default(z.boolean(), false),
  probe_interval_s: z._default(positive, 0.5),
  probe_timeout_s: z._default(positive, 0.3),
  suspicion_s: z._default(positive, 1),
  pause_s: z._default(positive, 0.4),
  max_messages_per_s: z._default(positive, 100),
});

/** Failure detection between controllers (docs/operations/membership.md). */
export type FailoverFeature = z.infer<typeof failoverSchema>;

/** The features that are on. */
export interface Features {
  readonly failover: FailoverFeature | null;
}

const NO_FEATURES: Features = { failover: null };

/** Periods above these would notice nothing in time to be of use. */
const MOST_PERIODS_S = { probe_interval_s: 60, suspicion_s: 600, pause_s: 60 };
const LEAST_RATE = 2;
/** The file of failure detection. */
export const FAILOVER_FILE = 'membership.toml';

function readFailover(raw: unknown): FailoverFeature | null {
  const read = failoverSchema.safeParse(raw);
  if (!read.success) throw new Error(firstIssue(read.error));
  const feature = read.data;
  if (feature.probe_timeout_s > feature.probe_interval_s) {
    throw new Error('probe_timeout_s: above probe_interval_s');
  }
  for (const [field, most] of Object.entries(MOST_PERIODS_S)) {
    if (feature[field as keyof typeof MOST_PERIODS_S] > most) throw new Error(`${field}: above ${most}`);
  }
  if (feature.max_messages_per_s < LEAST_RATE) throw new Error(`max_messages_per_s: below ${LEAST_RATE}`);
  return feature.enabled ? feature : null;
}

/** Reads the feature files of a folder. Throws `BadSettings` naming file and field. */
export function loadFeatures(folder: string | undefined): Features {
  if (folder === undefined) return NO_FEATURES;
  const path = join(folder, FAILOVER_FILE);
  return { failover: existsSync(path) ? readToml(path, readFailover) : null };
}
