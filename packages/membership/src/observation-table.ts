/** The newest row of each member, as far as it has come here. */
import { compareIdentity, type Identity, IdentityOrder, type MemberId } from './identity.js';
import type { ObservationRow } from './messages.js';

interface StoredRow {
  readonly row: ObservationRow;
  /** The row was true at this moment of our clock, or later. */
  readonly trueAt: number;
}

/** A row with its age at one moment of our clock. */
export interface AgedRow {
  readonly row: ObservationRow;
  readonly ageMs: number;
}

function isNewer(stored: ObservationRow, arrived: ObservationRow): boolean {
  if (stored.observer.process === arrived.observer.process) return arrived.version > stored.version;
  return compareIdentity(stored.observer, arrived.observer) === IdentityOrder.Restarted;
}

/** Rows by observer. Only rows that came with the answer to a request of ours are taken: their age is bounded. */
export class ObservationTable {
  private readonly rows = new Map<MemberId, StoredRow>();

  /** `askedAt`: when the request was sent whose answer brought the row. */
  accept(row: ObservationRow, askedAt: number): boolean {
    const { member } = row.observer;
    const stored = this.rows.get(member);
    if (stored && !isNewer(stored.row, row)) return false;
    this.rows.set(member, { row, trueAt: askedAt - row.ageMs });
    return true;
  }

  get(member: MemberId, now: number): AgedRow | null {
    const stored = this.rows.get(member);
    return stored ? { row: stored.row, ageMs: now - stored.trueAt } : null;
  }

  /** The rows that are no older than this. */
  fresh(maxAgeMs: number, now: number): AgedRow[] {
    const fresh: AgedRow[] = [];
    for (const { row, trueAt } of this.rows.values()) {
      const ageMs = now - trueAt;
      if (ageMs <= maxAgeMs) fresh.push({ row, ageMs });
    }
    return fresh;
  }

  /** This process did not run for so long: rows did not get older for want of what they tell. */
  discount(pausedMs: number): void {
    for (const [member, { row, trueAt }] of this.rows) {
      this.rows.set(member, { row, trueAt: trueAt + pausedMs });
    }
  }

  drop(member: MemberId): void {
    this.rows.delete(member);
  }
}

/** The identity that a row names for a member, its observer included. */
export function identityIn(row: ObservationRow, member: MemberId): Identity | null {
  if (row.observer.member === member) return row.observer;
  return row.peers.find((peer) => peer.identity.member === member)?.identity ?? null;
}
