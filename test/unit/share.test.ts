import { describe, expect, it } from 'vitest';
import { RevisionConfirmations } from '../../src/api/revision-confirmations.js';
import { StoreConnectivityMonitor } from '../../src/controller/store-connectivity.js';
import { machinesToDrain, type DrainCandidate } from '../../src/fleet/consolidation.js';
import type { MachineId, Revision } from '../../src/model/ids.js';
import { shareSockets } from '../../src/net/sockets.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

describe('questions about many jobs', () => {
  it('are one comparison, and each gets its own answer', async () => {
    const clock = new VirtualClock();
    const state = new FakeKeyValueStore(clock);
    const store = state.for('node-0', clock);
    const revisions: Revision[] = [];
    for (let i = 0; i < 60; i++) {
      void store.txn([], [{ set: `job/j-${i}`, value: i }]).then((r) => {
        if (r.ok) revisions[i] = r.revision;
      });
    }
    await clock.advance(100);
    void store.txn([], [{ set: 'job/j-7', value: 'cancelled' }]);
    await clock.advance(100);
    const asked = state.requests;
    const confirmations = new RevisionConfirmations(clock, store, 64, 25);
    const same: boolean[] = [];
    for (let i = 0; i < 60; i++) {
      void confirmations.hasRevision(`job/j-${i}`, revisions[i] as Revision).then((s) => {
        same[i] = s;
      });
    }
    await clock.advance(100);
    expect(state.requests - asked).toBe(1);
    expect(same.filter((s) => s)).toHaveLength(59);
    expect(same[7]).toBe(false);
  });

  it('fail together while the state service is out: nobody is told what was true before', async () => {
    const clock = new VirtualClock();
    const state = new FakeKeyValueStore(clock);
    const confirmations = new RevisionConfirmations(clock, state.for('node-0', clock), 64, 25);
    state.outage = true;
    let failed = 0;
    for (let i = 0; i < 3; i++)
      void confirmations.hasRevision(`job/j-${i}`, 1 as Revision).catch(() => failed++);
    await clock.advance(500);
    expect(failed).toBe(3);
  });
});

describe('a node’s sockets', () => {
  it.each([
    [2500, 2],
    [1200, 4],
    [300, 2],
  ])('are never shared out twice (%i, %i peers)', (sockets, peers) => {
    const s = shareSockets(sockets, peers);
    expect(s.front + s.peers + peers + s.state + s.watches + s.cloud + s.workers).toBeLessThanOrEqual(
      sockets,
    );
    expect(s.front).toBeGreaterThan(sockets * 0.4);
  });
});

describe('a node’s place behind the load balancer', () => {
  it('is given up only when it alone reaches nobody', async () => {
    const clock = new VirtualClock();
    const reach = new StoreConnectivityMonitor(clock);
    reach.recordCall(true);
    await clock.advance(10_000);
    reach.recordCall(false);
    // an outage that the others share
    expect(reach.isPartitioned([{ isConnected: true }, { isConnected: false }])).toBe(false);
    expect(reach.isPartitioned([{ isConnected: false }, { isConnected: false }])).toBe(true);
    reach.recordCall(true);
    expect(reach.isPartitioned([{ isConnected: false }])).toBe(false);
    // a site of one node has nobody to hand over to
    expect(reach.isPartitioned([])).toBe(false);
  });
});

describe('machinesToDrain', () => {
  const task = (over = {}) => ({
    cpus: 4,
    memoryGb: 4,
    lostMs: 5000,
    leftMs: 60_000,
    mayMove: true,
    ...over,
  });
  const machine = (
    id: string,
    freeCpus: number,
    tasks: ReturnType<typeof task>[],
    price = 3,
  ): DrainCandidate => ({
    id: id as MachineId,
    cpus: 64,
    freeCpus,
    freeMemoryGb: freeCpus * 4,
    price,
    tasks,
  });

  it('takes the ones that waste most, while the others have capacity for their work', () => {
    const chosen = machinesToDrain(
      [machine('a', 60, [task()]), machine('b', 60, [task()], 1), machine('c', 40, [])],
      200,
      0.02,
    );
    expect(chosen).toEqual(['a', 'b']);
  });

  it('leaves alone what the forecast wants, what a target needs and what costs more to do again', () => {
    const other = machine('c', 60, []);
    expect(machinesToDrain([machine('a', 60, [task()]), other], 50, 0.02)).toEqual([]);
    expect(machinesToDrain([machine('a', 60, [task({ mayMove: false })]), other], 200, 0.02)).toEqual([]);
    expect(
      machinesToDrain([machine('a', 60, [task({ lostMs: 90_000, leftMs: 500 })]), other], 200, 0.02),
    ).toEqual([]);
    // no capacity elsewhere
    expect(machinesToDrain([machine('a', 60, [task()])], 200, 0.02)).toEqual([]);
  });
});
