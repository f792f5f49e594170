import { describe, expect, it } from 'vitest';
import { RecordPrefetcher } from '../../src/leadership/failover/record-prefetcher.js';
import { silentLogger } from '../../src/log/logger.js';
import { readRecords } from '../../src/store/records.js';
import { VirtualClock } from '../simulation/clock.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

describe('RecordPrefetcher', () => {
  const set = (key: string, value: unknown) => ({ set: key, value });

  async function filled(): Promise<{
    clock: VirtualClock;
    state: FakeKeyValueStore;
    prefetch: RecordPrefetcher;
  }> {
    const clock = new VirtualClock();
    const state = new FakeKeyValueStore(clock);
    const store = state.clientFor('a', clock);
    for (let n = 0; n < 8; n++) {
      void store.txn(
        [],
        [1, 2, 3].map((part) => set(`open/j-${n}/${part}`, { n })),
      );
    }
    void store.txn([], [set('fleet/0000', { m: [] })]);
    await clock.advance(1000);
    return { clock, state, prefetch: new RecordPrefetcher(store, clock, silentLogger) };
  }

  it('hands out what a read would bring at that moment', async () => {
    const { clock, state, prefetch } = await filled();
    void prefetch.start();
    await clock.advance(100);
    const store = state.clientFor('a', clock);
    void store.txn([], [{ drop: 'open/j-3/1' }, set('open/j-3/2', { n: 33 }), set('open/j-9/1', { n: 9 })]);
    await clock.advance(100);
    const taken = prefetch.take('open/');
    const read = readRecords(store, 'open/', (ask) => ask());
    await clock.advance(100);
    expect(await taken).toEqual(await read);
    // Each is handed out once: what is asked for later has to be read.
    expect(await prefetch.take('open/')).toBeNull();
  });

  it('drops the records when the suspicion is refuted, and after a while', async () => {
    const { clock, prefetch } = await filled();
    void prefetch.start();
    await clock.advance(100);
    prefetch.discard();
    expect(await prefetch.take('open/')).toBeNull();
    void prefetch.start();
    await clock.advance(61_000);
    expect(await prefetch.take('fleet/')).toBeNull();
  });

  it('hands out nothing, rather than something wrong, where the store was out', async () => {
    const { clock, state, prefetch } = await filled();
    state.isUnavailable = true;
    void prefetch.start();
    await clock.advance(1000);
    state.isUnavailable = false;
    expect(await prefetch.take('open/')).toBeNull();
  });
});
