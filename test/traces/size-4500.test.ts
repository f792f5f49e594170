import { describe, expect, it } from 'vitest';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { SimulatedSite } from '../simulation/simulated-site.js';

const MACHINES = 4500;
const JOBS = 44;
const TASKS = 400;
const UP_TOGETHER = 75;
/** What the jobs fill, at four tasks a machine; the rest may go back. */
const FILLED = (JOBS * TASKS) / 4;

/**
 * Guards against any fixed limit below this size: in records, frames, pages, caches or sockets. Lists of the cloud
 * and of the state service come in pages of 500.
 */
describe('a site of 4,500 machines', () => {
  it('is filled, taken over from its records alone, and given back', async () => {
    const site = new SimulatedSite({ limit: { red: 30_000, blue: 30_000 }, reportS: 6, nodes: 3 });
    site.startAll();
    // They come up, and report, at different moments, as machines do.
    for (let n = 0; n < MACHINES; n++) {
      const id = `host-${String(n).padStart(6, '0')}` as MachineId;
      const zone = (n % 2 === 0 ? 'north' : 'south') as ZoneId;
      site.cloud.adopt({ id, type: 'small' as MachineTypeId, zone, spot: n % 3 === 0 });
      if (n % UP_TOGETHER === 0) await site.run(0.1);
    }
    const refs = Array.from({ length: JOBS }, (_, n) => `j-${String(n).padStart(6, '0')}`);
    for (const [n, ref] of refs.entries()) {
      const wish = { ref, tasks: TASKS, team: n % 2 === 0 ? 'red' : 'blue', spot: true, runS: 600 };
      while ((await site.submit(wish, `node-${n % 3}`)) === 503) await site.run(1);
    }
    await site.run(45);
    expect(site.fleetSize).toBeGreaterThanOrEqual(FILLED);
    const running = (): number => refs.reduce((sum, ref) => sum + site.runningTaskCount(ref), 0);
    expect(running()).toBe(JOBS * TASKS);
    // A record holds many starts: what is written follows the jobs, not the machines.
    expect(site.store.writeCount / site.rules.startCount).toBeLessThan(0.1);

    const before = { requests: site.store.requestCount, starts: site.rules.startCount };
    site.crash(site.leader as string);
    await site.run(15);
    expect(site.fleetSize).toBeGreaterThanOrEqual(FILLED);
    expect(running()).toBe(JOBS * TASKS);
    expect(site.rules.startCount).toBe(before.starts);
    expect(site.store.requestCount - before.requests).toBeLessThan(250);

    const alive = site.leader as string;
    for (const ref of refs) while ((await site.cancel(ref, alive)) !== 'cancelled') await site.run(1);
    // The forecast believes in the demand for some slots more.
    await site.run(150);
    expect(running()).toBe(0);
    expect(site.cloud.machines.size).toBeLessThan(MACHINES / 10);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(2 * 64);
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  }, 120_000);
});
