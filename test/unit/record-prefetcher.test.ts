import { describe, expect, it } from 'vitest';
import { RecordPrefetcher } from '../../src/leadership/failover/record-prefetcher.js';
import { silentLogger } from '../../src/log/logger.js';
import { readRecords } from '../../src/store/records.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

describe('RecordPrefetcher', () => {
  const set = (key: string, value: unknown) => ({ set: key, value });

  async function createPrefetcher(): Promise<{
    clock: VirtualClock;
    state: FakeKeyValueStore;
    prefetcher: RecordPrefetcher;
  }> {
    const clock = new VirtualClock();
    const state = new FakeKeyValueStore(clock);
    const store = state.clientFor('a', clock);
    for (let n = 0; n < 8; n++) {
      void store.txn(
        [],
        [1, 2, 3].map((chunk) => set(`open/j-${n}/${chunk}`, { n })),
      );
    }
    void store.txn([], [set('fleet/0000', { m: [] })]);
    await clock.advance(1000);
    return { clock, state, prefetcher: new RecordPrefetcher(store, clock, silentLogger) };
  }

  it('returns the records that a read would return at the same moment', async () => {
    const { clock, state, prefetcher } = await createPrefetcher();
    void prefetcher.start();
    await clock.advance(100);
    const store = state.clientFor('a', clock);
    void store.txn([], [{ drop: 'open/j-3/1' }, set('open/j-3/2', { n: 33 }), set('open/j-9/1', { n: 9 })]);
    await clock.advance(100);
    const prefetchedRecords = prefetcher.take('open/');
    const storedRecords = readRecords(store, 'open/', (request) => request());
    await clock.advance(100);
    expect(await prefetchedRecords).toEqual(await storedRecords);
    // The prefetched records of a prefix are returned once; a later caller has to read the store.
    expect(await prefetcher.take('open/')).toBeNull();
  });

  it('drops the records when the suspicion is refuted, and when the prefetch expires after 60 s', async () => {
    const { clock, prefetcher } = await createPrefetcher();
    void prefetcher.start();
    await clock.advance(100);
    prefetcher.discard();
    expect(await prefetcher.take('open/')).toBeNull();
    void prefetcher.start();
    await clock.advance(61_000);
    expect(await prefetcher.take('fleet/')).toBeNull();
  });

  it('returns no records if the store was unavailable during the prefetch', async () => {
    const { clock, state, prefetcher } = await createPrefetcher();
    state.isUnavailable = true;
    void prefetcher.start();
    await clock.advance(1000);
    state.isUnavailable = false;
    expect(await prefetcher.take('open/')).toBeNull();
  });
});
