import { describe, expect, it } from 'vitest';
import type { LeaderContext } from '../../src/core/context.js';
import { defaultOperators } from '../../src/config/operators.js';
import { openLogger } from '../../src/log/logger.js';
import type { MachineId, JobId, TaskId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { type MonotonicTime, seconds } from '../../src/model/time.js';
import type { Task } from '../../src/scheduler/task.js';
import { WorkerFailureDetector } from '../../src/workers/failure-detector.js';
import { WorkerRegistry } from '../../src/workers/state/worker-registry.js';
import { VirtualClock } from '../simulation/clock.js';
import { workerOf } from '../simulation/worker-state.js';

/** The workers probed in two ticks, of 300 with replicas whose last heartbeats are some seconds old. */
async function earlyProbes(cpuShare: number | null, load: number): Promise<MachineId[]> {
  const clock = new VirtualClock();
  const workers = new WorkerRegistry();
  const probed: MachineId[] = [];
  const ctx = {
    clock,
    workers,
    startedAt: clock.now(),
    operators: defaultOperators(),
    settings: { heartbeatInterval: seconds(6), workerLeaseDuration: seconds(34), cpuShare },
    isEnded: () => false,
    maxConcurrentWorkerCalls: 1000,
    load: () => load,
    workerClient: {
      fetchHeartbeat: (address: string) => {
        probed.push(address.split(':')[0] as MachineId);
        return new Promise(() => {});
      },
    },
  } as unknown as LeaderContext;
  const ignore = (): void => {};
  const detector = new WorkerFailureDetector(ctx, {
    predecessorRenewalMs: 0,
    onHeartbeat: ignore,
    fence: ignore,
    onLeaseExpired: ignore,
  });
  await clock.advance(4000);
  for (let n = 0; n < 300; n++) {
    const machine = {
      id: `host-${n}` as MachineId,
      type: 'small' as MachineTypeId,
      zone: 'north' as ZoneId,
      spot: false,
    };
    const host = workerOf(machine, clock.now());
    Object.assign(host, { isUp: true, hasReported: true, address: `${machine.id}:1` });
    const job = { spec: { id: `j-${n}` as JobId, kind: 'service' }, locate: ignore };
    host.assign({ id: `j-${n}/0` as TaskId, job } as unknown as Task);
    host.contact.recordHeartbeat((clock.now() - 2000 - n) as MonotonicTime);
    workers.add(host);
  }
  await clock.advance(100);
  detector.tick(clock.now());
  await clock.advance(100);
  detector.tick(clock.now());
  return probed;
}

describe('early probes of workers with replicas', () => {
  // With all of them probed, they took a third of a leader's processor time on a tenth of a core.
  it('take a bounded part of the processor time, the longest silent first', async () => {
    const small = await earlyProbes(0.1, 0);
    expect(small.length).toBeGreaterThan(0);
    expect(small.length).toBeLessThanOrEqual(26);
    expect(small[0]).toBe('host-299');
    const whole = await earlyProbes(1, 0);
    expect(whole.length).toBeGreaterThan(100);
    expect((await earlyProbes(null, 0)).length).toBe(whole.length);
  });

  it('are not made by a leader that is behind with its work', async () => {
    expect(await earlyProbes(0.1, 0.9)).toEqual([]);
  });
});

describe('the log', () => {
  it('writes one JSON object a line, at or above its level', () => {
    const lines: string[] = [];
    const log = openLogger('node-0', 'info', (line) => lines.push(line));
    log.debug({}, 'not written');
    log.info({ jobs: 3 }, 'written');
    log.error({ error: 'a\nb' }, 'written too');
    expect(lines.map((line) => line.indexOf('\n') === line.length - 1)).toEqual([true, true]);
    expect(lines.map((line) => JSON.parse(line) as unknown)).toMatchObject([
      { level: 30, member: 'node-0', jobs: 3, msg: 'written' },
      { level: 50, member: 'node-0', error: 'a\nb', msg: 'written too' },
    ]);
  });
});
