import { describe, expect, it } from 'vitest';
import { RevisionConfirmations } from '../../src/api/revision-confirmations.js';
import type { Revision } from '../../src/model/ids.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

describe('RevisionConfirmations', () => {
  it('batches concurrent checks into one request, and answers each check separately', async () => {
    const clock = new VirtualClock();
    const fakeStore = new FakeKeyValueStore(clock);
    const store = fakeStore.clientFor('node-0', clock);
    const revisions: Revision[] = [];
    for (let i = 0; i < 60; i++) {
      void store.txn([], [{ set: `job/j-${i}`, value: i }]).then((result) => {
        if (result.ok) revisions[i] = result.revision;
      });
    }
    await clock.advance(100);
    void store.txn([], [{ set: 'job/j-7', value: 'cancelled' }]);
    await clock.advance(100);
    const requestCountBefore = fakeStore.requestCount;
    const confirmations = new RevisionConfirmations(clock, store, 64, 25);
    const hasSameRevision: boolean[] = [];
    for (let i = 0; i < 60; i++) {
      void confirmations.hasRevision(`job/j-${i}`, revisions[i] as Revision).then((isSame) => {
        hasSameRevision[i] = isSame;
      });
    }
    await clock.advance(100);
    expect(fakeStore.requestCount - requestCountBefore).toBe(1);
    expect(hasSameRevision.filter((isSame) => isSame)).toHaveLength(59);
    expect(hasSameRevision[7]).toBe(false);
  });

  it('fails all checks of a batch while the key-value store is unavailable, so that no outdated state is reported', async () => {
    const clock = new VirtualClock();
    const fakeStore = new FakeKeyValueStore(clock);
    const confirmations = new RevisionConfirmations(clock, fakeStore.clientFor('node-0', clock), 64, 25);
    fakeStore.isUnavailable = true;
    let failedCount = 0;
    for (let i = 0; i < 3; i++)
      void confirmations.hasRevision(`job/j-${i}`, 1 as Revision).catch(() => failedCount++);
    await clock.advance(500);
    expect(failedCount).toBe(3);
  });
});
