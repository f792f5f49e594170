/** Builds the controller's worker state for unit tests. */
import type { Machine, MachineType } from '../../src/model/machine.js';
import { FactSource } from '../../src/model/machine-facts.js';
import type { MonotonicTime } from '../../src/model/time.js';
import { Worker } from '../../src/workers/state/worker.js';
import { MACHINE_TYPES } from './site-setup.js';

/** Returns the state of a worker whose machine a heartbeat confirmed at the time `at`. */
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
