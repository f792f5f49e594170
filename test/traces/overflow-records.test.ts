/**
 * What happens: a job with a long description or many dependencies is accepted, and its overflow records hold parts of two
 * different splits. It never starts; after the next takeover no controller gets to lead at all.
 *
 * Why: two controllers whose limits differ (settings that are being changed) take in the same submission at once. Both write
 * `desc/<job>/0000` and so on, cut at different lengths, and nothing tied the job's record to one controller's parts.
 *
 * What showed it: "state restore failed" every 200 ms with "Unterminated string in JSON at position 1152"; the job's record
 * counts 3 parts, those of 2,032 letters, and all three in the store had 1,008, of the other split.
 */
import { describe, expect, it } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';
import type { JobRequest, SiteSize } from '../simulation/site-setup.js';
import { runUntil } from './steps.js';

const REF = 'j-000001';
const LIMITS_KB = [1, 2];
/** Between two transactions of one submission lie 5 ms: each offset lets other parts meet. */
const OFFSETS_MS = [0, 3, 5, 8, 12, 17, 22, 27];

const LONG: Omit<JobRequest, 'ref'> = {
  tasks: 2,
  runS: 5,
  jobClass: 'é'.repeat(200),
  image: 'ü'.repeat(200),
  types: ['small', ...Array.from({ length: 8 }, (_, number) => `${number}${'ß'.repeat(190)}`)],
};

/** A site on which each controller has been told another limit. */
async function siteWithLimits(): Promise<SimulatedSite> {
  const size: { -readonly [Field in keyof SiteSize]: SiteSize[Field] } = {
    limit: { red: 24, blue: 40 },
    reportS: 3,
    nodes: 2,
  };
  const site = new SimulatedSite(size);
  for (const [index, node] of site.nodes.entries()) {
    size.next = { value_kb: LIMITS_KB[index], txn_ops: 5, write_rps: 30 };
    site.start(node);
  }
  await runUntil(site, () => site.leader !== undefined, 10);
  await site.run(5);
  return site;
}

/** Returns the state of the job once a leader that knows nothing but the records has had time to serve it. */
async function stateOfJobSubmittedTwice(first: string, second: string, offsetMs: number): Promise<string> {
  const site = await siteWithLimits();
  const answers = [site.submitConcurrently({ ref: REF, ...LONG }, first)];
  await site.clock.advance(offsetMs);
  answers.push(site.submitConcurrently({ ref: REF, ...LONG }, second));
  await site.run(5);
  for (const status of await Promise.all(answers)) expect([200, 201]).toContain(status);
  for (const node of site.nodes) site.crash(node);
  await site.run(1);
  site.startAll();
  await site.run(90);
  const state = await site.query(REF, 'node-0');
  await site.finish();
  expect(site.rules.violations).toEqual([]);
  return state;
}

describe('a submission that two controllers with different limits take in at once', () => {
  it.each([
    ['node-0', 'node-1'],
    ['node-1', 'node-0'],
  ])('is served whole: first %s, then %s', async (first, second) => {
    const states: Record<number, string> = {};
    for (const offset of OFFSETS_MS) states[offset] = await stateOfJobSubmittedTwice(first, second, offset);
    expect(states).toEqual(Object.fromEntries(OFFSETS_MS.map((offset) => [offset, 'done'])));
  });
});
