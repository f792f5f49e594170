import { describe, expect, it } from 'vitest';
import { defaultOperators } from '../../src/config/operators.js';
import { TaskFailurePolicy } from '../../src/leader/task-failure-policy.js';
import { silentLogger } from '../../src/log/logger.js';
import type { MachineId, MachineTypeId, Revision, ZoneId } from '../../src/model/ids.js';
import type { MonotonicTime, WallTime } from '../../src/model/time.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
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

const createJob = (): ActiveJob => new ActiveJob(submission({}), 1 as Revision, 0 as WallTime, 300);

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
      policy.cordonIfFailing(failing);
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
