/** What every writer of the leader does when a compare-and-swap has failed. */
import type { LeaderContext } from '../core/context.js';
import { NO_REVISION, type Revision } from '../model/ids.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import type { KeyValueStore } from '../store/client.js';
import { keys } from '../store/keys.js';

/** Ends the term if the compare on the epoch failed: another leader has been elected. Returns whether it did. */
export function stepDownIfDeposed(
  ctx: LeaderContext,
  failedKeys: readonly string[],
  reason: TermEndReason,
): boolean {
  if (!failedKeys.includes(keys.epoch)) return false;
  ctx.stepDown(reason);
  return true;
}

/** Reads the revision that a key has now, for the next compare; `NO_REVISION` if it doesn't exist. */
export async function fetchRevision(store: KeyValueStore, key: string): Promise<Revision> {
  const row = await store.get(key);
  return row?.revision ?? NO_REVISION;
}
