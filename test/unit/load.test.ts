import { describe, expect, it } from 'vitest';
import { LoadMonitor } from '../../src/controller/load-monitor.js';
import { Admission } from '../../src/api/admission.js';
import { MemoryMonitor } from '../../src/controller/memory-monitor.js';
import { WorkerRedirects } from '../../src/controller/worker-redirects.js';
import type { LeaderContext } from '../../src/core/context.js';
import { defaultOperators } from '../../src/config/operators.js';
import { openLogger } from '../../src/log/logger.js';
import type {
  MachineId,
  JobId,
  MemberId,
  AgentIncarnation,
  TaskId,
  FencingToken,
  MachineTypeId,
  ZoneId,
} from '../../src/model/ids.js';
import { type MonotonicTime, seconds } from '../../src/model/time.js';
import { NoAnswerError, NoSocketError } from '../../src/net/http-client.js';
import { YieldingWorkQueue } from '../../src/net/work-queue.js';
import type { PeerLink } from '../../src/peer/link.js';
import { NO_SOCKET_STATUS, RoutedCaller } from '../../src/peer/routed-caller.js';
import type { Task } from '../../src/scheduler/task.js';
import { WorkerFailureDetector } from '../../src/workers/failure-detector.js';
import { WorkerRegistry } from '../../src/workers/state/worker-registry.js';
import { VirtualClock } from '../simulation/clock.js';
import { workerOf } from '../simulation/worker-state.js';

describe('the load monitor', () => {
  it('tells a process that has used up its share from one that waits', async () => {
    const clock = new VirtualClock();
    const loop = { idle: 0, active: 0 };
    const monitor = new LoadMonitor(clock, () => ({ ...loop }));
    for (let i = 0; i < 8; i++) {
      loop.active += 500;
      await clock.advance(500);
    }
    expect(monitor.load).toBeGreaterThan(0.95);
    for (let i = 0; i < 8; i++) {
      loop.idle += 500;
      await clock.advance(500);
    }
    expect(monitor.load).toBeLessThan(0.05);
  });
});

describe('a busy leader', () => {
  const others = ['b', 'c'] as MemberId[];
  const host = (n: number): MachineId => `host-${n}` as MachineId;

  it('sends its workers to the other controllers in turn, and a leader with time to spare none', () => {
    const clock = new VirtualClock();
    let load = 0.9;
    const redirects = new WorkerRedirects(clock, () => load);
    const targets = [1, 2, 3, 4].map((n) => redirects.target(host(n), others));
    expect(new Set(targets)).toEqual(new Set(others));
    expect(redirects.target(host(5), [])).toBeNull();
    load = 0.3;
    expect(redirects.target(host(6), others)).toBeNull();
  });

  // A follower that cannot pass reports on would send the worker back, and its lease would run out between the two.
  it('keeps a worker that comes back soon', async () => {
    const clock = new VirtualClock();
    const redirects = new WorkerRedirects(clock, () => 1);
    expect(redirects.target(host(1), others)).not.toBeNull();
    await clock.advance(2000);
    expect(redirects.target(host(1), others)).toBeNull();
    await clock.advance(200_000);
    expect(redirects.target(host(1), others)).not.toBeNull();
  });
});

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

describe('turns', () => {
  // A socket brings hundreds of reports at once; a grant's renewal must not wait for all of them.
  it('are given in order, a few at a time, with room for other work between them', async () => {
    const deferred: (() => void)[] = [];
    const turns = new YieldingWorkQueue((run) => deferred.push(run), 3);
    const done: number[] = [];
    const all = Array.from({ length: 7 }, (_, n) => turns.turn().then(() => done.push(n)));
    const counts: number[] = [];
    for (let run = deferred.shift(); run; run = deferred.shift()) {
      run();
      await new Promise((resolve) => setImmediate(resolve));
      counts.push(done.length);
    }
    await Promise.all(all);
    expect(counts).toEqual([3, 6, 7]);
    expect(done).toEqual([0, 1, 2, 3, 4, 5, 6]);
    void turns.turn();
    expect(deferred).toHaveLength(1);
  });
});

describe('a process that runs out of memory', () => {
  it('drops its caches and refuses submissions, and takes them again afterwards', async () => {
    const clock = new VirtualClock();
    const heap = { used_heap_size: 50, heap_size_limit: 100 };
    let shed = 0;
    const memory = new MemoryMonitor(
      clock,
      () => shed++,
      () => ({ ...heap }),
    );
    const admission = new Admission(clock, { submission: 1, query: 1 }, () => memory.scarce);
    const taken = async (): Promise<boolean[]> => {
      await clock.advance(1000);
      return (['submission', 'query'] as const).map((rank) => {
        const entered = admission.enter(rank);
        if (entered) admission.leave(rank);
        return entered;
      });
    };
    expect(await taken()).toEqual([true, true]);
    heap.used_heap_size = 95;
    expect(await taken()).toEqual([false, true]);
    expect(shed).toBe(1);
    heap.used_heap_size = 50;
    expect(await taken()).toEqual([true, true]);
  });
});

describe('calls to workers from a busy leader', () => {
  const reply = { status: 200, body: Buffer.from('{}') };
  const link = (asked: string[], name: string, hasTime: boolean, status = 200): PeerLink =>
    ({
      isConnected: true,
      hasSpareCapacity: hasTime,
      request: () => {
        asked.push(name);
        return Promise.resolve({ ...reply, status });
      },
    }) as unknown as PeerLink;

  function caller(load: number, links: (asked: string[]) => PeerLink[]) {
    const asked: string[] = [];
    const direct = {
      call: () => {
        asked.push('direct');
        return Promise.resolve({ executed: true, heartbeat: null });
      },
    };
    const routed = new RoutedCaller(direct, links(asked), new VirtualClock(), () => load);
    const command = () =>
      routed.sendCommands('10.1.0.1:9000', 1 as FencingToken, 1 as AgentIncarnation, [], 1500);
    return { asked, command };
  }

  it('go through another controller that has time, and through none that has not', async () => {
    const idle = caller(0.2, (asked) => [link(asked, 'b', true)]);
    await idle.command();
    expect(idle.asked).toEqual(['direct']);
    const busy = caller(0.9, (asked) => [link(asked, 'b', true)]);
    await busy.command();
    expect(busy.asked).toEqual(['b']);
    const allBusy = caller(0.9, (asked) => [link(asked, 'b', false)]);
    await allBusy.command();
    expect(allBusy.asked).toEqual(['direct']);
  });

  it('are made directly after they failed there: that a controller reaches no worker says nothing of the worker', async () => {
    const failing = caller(0.9, (asked) => [link(asked, 'b', true, 503)]);
    await expect(failing.command()).rejects.toThrow(NoAnswerError);
    await failing.command();
    expect(failing.asked).toEqual(['b', 'direct']);
    // Nothing was sent: the host is under no suspicion.
    const full = caller(0.9, (asked) => [link(asked, 'b', true, NO_SOCKET_STATUS)]);
    await expect(full.command()).rejects.toThrow(NoSocketError);
  });
});
