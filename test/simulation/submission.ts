import type { JobSpec } from '../../src/model/job.js';
import { parseSubmission } from '../../src/wire/users.js';

/** A job of 200 tasks as a user submits it, with other fields where the test needs them. */
export function submission(more: object): JobSpec {
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
    ...more,
  });
  if (!parsed.ok) throw new Error(parsed.error);
  return parsed.value;
}
