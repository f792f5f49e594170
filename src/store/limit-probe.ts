/** Probes whether the key-value store already enforces the announced limits. */
import { NO_REVISION } from '../model/ids.js';
import { MAX_COMPARES_PER_WRITE } from '../wire/key-value-store.js';
import type { Settings } from '../wire/settings.js';
import type { KeyValueStore } from './client.js';
import { StoreRequestTooLargeError } from './errors.js';
import { keys } from './keys.js';
import type { LimitProbe } from './store-limits.js';

/**
 * Creates a probe that sends a transaction without writes. The transaction compares one key more than the announced
 * limit allows, but no more than the current limit allows: it changes nothing, and the store refuses it as malformed
 * once the announced limit is in force. Returns null if the announced limit is not below the current limit, since no
 * transaction can distinguish the two limits then.
 */
export function createLimitProbe(
  store: KeyValueStore,
  { storeLimits, announcedStoreLimits }: Pick<Settings, 'storeLimits' | 'announcedStoreLimits'>,
): LimitProbe | null {
  if (announcedStoreLimits.txnOps >= storeLimits.txnOps) return null;
  const compareCount = announcedStoreLimits.txnOps * MAX_COMPARES_PER_WRITE + 1;
  const compares = Array.from({ length: compareCount }, (_, index) => ({
    key: keys.probe(index),
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
