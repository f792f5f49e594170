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
const LEASE = 28_000;
const [type] = MACHINE_TYPES;
const at = (s: number): MonotonicTime => (s * 1000) as MonotonicTime;

function host(): Worker {
  if (!type) throw new Error('no type');
  const machine = { id: 'host-000001' as MachineId, type: type.id, zone: 'north' as never, spot: false };
  return confirmedWorker(machine, at(0), type);
}

const heartbeat = (session: number, counter: number): Heartbeat => ({
  machine: 'host-000001' as MachineId,
  address: '10.1.0.1:9000',
  type: 'small' as never,
  zone: 'north' as never,
  spot: false,
  incarnation: session as AgentIncarnation,
  sequence: counter as HeartbeatSequence,
  token: fencingTokenOf(EPOCH, 0 as FenceGeneration),
  interruptionNotice: null,
  attempts: [],
});

describe('the end of a machine’s lease', () => {
  it('counts from its last answer', () => {
    const h = host();
    reconcile(h, heartbeat(1, 1), EPOCH, new JobStore(), at(5));
    h.recordAnswer(heartbeat(1, 2), 'node-0' as never, at(60));
    expect(h.leaseExpiry(at(15), LEASE)).toBe(at(88));
  });

  // Seen on a day with mute machines: their tasks of a second session were taken for gone (ran_twice).
  it('counts from when its session was first heard of: unanswered, it runs what direct orders bring', () => {
    const h = host();
    reconcile(h, heartbeat(1, 1), EPOCH, new JobStore(), at(5));
    h.recordAnswer(heartbeat(1, 2), 'node-0' as never, at(60));
    reconcile(h, heartbeat(2, 9), EPOCH, new JobStore(), at(94));
    expect(h.leaseExpiry(at(15), LEASE)).toBe(at(122));
    // The same session heard again moves nothing.
    reconcile(h, heartbeat(2, 10), EPOCH, new JobStore(), at(100));
    expect(h.leaseExpiry(at(15), LEASE)).toBe(at(122));
  });

  it('counts so for a machine that comes up long after the takeover and is never answered', () => {
    const h = host();
    reconcile(h, heartbeat(1, 1), EPOCH, new JobStore(), at(200));
    expect(h.leaseExpiry(at(15), LEASE)).toBe(at(228));
  });
});
