/** Summarizes a leader's state for the log line `summary`. */
import { seriesKey } from '../fleet/capacity-plan.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { Worker } from '../workers/state/worker.js';
import type { WorkerRegistry } from '../workers/state/worker-registry.js';

/**
 * Counts and free CPUs of the running machines with known facts of one type and purchase option (spot or on-demand).
 */
interface PoolSummary {
  up: number;
  empty: number;
  freeCpus: number;
  withReplicas: number;
}

/** Returns counts of jobs, tasks and machines, and CPU totals. */
export function summaryOf(jobs: JobStore, workers: WorkerRegistry): object {
  return { ...jobSummary(jobs), ...workerSummary(workers) };
}

function jobSummary(jobs: JobStore): object {
  let waiting = 0;
  let blocked = 0;
  let assigned = 0;
  let runningCpus = 0;
  let mixedChunkJobs = 0;
  let heldBackJobs = 0;
  for (const job of jobs.values()) {
    if (job.hasMixedChunkSizes) mixedChunkJobs++;
    if (job.hasUnreadableProgress) heldBackJobs++;
    if (job.isBlocked) blocked += job.waitingCount;
    else waiting += job.waitingCount;
    assigned += job.assignedCount;
    runningCpus += job.runningCount * job.spec.cpus;
  }
  return {
    jobs: jobs.size,
    waiting,
    blocked,
    assigned,
    runningCpus: Math.round(runningCpus),
    mixedChunkJobs,
    heldBackJobs,
  };
}

function workerSummary(workers: WorkerRegistry): object {
  let up = 0;
  let cpus = 0;
  let usedCpus = 0;
  let unconfirmed = 0;
  const pools: Record<string, PoolSummary> = {};
  for (const worker of workers.values()) {
    if (worker.facts.state !== 'confirmed') unconfirmed++;
    if (!worker.isUp || !worker.presumedFacts) continue;
    const { machine, type } = worker.presumedFacts;
    up++;
    cpus += type.cpus;
    usedCpus += type.cpus - worker.free.cpus;
    const pool = (pools[seriesKey(machine.type, machine.spot)] ??= emptyPool());
    addToPool(pool, worker);
  }
  return { workers: workers.size, up, unconfirmed, cpus, usedCpus: Math.round(usedCpus), pools };
}

function emptyPool(): PoolSummary {
  return { up: 0, empty: 0, freeCpus: 0, withReplicas: 0 };
}

function addToPool(pool: PoolSummary, worker: Worker): void {
  pool.up++;
  if (worker.isEmpty) pool.empty++;
  pool.freeCpus = Math.round(pool.freeCpus + worker.free.cpus);
  if (worker.hasReplicas) pool.withReplicas++;
}
