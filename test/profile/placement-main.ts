/**
 * Measures the time that the check of start commands against the placement rule takes. The benchmark creates the
 * commands for every machine of a fleet with and without the check: `npm run measure:placement -- --machines 4000
 * --tasks 8`.
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
const TASKS_PER_JOB = 70;
const MAX_COMMAND_COUNT = 250;
const ROUND_COUNT = 9;
const NANOSECONDS_PER_MS = 1e6;

const { values } = parseArgs({
  options: { machines: { type: 'string', default: '4000' }, tasks: { type: 'string', default: '8' } },
});

/** Creates a job. Every third job has zone anti-affinity, for which the check also reads the job's other tasks. */
function createJob(index: number): ActiveJob {
  const spec: JobSpec = {
    ...submission({}),
    id: `j-${index}` as JobId,
    taskCount: TASKS_PER_JOB,
    allowsSpot: true,
    zoneAntiAffinity: index % 3 === 0,
  };
  return new ActiveJob(spec, 1 as Revision, 0 as WallTime);
}

function fleet(machines: number, tasks: number): Worker[] {
  const now = systemClock.now();
  const workers: Worker[] = [];
  let job = createJob(0);
  let jobs = 1;
  for (let index = 0; index < machines; index++) {
    const zone = MIXED_ZONES[index % MIXED_ZONES.length] as (typeof MIXED_ZONES)[0];
    const worker = confirmedWorker(
      { id: `host-${index}` as MachineId, type: MACHINE_TYPES[0]?.id as MachineTypeId, zone, spot: true },
      now,
    );
    for (let count = 0; count < tasks; count++) {
      if (job.waitingCount === 0) job = createJob(jobs++);
      const task = job.beginAttempt(worker.id, zone, now);
      job.confirmPlacement(task);
      worker.assign(task);
    }
    workers.push(worker);
  }
  return workers;
}

/** Returns the time in milliseconds for the first commands to all machines of a new fleet. */
function measureRound(issueCommands: (worker: Worker) => void): number {
  const workers = fleet(Number(values.machines), Number(values.tasks));
  const startedAt = performance.now();
  for (const worker of workers) issueCommands(worker);
  return performance.now() - startedAt;
}

function median(numbers: number[]): number {
  return numbers.sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0;
}

function medianOfRounds(issueCommands: (worker: Worker) => void): number {
  return median(Array.from({ length: ROUND_COUNT }, () => measureRound(issueCommands)));
}

const issuer = new CommandIssuer(
  { epoch: EPOCH, log: silentLogger, clock: systemClock },
  new DecisionLog(silentLogger, systemClock),
);
const withoutCheckMs = medianOfRounds((worker) => {
  const commands = commandsFor(worker, systemClock.now(), true);
  markStartsSent(worker, commands, worker.fencingToken(EPOCH));
});
const withCheckMs = medianOfRounds((worker) => void issuer.issue(worker, true, [], MAX_COMMAND_COUNT));
const commandCount = Number(values.machines) * Number(values.tasks);
const perCommandNs = ((withCheckMs - withoutCheckMs) * NANOSECONDS_PER_MS) / commandCount;
console.log(
  `${values.machines} machines, ${commandCount} start commands, median of ${ROUND_COUNT} rounds on this machine`,
);
console.log(`commands alone: ${withoutCheckMs.toFixed(1)} ms; with the check: ${withCheckMs.toFixed(1)} ms`);
console.log(`the check: ${perCommandNs.toFixed(0)} ns per command; ${issuer.withheld} withheld`);
