import { describe, expect, it } from 'vitest';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { SimulatedSite } from '../simulation/simulated-site.js';

const MACHINE_COUNT = 4500;
const JOB_COUNT = 44;
/** The number of tasks per job. */
const TASKS_PER_JOB = 400;
/** The number of machines that start in the same 100 ms. */
const START_BATCH_SIZE = 75;
/** The number of machines that the jobs fill with four tasks per machine. The other machines may be deleted. */
const FILLED_MACHINE_COUNT = (JOB_COUNT * TASKS_PER_JOB) / 4;

/**
 * Guards against fixed limits below 4,500 machines, in records, frames, pages, caches or sockets. The cloud and the
 * key-value store return lists in pages of 500 entries.
 */
describe('a site of 4,500 machines', () => {
  it('is filled with tasks, taken over from its records alone, and scaled in', async () => {
    const site = new SimulatedSite({
      teamCpuLimits: { red: 30_000, blue: 30_000 },
      heartbeatIntervalS: 6,
      nodes: 3,
    });
    site.startAll();
    // Machines start, and send heartbeats, at different times.
    for (let n = 0; n < MACHINE_COUNT; n++) {
      const id = `host-${String(n).padStart(6, '0')}` as MachineId;
      const zone = (n % 2 === 0 ? 'north' : 'south') as ZoneId;
      site.cloud.addRunningMachine({ id, type: 'small' as MachineTypeId, zone, spot: n % 3 === 0 });
      if (n % START_BATCH_SIZE === 0) await site.run(0.1);
    }
    const refs = Array.from({ length: JOB_COUNT }, (_, n) => `j-${String(n).padStart(6, '0')}`);
    for (const [n, ref] of refs.entries()) {
      const request = {
        ref,
        tasks: TASKS_PER_JOB,
        team: n % 2 === 0 ? 'red' : 'blue',
        spot: true,
        runS: 600,
      };
      while ((await site.submit(request, `node-${n % 3}`)) === 503) await site.run(1);
    }
    await site.run(45);
    expect(site.fleetSize).toBeGreaterThanOrEqual(FILLED_MACHINE_COUNT);
    const runningCount = (): number => refs.reduce((sum, ref) => sum + site.runningTaskCount(ref), 0);
    expect(runningCount()).toBe(JOB_COUNT * TASKS_PER_JOB);
    // A record holds many starts, so that the number of writes depends on the number of jobs, not of machines.
    expect(site.store.writeCount / site.rules.startCount).toBeLessThan(0.1);

    const before = { requests: site.store.requestCount, starts: site.rules.startCount };
    site.crash(site.leader as string);
    await site.run(15);
    expect(site.fleetSize).toBeGreaterThanOrEqual(FILLED_MACHINE_COUNT);
    expect(runningCount()).toBe(JOB_COUNT * TASKS_PER_JOB);
    expect(site.rules.startCount).toBe(before.starts);
    expect(site.store.requestCount - before.requests).toBeLessThan(250);

    const newLeader = site.leader as string;
    for (const ref of refs) while ((await site.cancel(ref, newLeader)) !== 'cancelled') await site.run(1);
    // After jobs have ended, the forecast still expects their demand for several slots of 30 s; 150 s are five slots.
    await site.run(150);
    expect(runningCount()).toBe(0);
    expect(site.cloud.machines.size).toBeLessThan(MACHINE_COUNT / 10);
    expect(site.maxConcurrentCalls).toBeLessThanOrEqual(2 * 64);
    expect(site.store.rejectedTransactions).toEqual([]);
    expect(site.rules.violations).toEqual([]);
  }, 120_000);
});
