/** The newest observation row that was received of each member. */
import { compareIdentity, type Identity, IdentityOrder, type MemberId } from './identity.js';
import type { ObservationRow } from './messages.js';

interface StoredRow {
  readonly row: ObservationRow;
  /** The row was valid at this time of our clock, or later. */
  readonly validAt: number;
}

/** A row with its age. */
export interface AgedRow {
  readonly row: ObservationRow;
  readonly ageMs: number;
}

function isNewer(stored: ObservationRow, received: ObservationRow): boolean {
  if (stored.observer.process === received.observer.process) return received.version > stored.version;
  return compareIdentity(stored.observer, received.observer) === IdentityOrder.Restarted;
}

/** Rows by observer. Only rows that answer one of our requests are accepted, because their age is bounded. */
export class ObservationTable {
  private readonly rows = new Map<MemberId, StoredRow>();

  /** Stores a row if it is newer than the stored one. `requestedAt`: when the request was sent that it answers. */
  accept(row: ObservationRow, requestedAt: number): boolean {
    const { member } = row.observer;
    const stored = this.rows.get(member);
    if (stored && !isNewer(stored.row, row)) return false;
    this.rows.set(member, { row, validAt: requestedAt - row.ageMs });
    return true;
  }

  /** Returns the row of an observer; null if there is none. */
  get(member: MemberId, now: number): AgedRow | null {
    const stored = this.rows.get(member);
    return stored ? { row: stored.row, ageMs: now - stored.validAt } : null;
  }

  /** Returns the rows that are no older than `maxAgeMs`. */
  fresh(maxAgeMs: number, now: number): AgedRow[] {
    const fresh: AgedRow[] = [];
    for (const { row, validAt } of this.rows.values()) {
      const ageMs = now - validAt;
      if (ageMs <= maxAgeMs) fresh.push({ row, ageMs });
    }
    return fresh;
  }

  /** Excludes a pause of this process from the rows' ages: it could not have received newer ones meanwhile. */
  excludePause(pausedMs: number): void {
    for (const [member, { row, validAt }] of this.rows) {
      this.rows.set(member, { row, validAt: validAt + pausedMs });
    }
  }

  /** Removes the row of an observer. */
  delete(member: MemberId): void {
    this.rows.delete(member);
  }
}

/** Returns the identity that a row names for a member, the observer included; null if it names none. */
export function identityIn(row: ObservationRow, member: MemberId): Identity | null {
  if (row.observer.member === member) return row.observer;
  return row.peers.find((peer) => peer.identity.member === member)?.identity ?? null;
}
