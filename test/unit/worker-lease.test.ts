import { describe, expect, it } from 'vitest';
import {
  type HeartbeatSequence,
  type Epoch,
  type MachineId,
  type FenceGeneration,
  type AgentIncarnation,
  fencingTokenOf,
} from '../../src/model/ids.js';
import type { Heartbeat } from '../../src/model/heartbeat.js';
import type { MonotonicTime } from '../../src/model/time.js';
import { JobStore } from '../../src/scheduler/job-store.js';
import type { Worker } from '../../src/workers/state/worker.js';
import { reconcile } from '../../src/workers/reconciliation.js';
import { confirmedWorker } from '../simulation/worker-state.js';
import { MACHINE_TYPES } from '../simulation/site-setup.js';

const EPOCH = 3 as Epoch;
const LEASE_MS = 28_000;
const [type] = MACHINE_TYPES;
const at = (seconds: number): MonotonicTime => (seconds * 1000) as MonotonicTime;

function newWorker(): Worker {
  if (!type) throw new Error('MACHINE_TYPES is empty; at least one machine type is expected');
  const machine = { id: 'host-000001' as MachineId, type: type.id, zone: 'north' as never, spot: false };
  return confirmedWorker(machine, at(0), type);
}

const heartbeat = (incarnation: number, sequence: number): Heartbeat => ({
  machine: 'host-000001' as MachineId,
  address: '10.1.0.1:9000',
  type: 'small' as never,
  zone: 'north' as never,
  spot: false,
  incarnation: incarnation as AgentIncarnation,
  sequence: sequence as HeartbeatSequence,
  token: fencingTokenOf(EPOCH, 0 as FenceGeneration),
  interruptionNotice: null,
  attempts: [],
});

describe('WorkerLease.latestExpiry', () => {
  it('counts from the last answer to a heartbeat', () => {
    const worker = newWorker();
    reconcile(worker, heartbeat(1, 1), EPOCH, new JobStore(), at(5));
    worker.recordAnswer(heartbeat(1, 2), 'node-0' as never, at(60));
    expect(worker.lease.latestExpiry(at(15), LEASE_MS)).toBe(at(88));
  });

  // Guards against tasks that run twice (the violation `ran_twice` of the simulation's rule checker): a worker that
  // gets no answers runs tasks from direct commands in its second incarnation. The leader must not consider these tasks
  // ended while they still run.
  it('counts from the first report of an incarnation, which may run tasks without any answer', () => {
    const worker = newWorker();
    reconcile(worker, heartbeat(1, 1), EPOCH, new JobStore(), at(5));
    worker.recordAnswer(heartbeat(1, 2), 'node-0' as never, at(60));
    reconcile(worker, heartbeat(2, 9), EPOCH, new JobStore(), at(94));
    expect(worker.lease.latestExpiry(at(15), LEASE_MS)).toBe(at(122));
    // A further heartbeat of the same incarnation does not extend the lease.
    reconcile(worker, heartbeat(2, 10), EPOCH, new JobStore(), at(100));
    expect(worker.lease.latestExpiry(at(15), LEASE_MS)).toBe(at(122));
  });

  it('counts from the first report of a worker that starts long after the takeover and is never answered', () => {
    const worker = newWorker();
    reconcile(worker, heartbeat(1, 1), EPOCH, new JobStore(), at(200));
    expect(worker.lease.latestExpiry(at(15), LEASE_MS)).toBe(at(228));
  });
});
