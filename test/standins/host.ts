import type { Machine, MachineType } from '../../src/model/machine.js';
import { FactSource } from '../../src/model/machine-facts.js';
import type { Steady } from '../../src/model/time.js';
import { Host } from '../../src/workers/state/worker.js';
import { TYPES } from './site-setup.js';

/** A machine of which everything is known. */
export function hostOf(machine: Machine, at: Steady, type = TYPES[0] as MachineType): Host {
  return new Host(
    machine.id,
    { state: 'confirmed', machine, type, source: FactSource.Report, learnedAt: at },
    at,
  );
}
