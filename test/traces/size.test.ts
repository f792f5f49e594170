import { describe, expect, it } from 'vitest';
import { Site } from '../standins/site.js';

/** What is asked of the state service, the cloud and the workers must follow what happens, not what exists. */
describe('a site of 1,500 machines', () => {
  it('fills up, runs hundreds of jobs, and a successor takes it over', async () => {
    const site = new Site({ limit: { red: 7000, blue: 7000 }, reportS: 6 });
    site.startAll();
    await site.run(1);
    let jobs = 0;
    const submit = (tasks: number, more: object): Promise<number> =>
      site.submit({ ref: `j-${String(jobs++).padStart(6, '0')}`, tasks, ...more }, 'node-2');
    for (let i = 0; i < 120; i++) await submit(i % 4 === 0 ? 4 : 2, { kind: 'service', team: 'red' });
    for (let i = 0; i < 130; i++) {
      await submit(40, { team: i % 2 === 0 ? 'red' : 'blue', spot: true, runS: 15 + (i % 20) });
    }
    await site.run(60);
    expect(site.cloud.machines.size).toBeGreaterThan(1300);
    expect(site.rules.starts).toBeGreaterThan(4500);
    // Starts, ends, closings, fleet and forecast records together.
    expect(site.state.writes / site.rules.starts).toBeLessThan(0.35);
    expect(site.mostCalls).toBeLessThanOrEqual(64);

    const before = { writes: site.state.writes, requests: site.state.requests };
    const running = site.tasksOn('j-000000');
    site.crash(site.leader as string);
    await site.run(12);
    expect(site.tasksOn('j-000000')).toBe(running);
    // Reading what there is: pages and comparisons of many records, not a request for each.
    expect(site.state.requests - before.requests).toBeLessThan(150);
    expect(site.mostCalls).toBeLessThanOrEqual(64);
    // It decides within seconds, on machines that it has met by then.
    const alive = site.nodes.find((n) => n === site.leader) as string;
    await site.submit({ ref: 'j-900000', tasks: 8, team: 'blue', spot: true, runS: 1 }, alive);
    await site.run(6);
    expect(await site.query('j-900000', alive)).toBe('done');
    // Guards against fleet records that together were too long for one transaction: none was written.
    expect(site.state.malformed).toEqual([]);
    expect(site.rules.broken).toEqual([]);
  }, 60_000);
});
