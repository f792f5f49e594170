import { describe, expect, it } from 'vitest';
import type { LeaderContext } from '../../src/core/context.js';
import { defaultOperators } from '../../src/config/operators.js';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { seconds } from '../../src/model/time.js';
import { NoAnswerError } from '../../src/net/http-client.js';
import { WorkerFailureDetector } from '../../src/workers/failure-detector.js';
import { type Worker } from '../../src/workers/state/worker.js';
import { WorkerRegistry } from '../../src/workers/state/worker-registry.js';
import { VirtualClock } from '../simulation/clock.js';
import { workerOf } from '../simulation/worker-state.js';

/** Three workers, one of them silent: returns whether its machine is fenced when probes fail after `failsMs`. */
async function isSilentWorkerFenced(failsMs: number): Promise<boolean> {
  const clock = new VirtualClock();
  const workers = new WorkerRegistry();
  for (const name of ['a', 'b', 'c']) {
    const machine = {
      id: name as MachineId,
      type: 'small' as MachineTypeId,
      zone: 'north' as ZoneId,
      spot: false,
    };
    const worker = workerOf(machine, clock.now());
    worker.isUp = true;
    worker.hasReported = true;
    worker.address = `${name}:1`;
    workers.add(worker);
  }
  let isFenced = false;
  const ctx = {
    clock,
    workers,
    startedAt: clock.now(),
    operators: defaultOperators(),
    settings: { heartbeatInterval: seconds(3), workerLeaseDuration: seconds(20) },
    isEnded: () => false,
    maxConcurrentWorkerCalls: 64,
    load: () => 0,
    workerClient: {
      fetchHeartbeat: () =>
        new Promise((_, reject) => clock.after(failsMs, () => reject(new NoAnswerError('deadline passed')))),
    },
  } as unknown as LeaderContext;
  const detector = new WorkerFailureDetector(ctx, {
    predecessorRenewalMs: 0,
    onHeartbeat: () => {},
    fence: () => {
      isFenced = true;
    },
    onLeaseExpired: () => {},
  });
  for (let tick = 0; tick < 24; tick++) {
    await clock.advance(500);
    for (const id of ['b', 'c']) {
      const worker = workers.get(id as MachineId) as Worker;
      worker.contact.recordContact(clock.now());
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

  it('does not count probes whose timeout was noticed late: the answer may lie unread', async () => {
    expect(await isSilentWorkerFenced(2000)).toBe(false);
  });
});
