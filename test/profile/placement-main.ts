/**
 * What the check of run orders costs a leader: orders for every machine of a fleet, with and without it.
 * `npm run measure:placement -- --machines 4000 --tasks 8`
 */
import { parseArgs } from 'node:util';
import { DecisionLog } from '../../src/log/decision-log.js';
import { silentLogger } from '../../src/log/logger.js';
import type { Epoch, MachineId, JobId, Revision, MachineTypeId } from '../../src/model/ids.js';
import type { JobSpec } from '../../src/model/job.js';
import { systemClock, type WallTime } from '../../src/model/time.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import type { Worker } from '../../src/workers/state/worker.js';
import { CommandIssuer } from '../../src/workers/command-issuer.js';
import { markStartsSent, commandsFor } from '../../src/workers/worker-commands.js';
import { confirmedWorker } from '../simulation/worker-state.js';
import { MIXED_ZONES, MACHINE_TYPES } from '../simulation/site-setup.js';
import { submission } from '../simulation/submission.js';

const EPOCH = 1 as Epoch;
const TASKS_A_JOB = 70;
const MOST_ORDERS = 250;
const ROUNDS = 9;
const NANOSECONDS = 1e6;

const { values } = parseArgs({
  options: { machines: { type: 'string', default: '4000' }, tasks: { type: 'string', default: '8' } },
});

/** Every third job is spread: the zones of its other tasks are asked as well. */
function jobAt(n: number): ActiveJob {
  const spec: JobSpec = {
    ...submission({}),
    id: `j-${n}` as JobId,
    taskCount: TASKS_A_JOB,
    allowsSpot: true,
    zoneAntiAffinity: n % 3 === 0,
  };
  return new ActiveJob(spec, 1 as Revision, 0 as WallTime);
}

function fleet(machines: number, tasks: number): Worker[] {
  const now = systemClock.now();
  const hosts: Worker[] = [];
  let job = jobAt(0);
  let jobs = 1;
  for (let n = 0; n < machines; n++) {
    const zone = MIXED_ZONES[n % MIXED_ZONES.length] as (typeof MIXED_ZONES)[0];
    const host = confirmedWorker(
      { id: `host-${n}` as MachineId, type: MACHINE_TYPES[0]?.id as MachineTypeId, zone, spot: true },
      now,
    );
    for (let t = 0; t < tasks; t++) {
      if (job.waitingCount === 0) job = jobAt(jobs++);
      const task = job.beginAttempt(host.id, zone, now);
      job.confirmPlacement(task);
      host.assign(task);
    }
    hosts.push(host);
  }
  return hosts;
}

/** Milliseconds for the first orders of all machines. */
function timed(issue: (host: Worker) => void): number {
  const hosts = fleet(Number(values.machines), Number(values.tasks));
  const began = performance.now();
  for (const host of hosts) issue(host);
  return performance.now() - began;
}

function median(numbers: number[]): number {
  return numbers.sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? 0;
}

function rounds(issue: (host: Worker) => void): number {
  return median(Array.from({ length: ROUNDS }, () => timed(issue)));
}

const issuer = new CommandIssuer(
  { epoch: EPOCH, log: silentLogger, clock: systemClock },
  new DecisionLog(silentLogger, systemClock),
);
const plainMs = rounds((host) => {
  const orders = commandsFor(host, systemClock.now(), true);
  markStartsSent(host, orders, host.fencingToken(EPOCH));
});
const checkedMs = rounds((host) => void issuer.issue(host, true, [], MOST_ORDERS));
const orders = Number(values.machines) * Number(values.tasks);
const perOrder = ((checkedMs - plainMs) * NANOSECONDS) / orders;
console.log(`${values.machines} machines, ${orders} run orders, median of ${ROUNDS} rounds on this machine`);
console.log(`orders alone: ${plainMs.toFixed(1)} ms; with the check: ${checkedMs.toFixed(1)} ms`);
console.log(`the check: ${perOrder.toFixed(0)} ns an order; ${issuer.withheld} withheld`);
