/**
 * Guards against a progress record that cannot be decoded and prevents every controller from leading, so that no
 * job starts or ends. The record was decoded without validation, and an error aborted the whole restore, which was
 * then retried forever: every 200 ms a log line reported "number 7 is not iterable" without the key of the record.
 * A record under a key of an unknown format was ignored silently.
 */
import { describe, expect, it } from 'vitest';
import type { Revision } from '../../src/model/ids.js';
import type { KeyValue } from '../../src/wire/key-value-store.js';
import type { SimulatedSite } from '../simulation/simulated-site.js';
import { runUntil, startedSite } from './steps.js';

const DAMAGED_REF = 'j-000001';
const INTACT_REF = 'j-000002';
const UNREADABLE_MESSAGE = 'progress record unreadable, job held back';

/** Returns a list that receives the message and the fields of each line that the controllers log at level error. */
function collectErrorLines(site: SimulatedSite): object[] {
  const errorLines: object[] = [];
  site.onLogLine = (level, text, fields) => {
    if (level === 'error') errorLines.push({ text, ...fields });
  };
  return errorLines;
}

/**
 * Returns a site with two running jobs after a restart of all controllers, during which the given record was
 * stored.
 */
async function siteWithRecord(
  record: Pick<KeyValue, 'key' | 'value'>,
  beforeTakeover: (site: SimulatedSite) => void = () => {},
) {
  const site = await startedSite();
  // The job has more tasks than its team's CPU limit allows, so that some tasks were never started.
  await site.submit({ ref: DAMAGED_REF, tasks: 10, cpus: 4, runS: 30 });
  await site.submit({ ref: INTACT_REF, tasks: 2, cpus: 4, runS: 30, team: 'blue' });
  await runUntil(
    site,
    () => site.runningTaskCount(DAMAGED_REF) === 6 && site.runningTaskCount(INTACT_REF) === 2,
    60,
  );
  await site.run(3);
  for (const node of site.nodes) site.crash(node);
  site.store.restore([{ ...record, revision: 900 as Revision }]);
  beforeTakeover(site);
  const errors = collectErrorLines(site);
  const initialStartCount = site.rules.startCount;
  site.startAll();
  await runUntil(site, () => site.leader !== undefined, 20);
  return { site, errors, newStartCount: () => site.rules.startCount - initialStartCount };
}

describe('a progress record that cannot be read', () => {
  it.each([
    ['a text instead of an object', `open/${DAMAGED_REF}/0000`, 'lost'],
    ['null', `open/${DAMAGED_REF}/0000`, null],
    ['a list', `open/${DAMAGED_REF}/0000`, []],
    ['a field that is not a list', `open/${DAMAGED_REF}/0000`, { d: 7 }],
    ['a text instead of a list', `open/${DAMAGED_REF}/0000`, { d: 'all' }],
    ['an entry without a machine', `open/${DAMAGED_REF}/0000`, { p: [[0, 1]] }],
    ['a task index beyond the tasks of the job', `open/${DAMAGED_REF}/0000`, { d: [[0, 10]] }],
    ['a task of another chunk', `open/${DAMAGED_REF}/2-0001`, { d: [[1, 2]] }],
    ['a range that ends at 10^15', `open/${DAMAGED_REF}/0000`, { d: [[0, 1e15]] }],
    ['a task index that is not a number', `open/${DAMAGED_REF}/0000`, { u: [['0', 1]] }],
    ['an attempt number of 0', `open/${DAMAGED_REF}/0000`, { u: [[0, 0]] }],
    ['an empty machine id', `open/${DAMAGED_REF}/0000`, { p: [[0, 1, '']] }],
    ['a task that is listed twice', `open/${DAMAGED_REF}/0000`, { d: [[0, 1]], u: [[1, 1]] }],
    ['a chunk beyond the tasks of the job', `open/${DAMAGED_REF}/0007`, {}],
    ['a small chunk beyond the tasks of the job', `open/${DAMAGED_REF}/2-0005`, {}],
    ['a chunk size of zero', `open/${DAMAGED_REF}/0-0000`, { d: [[0, 0]] }],
    ['a chunk size that is not a number', `open/${DAMAGED_REF}/many-0000`, { d: [[0, 0]] }],
    ['a key with an explicit default chunk size', `open/${DAMAGED_REF}/300-0000`, { d: [[0, 0]] }],
    ['a chunk size of 20 digits', `open/${DAMAGED_REF}/99999999999999999999-0000`, { d: [[0, 0]] }],
    ['a key of an unknown format', `open/${DAMAGED_REF}/progress`, { d: [[0, 0]] }],
  ])('is logged once with its key, and no task of its job starts: %s', async (_name, key, value) => {
    const { site, errors, newStartCount } = await siteWithRecord({ key, value });
    await site.run(60);
    expect(errors).toEqual([expect.objectContaining({ text: UNREADABLE_MESSAGE, key })]);
    expect(newStartCount()).toBe(0);
    // The job can still be queried, and the record is kept so that an operator can repair it.
    expect(await site.query(DAMAGED_REF, site.leader as string)).toMatch(/pending|running/);
    expect(site.store.value(key)).toEqual(value);
    // Other jobs continue, and the damaged job can be cancelled.
    expect(await site.query(INTACT_REF, site.leader as string)).toBe('done');
    await site.submit({ ref: 'j-000003', runS: 5 }, site.leader);
    expect(await site.cancel(DAMAGED_REF, site.leader)).toBe('cancelled');
    await site.run(60);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
    expect([...site.store.keys.keys()].filter((remainingKey) => remainingKey.startsWith('open/'))).toEqual(
      [],
    );
  });

  it('does not let its team exceed its CPU limit while the tasks of its job may still run', async () => {
    const { site } = await siteWithRecord({ key: `open/${DAMAGED_REF}/0000`, value: null }, (runningSite) => {
      for (const machine of runningSite.workers.keys()) runningSite.inboundPartitioned.add(machine);
      runningSite.cloud.bootMs = 1000;
    });
    expect(site.runningTaskCount(DAMAGED_REF)).toBe(6);
    await site.submit({ ref: 'j-000003', tasks: 2, cpus: 4, runS: 5 }, site.leader);
    await site.run(90);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('is logged with its key if it belongs to no job, and all jobs continue', async () => {
    const { site, errors } = await siteWithRecord({ key: 'open/nothing', value: {} });
    await site.run(60);
    expect(errors).toEqual([expect.objectContaining({ text: UNREADABLE_MESSAGE, key: 'open/nothing' })]);
    for (const ref of [DAMAGED_REF, INTACT_REF])
      expect(await site.query(ref, site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
