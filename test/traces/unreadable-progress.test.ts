/**
 * What happens: one stored progress record that cannot be decoded keeps every controller from leading, so that no job starts
 * or ends any more. Under a key of an unknown form it is not even noticed.
 *
 * Why: the record was decoded as the type it should have; the error ended the whole restore, which was begun again for ever.
 *
 * What showed it: "state restore failed" every 200 ms, with "number 7 is not iterable" and without a key.
 */
import { describe, expect, it } from 'vitest';
import type { Revision } from '../../src/model/ids.js';
import type { KeyValue } from '../../src/wire/key-value-store.js';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { runUntil, startedSite } from './steps.js';

const DAMAGED = 'j-000001';
const OTHER = 'j-000002';
const UNREADABLE = 'progress record unreadable, job held back';

/** The error lines of the controllers, with their fields. */
function recordErrors(site: SimulatedSite): object[] {
  const lines: object[] = [];
  site.onLogLine = (level, text, fields) => {
    if (level === 'error') lines.push({ text, ...fields });
  };
  return lines;
}

/** Two running jobs; then all controllers are replaced, and the next leader finds this record. */
async function siteWithRecord(
  row: Pick<KeyValue, 'key' | 'value'>,
  beforeTakeover: (site: SimulatedSite) => void = () => {},
) {
  const site = await startedSite();
  // More tasks than its team's limit has room for: some were never started.
  await site.submit({ ref: DAMAGED, tasks: 10, cpus: 4, runS: 30 });
  await site.submit({ ref: OTHER, tasks: 2, cpus: 4, runS: 30, team: 'blue' });
  await runUntil(site, () => site.runningTaskCount(DAMAGED) === 6 && site.runningTaskCount(OTHER) === 2, 60);
  await site.run(3);
  for (const node of site.nodes) site.crash(node);
  site.store.restore([{ ...row, revision: 900 as Revision }]);
  beforeTakeover(site);
  const errors = recordErrors(site);
  const starts = site.rules.startCount;
  site.startAll();
  await runUntil(site, () => site.leader !== undefined, 20);
  return { site, errors, startsOfDamaged: () => site.rules.startCount - starts };
}

describe('a progress record that cannot be read', () => {
  it.each([
    ['no object', `open/${DAMAGED}/0000`, 'lost'],
    ['null', `open/${DAMAGED}/0000`, null],
    ['a list', `open/${DAMAGED}/0000`, []],
    ['a field that is no list', `open/${DAMAGED}/0000`, { d: 7 }],
    ['a text for a list', `open/${DAMAGED}/0000`, { d: 'all' }],
    ['a short entry', `open/${DAMAGED}/0000`, { p: [[0, 1]] }],
    ['a task beyond the job', `open/${DAMAGED}/0000`, { d: [[0, 10]] }],
    ['a task of another chunk', `open/${DAMAGED}/2-0001`, { d: [[1, 2]] }],
    ['a range without an end', `open/${DAMAGED}/0000`, { d: [[0, 1e15]] }],
    ['a task that is no number', `open/${DAMAGED}/0000`, { u: [['0', 1]] }],
    ['an attempt without a number', `open/${DAMAGED}/0000`, { u: [[0, 0]] }],
    ['a machine without a name', `open/${DAMAGED}/0000`, { p: [[0, 1, '']] }],
    ['a task that is listed twice', `open/${DAMAGED}/0000`, { d: [[0, 1]], u: [[1, 1]] }],
    ['a chunk beyond the job', `open/${DAMAGED}/0007`, {}],
    ['a small chunk beyond the job', `open/${DAMAGED}/2-0005`, {}],
    ['a chunk size of zero', `open/${DAMAGED}/0-0000`, { d: [[0, 0]] }],
    ['a chunk size that is no number', `open/${DAMAGED}/many-0000`, { d: [[0, 0]] }],
    ['the default size spelled out', `open/${DAMAGED}/300-0000`, { d: [[0, 0]] }],
    ['a size beyond numbers', `open/${DAMAGED}/99999999999999999999-0000`, { d: [[0, 0]] }],
    ['a key of an unknown form', `open/${DAMAGED}/progress`, { d: [[0, 0]] }],
  ])('is named once, and nothing of its job is started: %s', async (_name, key, value) => {
    const { site, errors, startsOfDamaged } = await siteWithRecord({ key, value });
    await site.run(60);
    expect(errors).toEqual([expect.objectContaining({ text: UNREADABLE, key })]);
    expect(startsOfDamaged()).toBe(0);
    // It stays known, and the record stays for whoever repairs it.
    expect(await site.query(DAMAGED, site.leader as string)).toMatch(/pending|running/);
    expect(site.store.value(key)).toEqual(value);
    // Other jobs go on, and it can be cancelled.
    expect(await site.query(OTHER, site.leader as string)).toBe('done');
    await site.submit({ ref: 'j-000003', runS: 5 }, site.leader);
    expect(await site.cancel(DAMAGED, site.leader)).toBe('cancelled');
    await site.run(60);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
    expect([...site.store.keys.keys()].filter((left) => left.startsWith('open/'))).toEqual([]);
  });

  it('keeps its team within its limit while its tasks may still run', async () => {
    const { site } = await siteWithRecord({ key: `open/${DAMAGED}/0000`, value: null }, (running) => {
      for (const machine of running.workers.keys()) running.inboundPartitioned.add(machine);
      running.cloud.bootMs = 1000;
    });
    expect(site.runningTaskCount(DAMAGED)).toBe(6);
    await site.submit({ ref: 'j-000003', tasks: 2, cpus: 4, runS: 5 }, site.leader);
    await site.run(90);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('belongs to no job: it is named, and all go on', async () => {
    const { site, errors } = await siteWithRecord({ key: 'open/nothing', value: {} });
    await site.run(60);
    expect(errors).toEqual([expect.objectContaining({ text: UNREADABLE, key: 'open/nothing' })]);
    for (const ref of [DAMAGED, OTHER]) expect(await site.query(ref, site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
