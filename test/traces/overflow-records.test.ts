/**
 * Guards against overflow records of an accepted job that mix the parts of two different splits. Such a job never
 * started, and after the next takeover no controller could lead: the restore failed every 200 ms with "Unterminated
 * string in JSON at position 1152". The job's record counted 3 parts of 2,032 characters, but the store held 3
 * parts of 1,008 characters.
 *
 * The mix arises if two controllers with different limits, as during a change of settings, accept the same submission
 * concurrently. Both write `desc/<job>/0000` and the following keys, split at different lengths; nothing tied the job's
 * record to the parts of one controller.
 */
import { describe, expect, it } from 'vitest';
import { SimulatedSite } from '../simulation/simulated-site.js';
import type { JobRequest, SiteSize } from '../simulation/site-setup.js';
import { runUntil } from './steps.js';

const REF = 'j-000001';
/** The announced limit on the size of a value, for each controller in turn. */
const VALUE_LIMITS_KB = [1, 2];
/**
 * The delays between the two submissions. Consecutive transactions of a submission are 5 ms apart, so that each delay
 * interleaves the parts differently.
 */
const OFFSETS_MS = [0, 3, 5, 8, 12, 17, 22, 27];

/** A job whose description exceeds the size limit of a single record. */
const LONG_DESCRIPTION: Omit<JobRequest, 'ref'> = {
  tasks: 2,
  runS: 5,
  jobClass: 'é'.repeat(200),
  image: 'ü'.repeat(200),
  types: ['small', ...Array.from({ length: 8 }, (_, index) => `${index}${'ß'.repeat(190)}`)],
};

/** Returns a site with a leader whose controllers have different size limits. */
async function siteWithDifferentLimits(): Promise<SimulatedSite> {
  const siteSize: { -readonly [Field in keyof SiteSize]: SiteSize[Field] } = {
    teamCpuLimits: { red: 24, blue: 40 },
    heartbeatIntervalS: 3,
    nodes: 2,
  };
  const site = new SimulatedSite(siteSize);
  for (const [index, node] of site.nodes.entries()) {
    siteSize.next = { value_kb: VALUE_LIMITS_KB[index], txn_ops: 5, write_rps: 30 };
    site.start(node);
  }
  await runUntil(site, () => site.leader !== undefined, 10);
  await site.run(5);
  return site;
}

/** Returns the state of a job that was submitted twice, 90 s after a restart of all controllers. */
async function stateOfJobSubmittedTwice(first: string, second: string, offsetMs: number): Promise<string> {
  const site = await siteWithDifferentLimits();
  const pendingStatuses = [site.submitConcurrently({ ref: REF, ...LONG_DESCRIPTION }, first)];
  await site.clock.advance(offsetMs);
  pendingStatuses.push(site.submitConcurrently({ ref: REF, ...LONG_DESCRIPTION }, second));
  await site.run(5);
  for (const status of await Promise.all(pendingStatuses)) expect([200, 201]).toContain(status);
  for (const node of site.nodes) site.crash(node);
  await site.run(1);
  site.startAll();
  await site.run(90);
  const state = await site.query(REF, 'node-0');
  await site.finish();
  expect(site.rules.violations).toEqual([]);
  return state;
}

describe('a submission that two controllers with different limits accept concurrently', () => {
  it.each([
    ['node-0', 'node-1'],
    ['node-1', 'node-0'],
  ])('is stored completely and its job is done: first %s, then %s', async (first, second) => {
    const states: Record<number, string> = {};
    for (const offset of OFFSETS_MS) states[offset] = await stateOfJobSubmittedTwice(first, second, offset);
    expect(states).toEqual(Object.fromEntries(OFFSETS_MS.map((offset) => [offset, 'done'])));
  });
});
