/** Asks the state service whether the limits that the settings announce hold by now. */
import { NO_REVISION } from '../model/ids.js';
import type { Settings } from '../wire/settings.js';
import { type KeyValueStore, StoreRequestTooLargeError } from './client.js';
import { keys } from './keys.js';
import type { LimitProbe } from './store-limits.js';

/** A transaction may compare so many times the keys that it may write (PROTOCOL). */
const CONDITIONS_PER_WRITE = 4;

/**
 * A transaction without writes that compares one key more than the announced limit allows and no more than
 * today's does: it changes nothing, and is refused as malformed once the announced limit holds. Null: both
 * limits allow the same.
 */
export function limitProbe(
  store: KeyValueStore,
  { storeLimits, announcedStoreLimits }: Pick<Settings, 'storeLimits' | 'announcedStoreLimits'>,
): LimitProbe | null {
  if (announcedStoreLimits.txnOps >= storeLimits.txnOps) return null;
  const conditions = Array.from(
    { length: announcedStoreLimits.txnOps * CONDITIONS_PER_WRITE + 1 },
    (_, n) => ({
      key: keys.probe(n),
      revision: NO_REVISION,
    }),
  );
  return async () => {
    try {
      await store.txn(conditions, []);
      return false;
    } catch (error) {
      return error instanceof StoreRequestTooLargeError ? true : null;
    }
  };
}
