/**
 * What happens: one stored record that cannot be decoded (a job's head, a part of its description, a list of machines) keeps
 * every controller from leading, so that no job starts or ends any more.
 *
 * Why: an error in one record ended the whole restore, which was begun again for ever.
 *
 * What showed it: "state restore failed" every 200 ms, with the error of the decoder ("stored.m is not iterable").
 */
import { describe, expect, it } from 'vitest';
import type { Revision } from '../../src/model/ids.js';
import { runUntil, startedSite } from './steps.js';

const DAMAGED = 'j-000001';
const OTHER = 'j-000002';
const HEAD = `open/${DAMAGED}`;
const FLEET = 'fleet/0000';

/** A head whose names stand in a further record. */
const SPLIT_HEAD = {
  s: 'a',
  at: 0,
  j: ['', '', 'array', 1, 2, 2, 0, 4, '', 1, null, null, 0, false, 5, 0, 0, null, 0, 1],
};

describe('a stored record that cannot be read', () => {
  it.each([
    ['a head that is no object', [{ key: HEAD, value: null }], HEAD],
    ['a head without a description', [{ key: HEAD, value: { s: 'a', at: 0 } }], HEAD],
    ['a head without its places', [{ key: HEAD, value: { s: 'a', at: 0, j: [] } }], HEAD],
    ['a head of an unknown state', [{ key: HEAD, value: { s: 'x', at: 0, j: [] } }], HEAD],
    ['a part of a description that is missing', [{ key: HEAD, value: SPLIT_HEAD }], HEAD],
    [
      'a part of a description that is cut off',
      [
        { key: HEAD, value: SPLIT_HEAD },
        { key: `desc/${DAMAGED}/0000`, value: 'WyJiYXRjaCIsInJlZCIs' },
      ],
      HEAD,
    ],
    ['machines that are no list', [{ key: FLEET, value: { m: 7 } }], FLEET],
    ['machines without their record', [{ key: FLEET, value: null }], FLEET],
    ['a machine without its places', [{ key: FLEET, value: { m: [['host-000000']] } }], FLEET],
  ])('is named, and other jobs go on: %s', async (_name, rows, named) => {
    const site = await startedSite();
    await site.submit({ ref: DAMAGED, tasks: 2, cpus: 4, runS: 30 });
    await site.submit({ ref: OTHER, tasks: 2, cpus: 4, runS: 30, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount(DAMAGED) + site.runningTaskCount(OTHER) === 4, 60);
    await site.run(3);
    for (const node of site.nodes) site.crash(node);
    site.store.restore(rows.map((row) => ({ ...row, revision: 900 as Revision })));
    const errors: object[] = [];
    site.onLogLine = (level, text, fields) => {
      if (level === 'error') errors.push({ text, ...fields });
    };
    const starts = site.rules.startCount;
    site.startAll();
    await site.run(80);
    expect(errors).toEqual([expect.objectContaining({ key: named })]);
    expect(site.rules.startCount).toBe(starts);
    expect(await site.query(OTHER, site.leader as string)).toBe('done');
    // The damaged one is done, or stays known and its records stay for whoever repairs them.
    const state = await site.query(DAMAGED, site.leader);
    expect(state).toBe(named === HEAD ? 'pending' : 'done');
    expect(site.store.value(`${HEAD}/0000`) !== undefined).toBe(named === HEAD);
    await site.submit({ ref: 'j-000003', runS: 5 }, site.leader);
    await site.run(60);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });

  it('under `job/` is named as it changes, and later changes still count', async () => {
    const site = await startedSite();
    await site.submit({ ref: OTHER, kind: 'service', tasks: 2, cpus: 4, team: 'blue' });
    await runUntil(site, () => site.runningTaskCount(OTHER) === 2, 60);
    const errors: object[] = [];
    site.onLogLine = (level, text, fields) => {
      if (level === 'error') errors.push({ text, ...fields });
    };
    const write = site.store
      .clientFor('node-9', site.clock)
      .txn([], [{ set: 'job/j-000009', value: { s: 'a', j: 'lost' } }]);
    await site.run(1);
    expect(await write).toMatchObject({ ok: true });
    expect(errors).toEqual([expect.objectContaining({ key: 'job/j-000009' })]);
    expect(await site.cancel(OTHER, 'node-1')).toBe('cancelled');
    await runUntil(site, () => site.runningTaskCount(OTHER) === 0, 30);
    await site.submit({ ref: 'j-000003', runS: 5 }, 'node-2');
    await site.run(40);
    expect(await site.query('j-000003', site.leader as string)).toBe('done');
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});
