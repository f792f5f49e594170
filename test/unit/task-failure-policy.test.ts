import { describe, expect, it } from 'vitest';
import { defaultOperators } from '../../src/config/operators.js';
import { TaskFailurePolicy } from '../../src/leader/task-failure-policy.js';
import { silentLogger } from '../../src/log/logger.js';
import type { MachineId, MachineTypeId, Revision, ZoneId } from '../../src/model/ids.js';
import { type MonotonicTime, plus, type WallTime } from '../../src/model/time.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import type { Task } from '../../src/scheduler/task.js';
import { acceptsTrialTask, unschedulableReason } from '../../src/workers/state/schedulability.js';
import type { Worker } from '../../src/workers/state/worker.js';
import { submission } from '../simulation/submission.js';
import { confirmedWorker } from '../simulation/worker-state.js';

const NOW = 5000 as MonotonicTime;

function createWorker(id: string): Worker {
  const machine = {
    id: id as MachineId,
    type: 'small' as MachineTypeId,
    zone: 'north' as ZoneId,
    spot: false,
  };
  return confirmedWorker(machine, NOW);
}

const createJob = (ref = 'j-000001'): ActiveJob =>
  new ActiveJob(submission({ ref }), 1 as Revision, 0 as WallTime, 300);

/** Returns how long the job backs off from `NOW`, in milliseconds; null if the job does not back off. */
function backoffMs({ failures }: ActiveJob): number | null {
  let durationMs = 0;
  while (failures.isBackingOff((NOW + durationMs) as MonotonicTime)) durationMs++;
  return durationMs === 0 ? null : durationMs;
}

describe('TaskFailurePolicy', () => {
  const operators = defaultOperators();
  const policy = new TaskFailurePolicy({ log: silentLogger, operators });

  it('counts failures against the machine and cordons it at the maximum number of failures', () => {
    const failing = createWorker('a');
    for (let failures = 1; failures <= operators.workers.maxTaskFailures; failures++) {
      expect(failing.cordon).toBeNull();
      policy.recordFailure(failing, createJob(), NOW);
      policy.cordonIfFailing(failing, NOW);
    }
    expect(failing.cordon).toBe('failing');
  });

  it('counts failures on several machines against the job, which backs off longer after each failure', () => {
    const faulty = createJob();
    const workers = ['a', 'b', 'c', 'd'].map(createWorker);
    const backoffs = workers.map((failedOn) => {
      policy.recordFailure(failedOn, faulty, NOW);
      return backoffMs(faulty);
    });
    expect(workers.map(({ taskFailureCount }) => taskFailureCount)).toEqual([1, 0, 0, 0]);
    expect(backoffs).toEqual([null, null, 2000, 4000]);
  });
});

describe('attribution of failures', () => {
  const operators = defaultOperators();
  const policy = new TaskFailurePolicy({ log: silentLogger, operators });

  function fail(worker: Worker, job: ActiveJob, ranMs: number | null = null): void {
    const task = job.beginAttempt(worker.id, 'north' as ZoneId, NOW);
    policy.apply(worker, { finished: [], failed: [{ task, cause: 'error', ranMs }] }, NOW);
    job.releaseTask(task, NOW);
  }

  /** Returns a job that has failed on as many machines as a faulty one. */
  function jobThatFailedElsewhere(ref = 'j-000001'): ActiveJob {
    const job = createJob(ref);
    for (const id of ['x', 'y', 'z']) fail(createWorker(id), job);
    return job;
  }

  // Guards against a failing machine that is never cordoned, since each job that fails there has failed elsewhere before.
  it('counts failures of several jobs against the machine, though each has failed on other machines', () => {
    const worker = createWorker('a');
    const failedJobs = [1, 2, 3, 4, 5].map((number) => jobThatFailedElsewhere(`j-00010${number}`));
    for (const job of failedJobs.slice(0, 4)) fail(worker, job);
    expect(worker.cordon).toBeNull();
    for (const job of failedJobs.slice(4)) fail(worker, job);
    expect(worker.cordon).toBe('failing');
  });

  it('counts failures of a job that has succeeded against the machine, and ends the backoff of such a job', () => {
    const job = jobThatFailedElsewhere();
    expect(backoffMs(job)).toBe(2000);
    const task = job.beginAttempt('w' as MachineId, 'north' as ZoneId, NOW);
    job.finishTask(task, NOW);
    policy.apply(createWorker('w'), { finished: [{ task, ranMs: 100 }], failed: [] }, NOW);
    expect(backoffMs(job)).toBeNull();
    const worker = createWorker('a');
    for (let failures = 0; failures < operators.workers.maxTaskFailures; failures++) fail(worker, job);
    expect(worker.cordon).toBe('failing');
  });

  // Guards against a service that failed on three machines in the past and backs off after every later failure.
  it('does not count earlier failures against a job of which a task has run for a minute', () => {
    const job = jobThatFailedElsewhere();
    fail(createWorker('a'), job, 60_000);
    expect(job.failures.machineCount).toBe(1);
    expect(backoffMs(job)).toBeNull();
  });

  it('does not count failures on a machine that is cordoned as failing against the job', () => {
    const worker = createWorker('a');
    worker.taskFailureCount = operators.workers.maxTaskFailures;
    policy.cordonIfFailing(worker, NOW);
    const job = createJob();
    fail(worker, job);
    expect(job.failures.machineCount).toBe(0);
    expect([...job.failures.avoidedMachines(NOW)]).toEqual(['a']);
  });
});

describe('JobFailures', () => {
  /** Returns for how long the job avoids the machine `a` after one failure there at each of the times, in seconds. */
  function avoidanceS(failureTimes: readonly MonotonicTime[]): number {
    const { failures } = createJob();
    for (const at of failureTimes) failures.record('a' as MachineId, at);
    let seconds = 0;
    while (failures.avoidedMachines(plus(failureTimes.at(-1) ?? NOW, seconds * 1000)).size > 0) seconds++;
    return seconds;
  }

  it('avoids a machine for 40 s after a failure there, and for at most 60 s after further ones', () => {
    expect(avoidanceS([NOW])).toBe(40);
    expect(avoidanceS([NOW, NOW])).toBe(60);
    expect(avoidanceS([NOW, NOW, NOW, NOW])).toBe(60);
  });
});

describe('quarantine of a failing machine', () => {
  const operators = defaultOperators();
  const policy = new TaskFailurePolicy({ log: silentLogger, operators });
  const FIRST_TRIAL_AT = plus(NOW, 30_000);
  const NONE = { finished: [], failed: [] };

  function cordonedWorker(): Worker {
    const worker = createWorker('a');
    worker.taskFailureCount = operators.workers.maxTaskFailures;
    policy.cordonIfFailing(worker, NOW);
    return worker;
  }

  function beginTrial(worker: Worker, now: MonotonicTime): Task {
    const task = createJob().beginAttempt(worker.id, 'north' as ZoneId, now);
    worker.assign(task);
    worker.quarantine.recordTrial(task);
    return task;
  }

  function endTrial(worker: Worker, task: Task, cause: string, now: MonotonicTime): void {
    worker.unassign(task);
    policy.apply(worker, { finished: [], failed: [{ task, cause, ranMs: null }] }, now);
  }

  /** Returns the time from `from` until the machine accepts a trial task, in seconds; null: more than 60 s. */
  function secondsToTrial(worker: Worker, from: MonotonicTime): number | null {
    for (let seconds = 0; seconds <= 60; seconds++)
      if (worker.quarantine.acceptsTrial(worker.tasks, plus(from, seconds * 1000))) return seconds;
    return null;
  }

  it('accepts one task at a time after a pause, which grows to 45 s with trials that fail', () => {
    const worker = cordonedWorker();
    let now = NOW;
    const pauses = [1, 2, 3].map(() => {
      const pause = secondsToTrial(worker, now);
      now = plus(now, (pause ?? 0) * 1000);
      const task = beginTrial(worker, now);
      expect(worker.quarantine.acceptsTrial(worker.tasks, now)).toBe(false);
      endTrial(worker, task, 'error', now);
      expect(worker.cordon).toBe('failing');
      return pause;
    });
    expect(pauses).toEqual([30, 45, 45]);
  });

  it('ends with a trial task that succeeds', () => {
    const worker = cordonedWorker();
    const task = beginTrial(worker, FIRST_TRIAL_AT);
    worker.unassign(task);
    policy.apply(worker, { finished: [{ task, ranMs: 100 }], failed: [] }, FIRST_TRIAL_AT);
    expect(worker.cordon).toBeNull();
    expect(worker.taskFailureCount).toBe(0);
  });

  it('ends with a trial task that runs for 5 s, and begins again with a single failure after that', () => {
    const worker = cordonedWorker();
    const task = beginTrial(worker, FIRST_TRIAL_AT);
    task.observedState = 'running';
    task.runningAt = FIRST_TRIAL_AT;
    policy.apply(worker, NONE, plus(FIRST_TRIAL_AT, 4900));
    expect(worker.cordon).toBe('failing');
    policy.apply(worker, NONE, plus(FIRST_TRIAL_AT, 5000));
    expect(worker.cordon).toBeNull();
    endTrial(worker, task, 'error', plus(FIRST_TRIAL_AT, 6000));
    expect(worker.cordon).toBe('failing');
    expect(secondsToTrial(worker, plus(FIRST_TRIAL_AT, 6000))).toBe(45);
  });

  // Guards against a late copy of a heartbeat that ends the quarantine of a machine that hangs with its trial task.
  it('does not end with a heartbeat that is older than the 5 s of the trial', () => {
    const worker = cordonedWorker();
    const task = beginTrial(worker, FIRST_TRIAL_AT);
    task.observedState = 'running';
    task.runningAt = FIRST_TRIAL_AT;
    worker.contact.recordHeartbeat(plus(FIRST_TRIAL_AT, 1000));
    policy.apply(worker, NONE, plus(FIRST_TRIAL_AT, 6000));
    expect(worker.cordon).toBe('failing');
  });

  // Guards against a quarantine that waits for the result of a trial task that was stopped or lost.
  it('accepts another trial at once if the trial task ends without a result', () => {
    const worker = cordonedWorker();
    const stopped = beginTrial(worker, FIRST_TRIAL_AT);
    endTrial(worker, stopped, 'stopped', FIRST_TRIAL_AT);
    expect(worker.quarantine.acceptsTrial(worker.tasks, FIRST_TRIAL_AT)).toBe(true);
    const lost = beginTrial(worker, FIRST_TRIAL_AT);
    worker.unassign(lost);
    policy.apply(worker, NONE, FIRST_TRIAL_AT);
    expect(worker.quarantine.acceptsTrial(worker.tasks, FIRST_TRIAL_AT)).toBe(true);
  });

  it('is not affected by tasks that were placed before it, and not ended on a machine that is being deleted', () => {
    const worker = cordonedWorker();
    const earlier = createJob().beginAttempt(worker.id, 'north' as ZoneId, NOW);
    policy.apply(worker, { finished: [{ task: earlier, ranMs: 100 }], failed: [] }, NOW);
    expect(worker.cordon).toBe('failing');
    const task = beginTrial(worker, FIRST_TRIAL_AT);
    worker.isRemoving = true;
    policy.apply(worker, { finished: [{ task, ranMs: 100 }], failed: [] }, FIRST_TRIAL_AT);
    expect(worker.cordon).toBe('failing');
  });

  // Guards against a trial that fetches a large image, and keeps the machine from the tasks that could show success.
  it('accepts another trial after 20 s beside one that has not started to run', () => {
    const worker = cordonedWorker();
    const fetching = beginTrial(worker, FIRST_TRIAL_AT);
    expect(secondsToTrial(worker, FIRST_TRIAL_AT)).toBe(20);
    const task = beginTrial(worker, plus(FIRST_TRIAL_AT, 20_000));
    expect(secondsToTrial(worker, plus(FIRST_TRIAL_AT, 20_000))).toBe(20);
    worker.unassign(fetching);
    policy.apply(worker, { finished: [{ task: fetching, ranMs: 10 }], failed: [] }, FIRST_TRIAL_AT);
    expect(worker.cordon).toBeNull();
    expect(worker.quarantine.isTrial(task)).toBe(false);
  });
});

describe('probation of a machine on which a task has failed', () => {
  const policy = new TaskFailurePolicy({ log: silentLogger, operators: defaultOperators() });

  function workerOnProbation(): Worker {
    const worker = createWorker('a');
    worker.hasReported = true;
    policy.recordFailure(worker, createJob(), NOW);
    return worker;
  }

  // Guards against a failing machine that gets tasks for all of its room again and again before it is cordoned.
  it('admits one trial task at a time, at once', () => {
    const worker = workerOnProbation();
    expect(unschedulableReason(worker, NOW)).toBe('probation');
    expect(acceptsTrialTask(worker, NOW)).toBe(true);
    const task = createJob().beginAttempt(worker.id, 'north' as ZoneId, NOW);
    worker.assign(task);
    worker.quarantine.recordTrial(task);
    expect(acceptsTrialTask(worker, NOW)).toBe(false);
  });

  it('ends with a trial that succeeds, not with a task that ran before, and after 60 s', () => {
    const worker = workerOnProbation();
    const task = createJob().beginAttempt(worker.id, 'north' as ZoneId, NOW);
    const succeed = (): void => {
      worker.recordTaskSuccess(task, NOW);
      policy.apply(worker, { finished: [{ task, ranMs: 100 }], failed: [] }, NOW);
    };
    succeed();
    expect(unschedulableReason(worker, NOW)).toBe('probation');
    expect(worker.taskFailureCount).toBe(1);
    worker.quarantine.recordTrial(task);
    succeed();
    expect(unschedulableReason(worker, NOW)).toBeNull();
    expect(worker.taskFailureCount).toBe(0);
    expect(unschedulableReason(workerOnProbation(), plus(NOW, 59_900))).toBe('probation');
    expect(unschedulableReason(workerOnProbation(), plus(NOW, 60_000))).toBeNull();
  });

  it('does not begin with a failure of a job that is at fault itself', () => {
    const faulty = createJob();
    for (const id of ['x', 'y']) policy.recordFailure(createWorker(id), faulty, NOW);
    const worker = createWorker('a');
    worker.hasReported = true;
    policy.recordFailure(worker, faulty, NOW);
    expect(unschedulableReason(worker, NOW)).toBeNull();
  });
});
