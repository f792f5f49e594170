/** What the log tells of a leadership every few seconds. */
import { seriesKey } from '../fleet/capacity-plan.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { WorkerRegistry } from '../workers/state/worker-registry.js';

/** Jobs, tasks and machines in numbers. */
export function summaryOf(jobs: JobStore, workers: WorkerRegistry): object {
  let waiting = 0;
  let blocked = 0;
  let held = 0;
  let up = 0;
  let cpus = 0;
  let usedCpus = 0;
  let runningCpus = 0;
  let unconfirmed = 0;
  for (const job of jobs.values()) {
    if (job.isBlocked) blocked += job.waitingCount;
    else waiting += job.waitingCount;
    held += job.assignedCount;
    runningCpus += job.runningCount * job.spec.cpus;
  }
  const pools: Record<string, Record<string, number>> = {};
  for (const worker of workers.values()) {
    if (worker.facts.state !== 'confirmed') unconfirmed++;
    if (!worker.isUp || !worker.presumedFacts) continue;
    const { machine, type } = worker.presumedFacts;
    up++;
    cpus += type.cpus;
    usedCpus += type.cpus - worker.free.cpus;
    const pool = (pools[seriesKey(machine.type, machine.spot)] ??= {
      up: 0,
      empty: 0,
      free: 0,
      withReplicas: 0,
    });
    pool['up'] = (pool['up'] ?? 0) + 1;
    pool['empty'] = (pool['empty'] ?? 0) + (worker.isEmpty ? 1 : 0);
    pool['free'] = Math.round((pool['free'] ?? 0) + worker.free.cpus);
    pool['withReplicas'] = (pool['withReplicas'] ?? 0) + (worker.hasReplicas ? 1 : 0);
  }
  return {
    jobs: jobs.size,
    waiting,
    blocked,
    held,
    workers: workers.size,
    up,
    unconfirmed,
    cpus,
    usedCpus: Math.round(usedCpus),
    runningCpus: Math.round(runningCpus),
    pools,
  };
}
