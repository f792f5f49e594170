/** What the log tells of a leadership every few seconds. */
import { seriesKey } from '../fleet/capacity-plan.js';
import type { JobStore } from '../scheduler/job-store.js';
import type { HostRegistry } from '../workers/state/worker-registry.js';

/** Jobs, tasks and machines in numbers. */
export function summaryOf(jobs: JobStore, hosts: HostRegistry): object {
  let waiting = 0;
  let blocked = 0;
  let held = 0;
  let up = 0;
  let cpus = 0;
  let usedCpus = 0;
  let runningCpus = 0;
  let unconfirmed = 0;
  for (const job of jobs.values()) {
    if (job.blocked) blocked += job.waiting;
    else waiting += job.waiting;
    held += job.heldCount;
    runningCpus += job.running * job.spec.cpus;
  }
  const pools: Record<string, Record<string, number>> = {};
  for (const host of hosts.values()) {
    if (host.facts.state !== 'confirmed') unconfirmed++;
    if (!host.up || !host.presumed) continue;
    const { machine, type } = host.presumed;
    up++;
    cpus += type.cpus;
    usedCpus += type.cpus - host.free.cpus;
    const pool = (pools[seriesKey(machine.type, machine.spot)] ??= {
      up: 0,
      empty: 0,
      free: 0,
      withReplicas: 0,
    });
    pool['up'] = (pool['up'] ?? 0) + 1;
    pool['empty'] = (pool['empty'] ?? 0) + (host.empty ? 1 : 0);
    pool['free'] = Math.round((pool['free'] ?? 0) + host.free.cpus);
    pool['withReplicas'] = (pool['withReplicas'] ?? 0) + (host.hasReplicas ? 1 : 0);
  }
  return {
    jobs: jobs.size,
    waiting,
    blocked,
    held,
    hosts: hosts.size,
    up,
    unconfirmed,
    cpus,
    usedCpus: Math.round(usedCpus),
    runningCpus: Math.round(runningCpus),
    pools,
  };
}
