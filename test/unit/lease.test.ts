import { describe, expect, it } from 'vitest';
import {
  type Counter,
  type Epoch,
  type HostId,
  type Round,
  type SessionNumber,
  tokenOf,
} from '../../src/model/ids.js';
import type { Report } from '../../src/model/heartbeat.js';
import type { Steady } from '../../src/model/time.js';
import { JobStore } from '../../src/scheduler/job-store.js';
import type { Host } from '../../src/workers/state/worker.js';
import { applyReport } from '../../src/workers/reconciliation.js';
import { hostOf } from '../standins/host.js';
import { TYPES } from '../standins/site-setup.js';

const EPOCH = 3 as Epoch;
const LEASE = 28_000;
const [type] = TYPES;
const at = (s: number): Steady => (s * 1000) as Steady;

function host(): Host {
  if (!type) throw new Error('no type');
  const machine = { id: 'host-000001' as HostId, type: type.id, zone: 'north' as never, spot: false };
  return hostOf(machine, at(0), type);
}

const report = (session: number, counter: number): Report => ({
  host: 'host-000001' as HostId,
  address: '10.1.0.1:9000',
  type: 'small' as never,
  zone: 'north' as never,
  spot: false,
  session: session as SessionNumber,
  counter: counter as Counter,
  token: tokenOf(EPOCH, 0 as Round),
  notice: null,
  attempts: [],
});

describe('the end of a machine’s lease', () => {
  it('counts from its last answer', () => {
    const h = host();
    applyReport(h, report(1, 1), EPOCH, new JobStore(), at(5));
    h.answered(report(1, 2), 'node-0' as never, at(60));
    expect(h.leaseEnd(at(15), LEASE)).toBe(at(88));
  });

  // Seen on a day with mute machines: their tasks of a second session were taken for gone (ran_twice).
  it('counts from when its session was first heard of: unanswered, it runs what direct orders bring', () => {
    const h = host();
    applyReport(h, report(1, 1), EPOCH, new JobStore(), at(5));
    h.answered(report(1, 2), 'node-0' as never, at(60));
    applyReport(h, report(2, 9), EPOCH, new JobStore(), at(94));
    expect(h.leaseEnd(at(15), LEASE)).toBe(at(122));
    // The same session heard again moves nothing.
    applyReport(h, report(2, 10), EPOCH, new JobStore(), at(100));
    expect(h.leaseEnd(at(15), LEASE)).toBe(at(122));
  });

  it('counts so for a machine that comes up long after the takeover and is never answered', () => {
    const h = host();
    applyReport(h, report(1, 1), EPOCH, new JobStore(), at(200));
    expect(h.leaseEnd(at(15), LEASE)).toBe(at(228));
  });
});
