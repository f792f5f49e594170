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
import { seconds } from '../../src/model/time.js';
import { NoAnswerError, NoSocketError } from '../../src/net/http-client.js';
import { YieldingWorkQueue } from '../../src/net/work-queue.js';
import type { Peer } from '../../src/peer/peer.js';
import { NO_SOCKET_STATUS, RoutedCaller } from '../../src/peer/routed-caller.js';
import type { Task } from '../../src/scheduler/task.js';
import { WorkerFailureDetector } from '../../src/workers/failure-detector.js';
import type { Worker } from '../../src/workers/state/worker.js';
import { WorkerRegistry } from '../../src/workers/state/worker-registry.js';
import { VirtualClock } from '../simulation/clock.js';
import { workerOf } from '../simulation/worker-state.js';

describe('LoadMonitor', () => {
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

describe('WorkerRedirects', () => {
  const others = ['b', 'c'] as MemberId[];
  const worker = (index: number): MachineId => `host-${index}` as MachineId;

  it("redirects a busy leader's workers to the other controllers in turn, and no worker of an idle one", () => {
    const clock = new VirtualClock();
    let load = 0.9;
    const redirects = new WorkerRedirects(clock, () => load);
    const targets = [1, 2, 3, 4].map((index) => redirects.targetFor(worker(index), others));
    expect(new Set(targets)).toEqual(new Set(others));
    expect(redirects.targetFor(worker(5), [])).toBeNull();
    load = 0.3;
    expect(redirects.targetFor(worker(6), others)).toBeNull();
  });

  // A follower that cannot pass reports on would send the worker back, and its lease would run out between the two.
  it('keeps a worker that comes back soon', async () => {
    const clock = new VirtualClock();
    const redirects = new WorkerRedirects(clock, () => 1);
    expect(redirects.targetFor(worker(1), others)).not.toBeNull();
    await clock.advance(2000);
    expect(redirects.targetFor(worker(1), others)).toBeNull();
    await clock.advance(200_000);
    expect(redirects.targetFor(worker(1), others)).not.toBeNull();
  });
});

/** Questions to 300 machines with replicas that have not reported for so long, in one tick. */
async function questions(cpuShare: number | null, load: number): Promise<MachineId[]> {
  const clock = new VirtualClock();
  const workers = new WorkerRegistry();
  const asked: MachineId[] = [];
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
        asked.push(address.split(':')[0] as MachineId);
        return new Promise(() => {});
      },
    },
  } as unknown as LeaderContext;
  const ignore = (): void => {};
  const health = new WorkerFailureDetector(ctx, 0, ignore, ignore, ignore);
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
    host.lastHeartbeatAt = (clock.now() - 2000 - n) as Worker['lastHeartbeatAt'];
    workers.add(host);
  }
  await clock.advance(100);
  health.tick(clock.now());
  await clock.advance(100);
  health.tick(clock.now());
  return asked;
}

describe('early questions to machines with replicas', () => {
  // With all of them asked, they took a third of a leader's processor time on a tenth of a core.
  it('take a bounded part of the processor time, the longest silent first', async () => {
    const small = await questions(0.1, 0);
    expect(small.length).toBeGreaterThan(0);
    expect(small.length).toBeLessThanOrEqual(26);
    expect(small[0]).toBe('host-299');
    const whole = await questions(1, 0);
    expect(whole.length).toBeGreaterThan(100);
    expect((await questions(null, 0)).length).toBe(whole.length);
  });

  it('are not asked by a leader that is behind with its work', async () => {
    expect(await questions(0.1, 0.9)).toEqual([]);
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

describe('MemoryMonitor', () => {
  it('drops caches and refuses submissions while memory is scarce, and admits them again afterwards', async () => {
    const clock = new VirtualClock();
    const heap = { used_heap_size: 50, heap_size_limit: 100 };
    let drops = 0;
    const memory = new MemoryMonitor(
      clock,
      () => drops++,
      () => ({ ...heap }),
    );
    const admission = new Admission(clock, { submission: 1, query: 1 }, () => memory.isScarce);
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
    expect(drops).toBe(1);
    heap.used_heap_size = 50;
    expect(await taken()).toEqual([true, true]);
  });
});

describe('RoutedCaller', () => {
  const reply = { status: 200, body: Buffer.from('{}') };
  const peer = (asked: string[], name: string, hasSpareCapacity: boolean, status = 200): Peer => ({
    member: name as MemberId,
    lastPing: null,
    isConnected: true,
    hasSpareCapacity,
    supports: () => true,
    request: () => {
      asked.push(name);
      return Promise.resolve({ ...reply, status });
    },
  });

  function caller(load: number, peers: (asked: string[]) => Peer[]) {
    const asked: string[] = [];
    const direct = {
      call: () => {
        asked.push('direct');
        return Promise.resolve({ executed: true, heartbeat: null });
      },
    };
    const routed = new RoutedCaller(direct, peers(asked), new VirtualClock(), () => load);
    const command = () =>
      routed.sendCommands('10.1.0.1:9000', 1 as FencingToken, 1 as AgentIncarnation, [], 1500);
    return { asked, command };
  }

  it('calls through a peer with spare capacity while this controller is busy, and through no other', async () => {
    const idle = caller(0.2, (asked) => [peer(asked, 'b', true)]);
    await idle.command();
    expect(idle.asked).toEqual(['direct']);
    const busy = caller(0.9, (asked) => [peer(asked, 'b', true)]);
    await busy.command();
    expect(busy.asked).toEqual(['b']);
    const allBusy = caller(0.9, (asked) => [peer(asked, 'b', false)]);
    await allBusy.command();
    expect(allBusy.asked).toEqual(['direct']);
  });

  it('calls directly after a call through a peer failed: that a controller reaches no worker says nothing of the worker', async () => {
    const failing = caller(0.9, (asked) => [peer(asked, 'b', true, 503)]);
    await expect(failing.command()).rejects.toThrow(NoAnswerError);
    await failing.command();
    expect(failing.asked).toEqual(['b', 'direct']);
    // Nothing was sent: the host is under no suspicion.
    const full = caller(0.9, (asked) => [peer(asked, 'b', true, NO_SOCKET_STATUS)]);
    await expect(full.command()).rejects.toThrow(NoSocketError);
  });
});
