/** How near this process is to the end of its memory. */
import { getHeapStatistics } from 'node:v8';
import { type Clock, runPeriodically } from '../model/time.js';

const SAMPLE_MS = 1000;
/** From this part of the heap's limit on caches are dropped and no new work is taken. */
const SCARCE = 0.9;

/** A reading of the heap, as V8 gives it. */
interface HeapReading {
  readonly used_heap_size: number;
  readonly heap_size_limit: number;
}

/**
 * Watches the heap. A process that reaches its heap's limit ends, and with it all that it was about to answer: what
 * can be read again goes first, then submissions are refused.
 */
export class MemoryMonitor {
  private isScarce = false;

  constructor(
    clock: Clock,
    /** Drops what can be read again. */
    private readonly shed: () => void,
    private readonly read: () => HeapReading = getHeapStatistics,
  ) {
    runPeriodically(clock, SAMPLE_MS, () => this.sample());
  }

  /** Whether no new work should be taken. */
  get scarce(): boolean {
    return this.isScarce;
  }

  private sample(): void {
    const { used_heap_size: used, heap_size_limit: limit } = this.read();
    this.isScarce = used > limit * SCARCE;
    if (this.isScarce) this.shed();
  }
}
