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
import { confirmedWorker } from '../simulation/worker-state.js';

/** Three machines, one of them silent; whether it is fenced when a probe fails after `failsMs`. */
async function fenced(failsMs: number): Promise<boolean> {
  const clock = new VirtualClock();
  const workers = new WorkerRegistry();
  for (const name of ['a', 'b', 'c']) {
    const machine = {
      id: name as MachineId,
      type: 'small' as MachineTypeId,
      zone: 'north' as ZoneId,
      spot: false,
    };
    const host = confirmedWorker(machine, clock.now());
    host.isUp = true;
    host.hasReported = true;
    host.address = `${name}:1`;
    workers.add(host);
  }
  let fence = false;
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
  const health = new WorkerFailureDetector(
    ctx,
    0,
    () => {},
    () => {
      fence = true;
    },
    () => {},
  );
  for (let tick = 0; tick < 24; tick++) {
    await clock.advance(500);
    for (const id of ['b', 'c']) {
      const host = workers.get(id as MachineId) as Worker;
      host.lastContactAt = clock.now();
      health.recordHeartbeat(host, clock.now());
    }
    health.tick(clock.now());
  }
  return fence;
}

describe('a silent machine', () => {
  it('is fenced when it does not answer in time', async () => {
    expect(await fenced(800)).toBe(true);
  });

  it('is not accused when the deadline was noticed late: its answer may lie unread', async () => {
    expect(await fenced(2000)).toBe(false);
  });
});
