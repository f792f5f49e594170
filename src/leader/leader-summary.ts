/** Summarizes a leader's state for the log line `summary`. */
import { seriesKey } from '../fleet/capacity-plan.js';
import type { MonotonicTime } from '../model/time.js';
import type { JobStore } from '../scheduler/job-store.js';
import { type UnschedulableReason, unschedulableReason } from '../workers/state/schedulability.js';
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

/** Returns counts of jobs, tasks and machines, with the states that keep tasks off machines, and CPU totals. */
export function summaryOf(jobs: JobStore, workers: WorkerRegistry, now: MonotonicTime): object {
  return { ...jobSummary(jobs, now), ...workerSummary(workers, now) };
}

function jobSummary(jobs: JobStore, now: MonotonicTime): object {
  let waiting = 0;
  let blocked = 0;
  let assigned = 0;
  let runningCpus = 0;
  let mixedChunkJobs = 0;
  let heldBackJobs = 0;
  let backingOffJobs = 0;
  let avoidingJobs = 0;
  for (const job of jobs.values()) {
    if (job.hasMixedChunkSizes) mixedChunkJobs++;
    if (job.hasUnreadableProgress) heldBackJobs++;
    if (job.failures.isBackingOff(now)) backingOffJobs++;
    if (job.failures.avoidedMachines(now).size > 0) avoidingJobs++;
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
    backingOffJobs,
    avoidingJobs,
  };
}

function workerSummary(workers: WorkerRegistry, now: MonotonicTime): object {
  let up = 0;
  let cpus = 0;
  let usedCpus = 0;
  let unconfirmed = 0;
  const unschedulable: Partial<Record<UnschedulableReason, number>> = {};
  const pools: Record<string, PoolSummary> = {};
  for (const worker of workers.values()) {
    if (worker.facts.state !== 'confirmed') unconfirmed++;
    const reason = unschedulableReason(worker, now);
    if (reason !== null) unschedulable[reason] = (unschedulable[reason] ?? 0) + 1;
    if (!worker.isUp || !worker.presumedFacts) continue;
    const { machine, type } = worker.presumedFacts;
    up++;
    cpus += type.cpus;
    usedCpus += type.cpus - worker.free.cpus;
    const pool = (pools[seriesKey(machine.type, machine.spot)] ??= emptyPool());
    addToPool(pool, worker);
  }
  return {
    workers: workers.size,
    up,
    unconfirmed,
    cpus,
    usedCpus: Math.round(usedCpus),
    unschedulable,
    pools,
  };
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
