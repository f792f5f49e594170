/** A map of bounded size that evicts the entries that have not been used for longest. */
import { type Clock, type MonotonicTime, since } from '../model/time.js';

interface Entry<V> {
  readonly value: V;
  readonly usedAt: MonotonicTime;
}

/** A least-recently-used cache; `get` and `set` are uses of an entry, `has` is not. */
export class RecencyMap<K, V> {
  /** In the order of the last use, oldest first. */
  private readonly entries = new Map<K, Entry<V>>();

  constructor(
    private readonly clock: Clock,
    private readonly maxSize: number,
  ) {}

  /** The number of entries. */
  get size(): number {
    return this.entries.size;
  }

  has(key: K): boolean {
    return this.entries.has(key);
  }

  get(key: K): V | undefined {
    const entry = this.entries.get(key);
    if (!entry) return undefined;
    this.insertAsNewest(key, entry.value);
    return entry.value;
  }

  /** Adds or replaces an entry; evicts the entry that was used first if the map is full. */
  set(key: K, value: V): void {
    this.insertAsNewest(key, value);
    if (this.entries.size <= this.maxSize) return;
    for (const oldest of this.entries.keys()) {
      this.entries.delete(oldest);
      return;
    }
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  /** Removes the entries that have not been used for `idleMs`. Returns their number. */
  evictIdle(idleMs: number): number {
    const now = this.clock.now();
    const sizeBefore = this.entries.size;
    for (const [key, { usedAt }] of this.entries) {
      if (since(now, usedAt) < idleMs) break;
      this.entries.delete(key);
    }
    return sizeBefore - this.entries.size;
  }

  private insertAsNewest(key: K, value: V): void {
    this.entries.delete(key);
    this.entries.set(key, { value, usedAt: this.clock.now() });
  }
}
