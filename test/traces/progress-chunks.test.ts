/**
 * Guards against a leader that assumes a running or done task on the wrong machine because the progress records of
 * a job have chunks of several sizes. Such a leader waited for the wrong machine, assigned an attempt number again
 * and started a task that was still running elsewhere (`ran_twice`), or ran a done task again.
 *
 * A leader with low store limits wrote small records. The next leader, with higher limits, kept the small records
 * and wrote newer, larger records. The leader after that read both and preferred the small, older records. For
 * example, `open/j-000001/0000` contained [0,2,"host-000062"] and `60-0000` contained [0,1,"host-000000"]; then
 * host-000064 started attempt 2 of j-000001/0 while host-000062 was running the same attempt.
 */
import { describe, expect, it } from 'vitest';
import { MIXED_CHUNK_SIZES_MESSAGE } from '../../src/leader/open-job-loader.js';
import { parseOpenKey } from '../../src/store/keys.js';
import { maxTasksPerChunk } from '../../src/store/progress-record.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import type { SiteSize } from '../simulation/site-setup.js';
import { runUntil } from './steps.js';

const REF = 'j-000001';
/** The time within which a restarted controller is elected and has received a heartbeat from every worker. */
const TAKEOVER_S = 6;
/** The time within which a worker's lease (20 s) expires and the worker's tasks start on another machine. */
const LEASE_AND_RESTART_S = 25;

/** Announced store limits with which progress records have chunks of 60 tasks. */
const LOW_LIMITS = { value_kb: 2, txn_ops: 5, write_rps: 30 };
/** Announced store limits that records of machines with long ids exceed. */
const LOWEST_LIMITS = { value_kb: 1, txn_ops: 5 };

/** A site size whose announced limits a test changes between restarts of the controllers. */
type MutableSiteSize = { -readonly [Field in keyof SiteSize]: SiteSize[Field] };

/** Returns the size of a site whose team `red` may run `taskCount` tasks of 2 CPUs at once. */
function siteSizeFor(taskCount: number, next: object): MutableSiteSize {
  return { teamCpuLimits: { red: taskCount * 2, blue: 0 }, heartbeatIntervalS: 3, nodes: 3, next };
}

/** Restarts all controllers at once, so that the next leader knows only the stored records. */
async function restartControllers(site: SimulatedSite): Promise<void> {
  for (const node of site.nodes) site.crash(node);
  await site.run(0.5);
  site.startAll();
  await runUntil(site, () => site.leader !== undefined, 20);
  await site.run(TAKEOVER_S);
}

/** Kills the machines of the given tasks and waits until `runningCount` tasks of the job are running. */
async function moveTasks(
  site: SimulatedSite,
  indexes: readonly number[],
  runningCount: number,
): Promise<void> {
  const machines = new Set(indexes.map((index) => site.machineOf(`${REF}/${index}`)));
  for (const machine of machines) site.killMachine(machine);
  await runUntil(site, () => site.runningTaskCount(REF) === runningCount, 60);
  await site.run(3);
}

/**
 * Restarts all controllers while the machines of the given tasks receive nothing; the partition ends after the
 * leases of these machines have expired.
 */
async function restartControllersUnreachable(site: SimulatedSite, indexes: readonly number[]): Promise<void> {
  for (const index of indexes) site.inboundPartitioned.add(site.machineOf(`${REF}/${index}`));
  await restartControllers(site);
  await site.run(LEASE_AND_RESTART_S);
  site.inboundPartitioned.clear();
}

/** Waits until the job is done, and expects that no rule was violated and no progress record remains. */
async function expectJobDone(site: SimulatedSite): Promise<void> {
  await runUntil(site, () => site.store.value(`open/${REF}`) === undefined, 300);
  await site.run(5);
  expect(await site.query(REF, site.leader as string)).toBe('done');
  await site.finish();
  expect(site.rules.violations).toEqual([]);
  // No progress record of any chunk size remains.
  expect([...site.store.keys.keys()].filter((key) => key.startsWith('open/'))).toEqual([]);
}

/** Returns the chunk sizes of the stored progress records. */
function storedSizes(site: SimulatedSite): Set<number> {
  const chunkKeys = [...site.store.keys.keys()].map(parseOpenKey).filter((key) => key?.chunk != null);
  return new Set(chunkKeys.map((key) => key?.size as number));
}

describe('progress records with several chunk sizes, over several terms of leadership', () => {
  const TASK_COUNT = 250;
  const MOVED_TASKS = [0, 60, 130];

  it('start no task twice after low limits have been raised', async () => {
    const siteSize = siteSizeFor(TASK_COUNT, LOW_LIMITS);
    const site = new SimulatedSite(siteSize);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 100 });
    await runUntil(site, () => site.runningTaskCount(REF) === TASK_COUNT);
    delete siteSize.next;
    await restartControllers(site);
    await moveTasks(site, MOVED_TASKS, TASK_COUNT);
    await restartControllersUnreachable(site, MOVED_TASKS);
    await expectJobDone(site);
  });

  it('run no done task again and stop no running task while the limits are raised and lowered', async () => {
    const siteSize = siteSizeFor(TASK_COUNT, LOW_LIMITS);
    const site = new SimulatedSite(siteSize);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 60 });
    await runUntil(site, () => site.runningTaskCount(REF) === TASK_COUNT);
    delete siteSize.next;
    await restartControllers(site);
    await moveTasks(site, MOVED_TASKS, TASK_COUNT);
    const startCount = site.rules.startCount;
    // All tasks except the moved ones end while the second leader leads.
    await runUntil(site, () => site.runningTaskCount(REF) < TASK_COUNT / 2, 90);
    await site.run(3);
    await restartControllers(site);
    siteSize.next = LOW_LIMITS;
    await restartControllers(site);
    delete siteSize.next;
    await restartControllers(site);
    expect(site.rules.startCount).toBe(startCount);
    await expectJobDone(site);
    expect(site.rules.startCount).toBe(startCount);
  });

  it('start no task twice if machine ids of 120 digits make the store refuse records', async () => {
    const taskCount = 60;
    const site = new SimulatedSite(siteSizeFor(taskCount, LOWEST_LIMITS));
    site.cloud.idDigits = 120;
    site.startAll();
    await site.run(1);
    site.store.sizeLimits = { txnOps: LOWEST_LIMITS.txn_ops, valueBytes: LOWEST_LIMITS.value_kb * 1024 };
    await site.submit({ ref: REF, tasks: taskCount, runS: 40 });
    await runUntil(site, () => site.runningTaskCount(REF) === taskCount);
    const estimatedSize = maxTasksPerChunk(site.store.sizeLimits.valueBytes);
    expect(Math.max(...storedSizes(site))).toBeLessThan(estimatedSize);
    // Tasks that restart late are still running when all others are done, so that a larger chunk fits into a record.
    await site.run(20);
    await moveTasks(site, [0, 40], taskCount);
    await runUntil(site, () => site.runningTaskCount(REF) <= 8, 60);
    await site.run(3);
    await restartControllers(site);
    await moveTasks(site, [0, 40], 8);
    await restartControllersUnreachable(site, [0, 40]);
    await expectJobDone(site);
  });

  it('are logged at restore with their chunk sizes and the number of tasks on which they differ', async () => {
    const siteSize = siteSizeFor(TASK_COUNT, {});
    delete siteSize.next;
    const site = new SimulatedSite(siteSize);
    const mergeLogFields: object[] = [];
    site.onLogLine = (_level, text, fields) => {
      if (text === MIXED_CHUNK_SIZES_MESSAGE) mergeLogFields.push(fields);
    };
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 100 });
    await runUntil(site, () => site.runningTaskCount(REF) === TASK_COUNT);
    siteSize.next = LOW_LIMITS;
    await restartControllers(site);
    await moveTasks(site, MOVED_TASKS, TASK_COUNT);
    expect(mergeLogFields).toEqual([]);
    await restartControllers(site);
    // Each of the three killed machines ran four tasks.
    expect(mergeLogFields).toEqual([
      { job: REF, chunkSizes: [60, 300], contradictedTasks: 12, unprovenTasks: 0 },
    ]);
    await expectJobDone(site);
  });

  it('are deleted completely, including a large record that was written late, after smaller records', async () => {
    const site = new SimulatedSite(siteSizeFor(TASK_COUNT, LOW_LIMITS));
    // While at least one controller cannot read small records, small records are written only after a large record was
    // refused.
    for (const name of site.nodes) site.earlierVersionNodes.add(name);
    site.startAll();
    await site.run(1);
    await site.submit({ ref: REF, tasks: TASK_COUNT, runS: 20 });
    await runUntil(site, () => site.workers.size > 0);
    site.store.lateCommitRate = 1;
    await site.run(1);
    site.store.lateCommitRate = 0;
    // The retry of the late write is refused, and smaller records are written instead.
    site.store.sizeLimits = { txnOps: LOW_LIMITS.txn_ops, valueBytes: LOW_LIMITS.value_kb * 1024 };
    await runUntil(site, () => storedSizes(site).size === 2, 10);
    await expectJobDone(site);
  });
});
