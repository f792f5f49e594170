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
import { workerOf } from '../simulation/worker-state.js';
import { TYPES } from '../simulation/site-setup.js';

const EPOCH = 3 as Epoch;
const LEASE_MS = 28_000;
const [type] = TYPES;
const at = (seconds: number): MonotonicTime => (seconds * 1000) as MonotonicTime;

function newWorker(): Worker {
  if (!type) throw new Error('no type');
  const machine = { id: 'host-000001' as MachineId, type: type.id, zone: 'north' as never, spot: false };
  return workerOf(machine, at(0), type);
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

describe('the expiry of a worker’s lease', () => {
  it('counts from the last answer', () => {
    const worker = newWorker();
    reconcile(worker, heartbeat(1, 1), EPOCH, new JobStore(), at(5));
    worker.recordAnswer(heartbeat(1, 2), 'node-0' as never, at(60));
    expect(worker.lease.expiry(at(15), LEASE_MS)).toBe(at(88));
  });

  // Seen on a day with workers that got no answers: their tasks of a second incarnation were taken for gone (ran_twice).
  it('counts from when the incarnation was first heard of: unanswered, it runs what direct commands bring', () => {
    const worker = newWorker();
    reconcile(worker, heartbeat(1, 1), EPOCH, new JobStore(), at(5));
    worker.recordAnswer(heartbeat(1, 2), 'node-0' as never, at(60));
    reconcile(worker, heartbeat(2, 9), EPOCH, new JobStore(), at(94));
    expect(worker.lease.expiry(at(15), LEASE_MS)).toBe(at(122));
    // The same incarnation heard again moves nothing.
    reconcile(worker, heartbeat(2, 10), EPOCH, new JobStore(), at(100));
    expect(worker.lease.expiry(at(15), LEASE_MS)).toBe(at(122));
  });

  it('counts so for a worker that comes up long after the takeover and is never answered', () => {
    const worker = newWorker();
    reconcile(worker, heartbeat(1, 1), EPOCH, new JobStore(), at(200));
    expect(worker.lease.expiry(at(15), LEASE_MS)).toBe(at(228));
  });
});
