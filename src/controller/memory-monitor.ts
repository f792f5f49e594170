/** Monitors this process's heap usage relative to its heap limit. */
import { getHeapStatistics } from 'node:v8';
import { type Clock, runPeriodically } from '../model/time.js';

/** How often the heap usage is sampled. */
const SAMPLE_INTERVAL_MS = 1000;
/** The fraction of the heap limit above which memory is freed and submissions are refused. */
const SCARCE_MEMORY_RATIO = 0.9;

/** Heap statistics in bytes, as V8 reports them. */
interface HeapReading {
  readonly used_heap_size: number;
  readonly heap_size_limit: number;
}

/**
 * Samples the heap usage. A process that reaches its heap limit crashes and loses all requests in progress; to prevent
 * this, memory is freed and submissions are refused while a sample shows scarce memory.
 */
export class MemoryMonitor {
  private scarce = false;

  constructor(
    clock: Clock,
    /** Drops cached data that nobody uses; called at each sample while memory is scarce. */
    private readonly freeMemory: () => void,
    private readonly read: () => HeapReading = getHeapStatistics,
  ) {
    runPeriodically(clock, SAMPLE_INTERVAL_MS, () => this.sample());
  }

  /** Whether the heap usage at the last sample was so near the limit that submissions must be refused. */
  get isScarce(): boolean {
    return this.scarce;
  }

  private sample(): void {
    const { used_heap_size: used, heap_size_limit: limit } = this.read();
    this.scarce = used > limit * SCARCE_MEMORY_RATIO;
    if (this.scarce) this.freeMemory();
  }
}
