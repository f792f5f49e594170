/**
 * What the check of run orders costs a leader: orders for every machine of a fleet, with and without it.
 * `npm run measure:placement -- --machines 4000 --tasks 8`
 */
import { parseArgs } from 'node:util';
import { DecisionLog } from '../../src/log/decision-log.js';
import { silentLog } from '../../src/log/logger.js';
import type { Epoch, HostId, JobId, Revision, TypeId } from '../../src/model/ids.js';
import type { JobSpec } from '../../src/model/job.js';
import { realClock, type WallTime } from '../../src/model/time.js';
import { OpenJob } from '../../src/scheduler/active-job.js';
import type { Host } from '../../src/workers/state/worker.js';
import { OrderIssuer } from '../../src/workers/command-issuer.js';
import { markSent, ordersFor } from '../../src/workers/worker-commands.js';
import { hostOf } from '../standins/host.js';
import { MIXED_ZONES, TYPES } from '../standins/site-setup.js';
import { submission } from '../standins/submission.js';

const EPOCH = 1 as Epoch;
const TASKS_A_JOB = 70;
const MOST_ORDERS = 250;
const ROUNDS = 9;
const NANOSECONDS = 1e6;

const { values } = parseArgs({
  options: { machines: { type: 'string', default: '4000' }, tasks: { type: 'string', default: '8' } },
});

/** Every third job is spread: the zones of its other tasks are asked as well. */
function jobAt(n: number): OpenJob {
  const spec: JobSpec = {
    ...submission({}),
    id: `j-${n}` as JobId,
    tasks: TASKS_A_JOB,
    spot: true,
    spread: n % 3 === 0,
  };
  return new OpenJob(spec, 1 as Revision, 0 as WallTime);
}

function fleet(machines: number, tasks: number): Host[] {
  const now = realClock.now();
  const hosts: Host[] = [];
  let job = jobAt(0);
  let jobs = 1;
  for (let n = 0; n < machines; n++) {
    const zone = MIXED_ZONES[n % MIXED_ZONES.length] as (typeof MIXED_ZONES)[0];
    const host = hostOf({ id: `host-${n}` as HostId, type: TYPES[0]?.id as TypeId, zone, spot: true }, now);
    for (let t = 0; t < tasks; t++) {
      if (job.waiting === 0) job = jobAt(jobs++);
      const task = job.decide(host.id, zone, now);
      job.placed(task);
      host.put(task);
    }
    hosts.push(host);
  }
  return hosts;
}

/** Milliseconds for the first orders of all machines. */
function timed(issue: (host: Host) => void): number {
  const hosts = fleet(Number(values.machines), Number(values.tasks));
  const began = performance.now();
  for (const host of hosts) issue(host);
  return performance.now() - began;
}

function median(numbers: number[]): number {
  return numbers.sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? 0;
}

function rounds(issue: (host: Host) => void): number {
  return median(Array.from({ length: ROUNDS }, () => timed(issue)));
}

const issuer = new OrderIssuer(
  { epoch: EPOCH, log: silentLog, clock: realClock },
  new DecisionLog(silentLog, realClock),
);
const plainMs = rounds((host) => {
  const orders = ordersFor(host, realClock.now(), true);
  markSent(host, orders, host.token(EPOCH));
});
const checkedMs = rounds((host) => void issuer.issue(host, true, [], MOST_ORDERS));
const orders = Number(values.machines) * Number(values.tasks);
const perOrder = ((checkedMs - plainMs) * NANOSECONDS) / orders;
console.log(`${values.machines} machines, ${orders} run orders, median of ${ROUNDS} rounds on this machine`);
console.log(`orders alone: ${plainMs.toFixed(1)} ms; with the check: ${checkedMs.toFixed(1)} ms`);
console.log(`the check: ${perOrder.toFixed(0)} ns an order; ${issuer.withheld} withheld`);
