import { describe, expect, it } from 'vitest';
import type { Epoch, ImageId, MachineId, MachineTypeId, MemberId, ZoneId } from '../../src/model/ids.js';
import type { HeartbeatSequence, AgentIncarnation, FencingToken } from '../../src/model/ids.js';
import type { Heartbeat } from '../../src/model/heartbeat.js';
import type { MonotonicTime } from '../../src/model/time.js';
import { recordUpWorker, createFleetSnapshot, isLikelyPartitioned } from '../../src/workers/fleet-health.js';
import { ImageCache } from '../../src/workers/state/image-cache.js';
import { CommandCallState } from '../../src/workers/state/command-call-state.js';
import { HeartbeatCursor } from '../../src/workers/state/heartbeat-cursor.js';
import { WorkerContact } from '../../src/workers/state/worker-contact.js';
import { WorkerFence } from '../../src/workers/state/worker-fence.js';
import { confirmedWorker } from '../simulation/worker-state.js';

const at = (ms: number): MonotonicTime => ms as MonotonicTime;
const node0 = 'node-0' as MemberId;
const node1 = 'node-1' as MemberId;

const heartbeat = (sequence: number, incarnation = 1): Heartbeat => ({
  machine: 'host-000001' as MachineId,
  address: '10.1.0.1:9000',
  type: 'small' as MachineTypeId,
  zone: 'north' as ZoneId,
  spot: false,
  incarnation: incarnation as AgentIncarnation,
  sequence: sequence as HeartbeatSequence,
  token: 1 as FencingToken,
  interruptionNotice: null,
  attempts: [],
});

describe('WorkerContact', () => {
  it('detects the delivery of an answer by the next heartbeat through the same controller', () => {
    const contact = new WorkerContact();
    contact.recordAnswer(heartbeat(1), node0);
    contact.detectAnswerDelivery(heartbeat(2), node0, at(10));
    expect(contact.lastDeliveryAt).toBe(10);
  });

  it('detects no delivery by a heartbeat through another controller or after a gap in the sequence', () => {
    const contact = new WorkerContact();
    contact.recordAnswer(heartbeat(1), node0);
    contact.detectAnswerDelivery(heartbeat(2), node1, at(10));
    contact.detectAnswerDelivery(heartbeat(3), node0, at(20));
    expect(contact.lastDeliveryAt).toBeNull();
  });

  it('is unreachable after a failed call until a delivery is recorded', () => {
    const contact = new WorkerContact();
    contact.recordCallFailed(at(10));
    expect(contact.isUnreachable).toBe(true);
    contact.recordDelivery(at(20));
    expect(contact.isUnreachable).toBe(false);
    expect(contact.hasFailedCall).toBe(true);
    contact.recordCallAnswered(at(30));
    expect(contact.hasFailedCall).toBe(false);
  });
});

describe('HeartbeatCursor', () => {
  it('orders heartbeats by incarnation, then by sequence', () => {
    const cursor = new HeartbeatCursor();
    cursor.beginIncarnation(2 as AgentIncarnation);
    cursor.advance(5 as HeartbeatSequence);
    expect(cursor.isNewer(heartbeat(9, 1))).toBe(false);
    expect(cursor.isNewer(heartbeat(5, 2))).toBe(false);
    expect(cursor.isNewer(heartbeat(6, 2))).toBe(true);
    expect(cursor.isNewer(heartbeat(1, 3))).toBe(true);
  });
});

describe('CommandCallState', () => {
  it('records a follow-up request only while a call is in flight', () => {
    const callState = new CommandCallState();
    callState.requestFollowUp();
    expect(callState.isInFlight).toBe(false);
    callState.begin();
    callState.requestFollowUp();
    expect(callState.finish()).toBe(true);
    expect(callState.finish()).toBe(false);
  });

  it('drops a follow-up request that is cancelled', () => {
    const callState = new CommandCallState();
    callState.begin();
    callState.requestFollowUp();
    callState.cancelFollowUp();
    expect(callState.isInFlight).toBe(true);
    expect(callState.finish()).toBe(false);
  });
});

describe('ImageCache', () => {
  it('evicts the least recently used images, but never the image in use', () => {
    const cache = new ImageCache();
    const [one, two, three] = ['one', 'two', 'three'] as ImageId[] as [ImageId, ImageId, ImageId];
    cache.use(one, 4, 10);
    cache.use(two, 4, 10);
    cache.use(one, 4, 10);
    cache.use(three, 4, 10);
    expect([one, two, three].map((image) => cache.has(image))).toEqual([true, false, true]);
    cache.use(two, 20, 10);
    expect([one, two, three].map((image) => cache.has(image))).toEqual([false, true, false]);
  });
});

describe('WorkerFence', () => {
  it('raises the token within its epoch and then needs no higher token', () => {
    const fence = new WorkerFence();
    const epoch = 3 as Epoch;
    const before = fence.token(epoch);
    fence.needsHigherToken = true;
    expect(fence.raise()).toBe(true);
    expect(fence.token(epoch)).toBeGreaterThan(before);
    expect(fence.token(epoch)).toBeLessThan(new WorkerFence().token(4 as Epoch));
    expect(fence.needsHigherToken).toBe(false);
  });
});

describe('isLikelyPartitioned', () => {
  /** Returns whether the first of `up` workers is likely partitioned if the first `suspected` of them are suspected. */
  function isPartitioned(up: number, suspected: number): boolean {
    const snapshot = createFleetSnapshot();
    const workers = Array.from({ length: up }, (_, index) =>
      confirmedWorker(
        {
          id: `host-${index}` as MachineId,
          type: 'small' as MachineTypeId,
          zone: 'north' as ZoneId,
          spot: false,
        },
        at(0),
      ),
    );
    workers.forEach((worker, index) => {
      const zone = recordUpWorker(snapshot, worker);
      if (index >= suspected) return;
      snapshot.suspected.push(worker);
      zone.suspected++;
    });
    const [worker] = workers;
    return worker !== undefined && isLikelyPartitioned(worker, snapshot);
  }

  it('takes a small ratio of suspected workers for failed machines', () => {
    expect(isPartitioned(20, 1)).toBe(false);
    expect(isPartitioned(5, 3)).toBe(false);
    expect(isPartitioned(20, 8)).toBe(false);
  });

  it('takes a large ratio of suspected workers, or all workers, for a partition', () => {
    expect(isPartitioned(20, 9)).toBe(true);
    expect(isPartitioned(2, 2)).toBe(true);
  });
});
