/** Builds job specifications for unit tests. */
import type { JobSpec } from '../../src/model/job.js';
import { parseSubmission } from '../../src/wire/users.js';

/**
 * Returns the specification of a job with 200 tasks, parsed from a submission. `overrides` replaces fields of the body.
 */
export function submission(overrides: object): JobSpec {
  const parsed = parseSubmission({
    ref: 'j-000001',
    jobclass: 'batch',
    owner: 'red',
    shape: 'array',
    rank: 'standard',
    shards: 200,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    bundle: 'img',
    pullGb: 1,
    samePlace: false,
    apart: false,
    reclaimable: true,
    expectedS: 10,
    savepointS: 0,
    flushS: 0,
    ...overrides,
  });
  if (!parsed.ok) throw new Error(parsed.error);
  return parsed.value;
}
