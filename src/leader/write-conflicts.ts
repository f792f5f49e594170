/** Functions with which the leader's store writers handle a failed compare-and-swap. */
import type { LeaderContext } from '../core/context.js';
import { NO_REVISION, type Revision } from '../model/ids.js';
import type { TermEndReason } from '../model/term-end-reason.js';
import type { KeyValueStore } from '../store/client.js';
import { keys } from '../store/keys.js';

/**
 * Ends the term if the compare of the epoch failed, because another leader was elected; returns whether the term ended.
 */
export function stepDownIfDeposed(
  ctx: LeaderContext,
  failedKeys: readonly string[],
  reason: TermEndReason,
): boolean {
  if (!failedKeys.includes(keys.epoch)) return false;
  ctx.stepDown(reason);
  return true;
}

/** Reads the current revision of a key for the next compare; returns `NO_REVISION` if the key does not exist. */
export async function fetchRevision(store: KeyValueStore, key: string): Promise<Revision> {
  const row = await store.get(key);
  return row?.revision ?? NO_REVISION;
}
