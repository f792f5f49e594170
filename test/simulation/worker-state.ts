/** Builds workers for unit tests. */
import type { Machine, MachineType } from '../../src/model/machine.js';
import { FactSource } from '../../src/model/machine-facts.js';
import type { MonotonicTime } from '../../src/model/time.js';
import { Worker } from '../../src/workers/state/worker.js';
import { MACHINE_TYPES } from './site-setup.js';

/** Returns a worker whose machine has been confirmed by a heartbeat at `at`. */
export function confirmedWorker(
  machine: Machine,
  at: MonotonicTime,
  type = MACHINE_TYPES[0] as MachineType,
): Worker {
  return new Worker(
    machine.id,
    { state: 'confirmed', machine, type, source: FactSource.Heartbeat, learnedAt: at },
    at,
  );
}
