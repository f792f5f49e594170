/** Watches how near this process is to its heap limit. */
import { getHeapStatistics } from 'node:v8';
import { type Clock, runPeriodically } from '../model/time.js';

const SAMPLE_INTERVAL_MS = 1000;
/** From this part of the heap's limit on, caches are dropped and no new work is taken. */
const SCARCE_FRACTION = 0.9;

/** A reading of the heap, as V8 gives it. */
interface HeapReading {
  readonly used_heap_size: number;
  readonly heap_size_limit: number;
}

/**
 * Samples the heap. A process that reaches its heap's limit ends, and with it all that it was about to answer: so
 * caches are dropped first, then submissions are refused.
 */
export class MemoryMonitor {
  private scarce = false;

  constructor(
    clock: Clock,
    /** Drops what can be read again; called at each sample while memory is scarce. */
    private readonly dropCaches: () => void,
    private readonly read: () => HeapReading = getHeapStatistics,
  ) {
    runPeriodically(clock, SAMPLE_INTERVAL_MS, () => this.sample());
  }

  /** Whether no new work should be taken. */
  get isScarce(): boolean {
    return this.scarce;
  }

  private sample(): void {
    const { used_heap_size: used, heap_size_limit: limit } = this.read();
    this.scarce = used > limit * SCARCE_FRACTION;
    if (this.scarce) this.dropCaches();
  }
}
