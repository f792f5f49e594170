import { describe, expect, it } from 'vitest';
import { defaultOperators } from '../../src/config/operators.js';
import type { JobId, MachineId, MachineTypeId, Revision, ZoneId } from '../../src/model/ids.js';
import { type MonotonicTime, seconds, type WallTime } from '../../src/model/time.js';
import { NoAnswerError } from '../../src/net/http-client.js';
import { ActiveJob } from '../../src/scheduler/active-job.js';
import type { FailureDetectionContext } from '../../src/workers/failure-detection-context.js';
import {
  WorkerFailureDetector,
  type WorkerFailureDetectorOptions,
} from '../../src/workers/failure-detector.js';
import type { Worker } from '../../src/workers/state/worker.js';
import { WorkerRegistry } from '../../src/workers/state/worker-registry.js';
import { VirtualClock } from '../simulation/clock.js';
import { submission } from '../simulation/submission.js';
import { confirmedWorker } from '../simulation/worker-state.js';

const ZONE = 'north' as ZoneId;

/** Returns a worker that is up and accepts direct calls. */
function runningWorker(name: string, now: MonotonicTime): Worker {
  const machine = { id: name as MachineId, type: 'small' as MachineTypeId, zone: ZONE, spot: false };
  const worker = confirmedWorker(machine, now);
  worker.isUp = true;
  worker.hasReported = true;
  worker.address = `${name}:1`;
  return worker;
}

function createContext(
  clock: VirtualClock,
  overrides: Pick<FailureDetectionContext, 'settings' | 'workerClient'> & Partial<FailureDetectionContext>,
): FailureDetectionContext {
  return {
    clock,
    workers: new WorkerRegistry(),
    startedAt: clock.now(),
    operators: defaultOperators(),
    isEnded: () => false,
    maxConcurrentWorkerCalls: 64,
    load: () => 0,
    ...overrides,
  };
}

const createOptions = (
  overrides: Partial<WorkerFailureDetectorOptions> = {},
): WorkerFailureDetectorOptions => ({
  predecessorRenewalMs: 0,
  onHeartbeat: () => {},
  fence: () => {},
  onLeaseExpired: () => {},
  ...overrides,
});

/**
 * Returns whether the machine of one silent worker out of three is fenced within 12 s if probes fail after
 * `probeFailureDelayMs`.
 */
async function isSilentWorkerFenced(probeFailureDelayMs: number): Promise<boolean> {
  const clock = new VirtualClock();
  const ctx = createContext(clock, {
    settings: { heartbeatInterval: seconds(3), workerLeaseDuration: seconds(20), cpuShare: null },
    workerClient: {
      fetchHeartbeat: () =>
        new Promise((_, reject) =>
          clock.after(probeFailureDelayMs, () =>
            reject(new NoAnswerError('worker did not answer before the deadline')),
          ),
        ),
    },
  });
  for (const name of ['a', 'b', 'c']) ctx.workers.add(runningWorker(name, clock.now()));
  let isFenced = false;
  const fence = (): void => {
    isFenced = true;
  };
  const detector = new WorkerFailureDetector(ctx, createOptions({ fence }));
  for (let tick = 0; tick < 24; tick++) {
    await clock.advance(500);
    for (const id of ['b', 'c']) {
      const worker = ctx.workers.get(id as MachineId) as Worker;
      worker.contact.recordDelivery(clock.now());
      detector.recordHeartbeat(worker, clock.now());
    }
    detector.tick(clock.now());
  }
  return isFenced;
}

describe('WorkerFailureDetector, with a silent worker', () => {
  it('fences its machine when probes time out', async () => {
    expect(await isSilentWorkerFenced(800)).toBe(true);
  });

  it('does not count probes whose timeout is processed late, since the answer may be unread', async () => {
    expect(await isSilentWorkerFenced(2000)).toBe(false);
  });
});

function assignReplica(worker: Worker, number: number, now: MonotonicTime): void {
  const spec = { ...submission({ shape: 'service', shards: 1 }), id: `j-${number}` as JobId };
  const job = new ActiveJob(spec, 1 as Revision, 0 as WallTime);
  worker.assign(job.beginAttempt(worker.id, ZONE, now));
}

/** Returns the workers probed in two ticks, out of 300 with replicas whose last heartbeats are over 2 seconds old. */
async function workersProbedEarly(cpuShare: number | null, load: number): Promise<MachineId[]> {
  const clock = new VirtualClock();
  const probed: MachineId[] = [];
  const ctx = createContext(clock, {
    settings: { heartbeatInterval: seconds(6), workerLeaseDuration: seconds(34), cpuShare },
    maxConcurrentWorkerCalls: 1000,
    load: () => load,
    workerClient: {
      fetchHeartbeat: (address: string) => {
        probed.push(address.split(':')[0] as MachineId);
        return new Promise(() => {});
      },
    },
  });
  const detector = new WorkerFailureDetector(ctx, createOptions());
  await clock.advance(4000);
  for (let index = 0; index < 300; index++) {
    const worker = runningWorker(`host-${index}`, clock.now());
    assignReplica(worker, index, clock.now());
    worker.contact.recordHeartbeat((clock.now() - 2000 - index) as MonotonicTime);
    ctx.workers.add(worker);
  }
  await clock.advance(100);
  detector.tick(clock.now());
  await clock.advance(100);
  detector.tick(clock.now());
  return probed;
}

describe('early probes of workers with replicas', () => {
  // Guards against probing all silent workers before their heartbeats are overdue: if a leader may use a tenth of a
  // core, these probes take an estimated third of the processor time that it may use.
  it('use a bounded ratio of the processor time and start with the longest silent worker', async () => {
    const small = await workersProbedEarly(0.1, 0);
    expect(small.length).toBeGreaterThan(0);
    expect(small.length).toBeLessThanOrEqual(26);
    expect(small[0]).toBe('host-299');
    const whole = await workersProbedEarly(1, 0);
    expect(whole.length).toBeGreaterThan(100);
    expect((await workersProbedEarly(null, 0)).length).toBe(whole.length);
  });

  it('are not sent by a leader under high load', async () => {
    expect(await workersProbedEarly(0.1, 0.9)).toEqual([]);
  });
});
