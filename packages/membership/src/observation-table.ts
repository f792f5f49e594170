/** Stores the latest observation row received from each member. */
import { compareIdentity, type Identity, IdentityOrder, type MemberId } from './identity.js';
import type { ObservationRow } from './messages.js';

interface StoredRow {
  readonly row: ObservationRow;
  /** Lower bound on the time at which the row was valid, on this process's monotonic clock. */
  readonly validAt: number;
}

/** An observation row with its age. */
export interface AgedRow {
  readonly row: ObservationRow;
  readonly ageMs: number;
}

function isNewer(stored: ObservationRow, received: ObservationRow): boolean {
  if (stored.observer.process === received.observer.process) return received.version > stored.version;
  return compareIdentity(stored.observer, received.observer) === IdentityOrder.Restarted;
}

/**
 * Observation rows by observer. Only rows in answers to this process's requests are accepted, as their age is bounded.
 */
export class ObservationTable {
  private readonly rows = new Map<MemberId, StoredRow>();

  /**
   * Stores a row if it is newer than the stored one, and returns whether it was. `requestedAt`: when the request was
   * sent whose answer contained the row.
   */
  accept(row: ObservationRow, requestedAt: number): boolean {
    const { member } = row.observer;
    const stored = this.rows.get(member);
    if (stored && !isNewer(stored.row, row)) return false;
    this.rows.set(member, { row, validAt: requestedAt - row.ageMs });
    return true;
  }

  /** Returns the stored row of an observer; null if there is none. */
  get(member: MemberId, now: number): AgedRow | null {
    const stored = this.rows.get(member);
    return stored ? { row: stored.row, ageMs: now - stored.validAt } : null;
  }

  /** Returns the stored rows that are at most `maxAgeMs` old. */
  fresh(maxAgeMs: number, now: number): AgedRow[] {
    const fresh: AgedRow[] = [];
    for (const { row, validAt } of this.rows.values()) {
      const ageMs = now - validAt;
      if (ageMs <= maxAgeMs) fresh.push({ row, ageMs });
    }
    return fresh;
  }

  /** Excludes a pause of this process from the ages of the rows: during the pause no newer row could be received. */
  excludePause(pausedMs: number): void {
    for (const [member, { row, validAt }] of this.rows) {
      this.rows.set(member, { row, validAt: validAt + pausedMs });
    }
  }

  /** Deletes the stored row of an observer. */
  delete(member: MemberId): void {
    this.rows.delete(member);
  }
}

/** Returns the identity that a row contains for a member, which may be the observer; null if the row contains none. */
export function identityInRow(row: ObservationRow, member: MemberId): Identity | null {
  if (row.observer.member === member) return row.observer;
  return row.peers.find((peer) => peer.identity.member === member)?.identity ?? null;
}
