/**
 * Guards against a stored record that cannot be decoded (a job's head record, a part of a job's description, a
 * fleet record) and prevents every controller from leading, so that no job starts or ends. An error in one record
 * aborted the whole restore, which was then retried forever: every 200 ms a log line reported the decoder's error
 * ("stored.m is not iterable").
 */
import { describe, expect, it } from 'vitest';
import type { Revision } from '../../src/model/ids.js';
import { runUntil, startedSite } from './steps.js';

const DAMAGED_REF = 'j-000001';
const INTACT_REF = 'j-000002';
const HEAD_KEY = `open/${DAMAGED_REF}`;
const FLEET_KEY = 'fleet/0000';

/** A head record whose names are in an overflow record. */
const SPLIT_HEAD = {
  s: 'a',
  at: 0,
  j: ['', '', 'array', 1, 2, 2, 0, 4, '', 1, null, null, 0, false, 5, 0, 0, null, 0, 1],
};

describe('a stored record that cannot be read', () => {
  it.each([
    ['a head record that is not an object', [{ key: HEAD_KEY, value: null }], HEAD_KEY],
    ['a head record without a description', [{ key: HEAD_KEY, value: { s: 'a', at: 0 } }], HEAD_KEY],
    [
      'a head record with an empty description',
      [{ key: HEAD_KEY, value: { s: 'a', at: 0, j: [] } }],
      HEAD_KEY,
    ],
    ['a head record with an unknown state', [{ key: HEAD_KEY, value: { s: 'x', at: 0, j: [] } }], HEAD_KEY],
    ['a description of which a part is missing', [{ key: HEAD_KEY, value: SPLIT_HEAD }], HEAD_KEY],
    [
      'a description of which a part is truncated',
      [
        { key: HEAD_KEY, value: SPLIT_HEAD },
        { key: `desc/${DAMAGED_REF}/0000`, value: 'WyJiYXRjaCIsInJlZCIs' },
      ],
      HEAD_KEY,
    ],
    ['a fleet record whose machines are not a list', [{ key: FLEET_KEY, value: { m: 7 } }], FLEET_KEY],
    ['a fleet record that is null', [{ key: FLEET_KEY, value: null }], FLEET_KEY],
    [
      'a machine without type and zone in a fleet record',
      [{ key: FLEET_KEY, value: { m: [['host-000000']] } }],
      FLEET_KEY,
    ],
  ])('is logged with its key, and other jobs continue: %s', async (_name, rows, loggedKey) => {
    const site = await startedSite();
    await site.submit({ ref: DAMAGED_REF, tasks: 2, cpus: 4, runS: 30 });
    await site.submit({ ref: INTACT_REF, tasks: 2, cpus: 4, runS: 30, team: 'blue' });
    await runUntil(
      site,
      () => site.runningTaskCount(DAMAGED_REF) + site.runningTaskCount(INTACT_REF) === 4,
      60,
    );
    await site.run(3);
    for (const node of site.nodes) site.crash(node);
    site.store.restore(rows.map((row) => ({ ...row, revision: 900 as Revision })));
    const errors: object[] = [];
    site.onLogLine = (level, text, fields) => {
      if (level === 'error') errors.push({ text, ...fields });
    };
    const initialStartCount = site.rules.startCount;
    site.startAll();
    await site.run(80);
    expect(errors).toEqual([expect.objectContaining({ key: loggedKey })]);
    expect(site.rules.startCount).toBe(initialStartCount);
    expect(await site.query(INTACT_REF, site.leader as string)).toBe('done');
    // The damaged job is done, or it can still be queried and its records are kept so that an operator can repair them.
    const state = await site.query(DAMAGED_REF, site.leader);
    expect(state).toBe(loggedKey === HEAD_KEY ? 'pending' : 'done');
    expect(site.store.value(`${HEAD_KEY}/0000`) !== undefined).toBe(loggedKey === HEAD_KEY);
    await site.submit({ ref: 'j-000003', runS: 5 }, site.leader);
    await site.run(60);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('under `job/` is logged with its key when it changes, and later changes still take effect', async () => {
    const site = await startedSite();
    await site.submit({ ref: INTACT_REF, kind: 'service', tasks: 2, cpus: 4, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount(INTACT_REF) === 2, 60);
    const errors: object[] = [];
    site.onLogLine = (level, text, fields) => {
      if (level === 'error') errors.push({ text, ...fields });
    };
    const pendingWrite = site.store
      .clientFor('node-9', site.clock)
      .txn([], [{ set: 'job/j-000009', value: { s: 'a', j: 'lost' } }]);
    await site.run(1);
    expect(await pendingWrite).toMatchObject({ ok: true });
    expect(errors).toEqual([expect.objectContaining({ key: 'job/j-000009' })]);
    expect(await site.cancel(INTACT_REF, 'node-1')).toBe('cancelled');
    await runUntil(site, () => site.runningTaskCount(INTACT_REF) === 0, 30);
    await site.submit({ ref: 'j-000003', runS: 5 }, 'node-2');
    await site.run(40);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
