/** Probes whether the announced limits of the key-value store are in force by now. */
import { NO_REVISION } from '../model/ids.js';
import type { Settings } from '../wire/settings.js';
import type { KeyValueStore } from './client.js';
import { StoreRequestTooLargeError } from './errors.js';
import { keys } from './keys.js';
import type { LimitProbe } from './store-limits.js';

/** A transaction may compare so many times the keys that it may write (PROTOCOL). */
const COMPARES_PER_WRITE = 4;

/**
 * Makes a probe out of a transaction without writes that compares one key more than the announced limit allows, and
 * no more than the current one does: it changes nothing, and is refused as malformed once the announced limit is in
 * force. Null: both limits allow the same, so no such transaction exists.
 */
export function limitProbe(
  store: KeyValueStore,
  { storeLimits, announcedStoreLimits }: Pick<Settings, 'storeLimits' | 'announcedStoreLimits'>,
): LimitProbe | null {
  if (announcedStoreLimits.txnOps >= storeLimits.txnOps) return null;
  const compareCount = announcedStoreLimits.txnOps * COMPARES_PER_WRITE + 1;
  const compares = Array.from({ length: compareCount }, (_, number) => ({
    key: keys.probe(number),
    revision: NO_REVISION,
  }));
  return async () => {
    try {
      await store.txn(compares, []);
      return false;
    } catch (error) {
      return error instanceof StoreRequestTooLargeError ? true : null;
    }
  };
}
