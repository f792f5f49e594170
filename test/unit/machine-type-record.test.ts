import { describe, expect, it } from 'vitest';
import { decodeMachineTypes, encodeMachineTypes } from '../../src/store/machine-type-record.js';
import { MACHINE_TYPES } from '../simulation/site-setup.js';

/** The value under `cloud/types` as every released version writes it. */
const STORED = [
  {
    id: 'small',
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 0.4,
    spotPrice: 0.1,
    boot: 20_000,
    zones: ['north', 'south'],
  },
];

describe('machine type record', () => {
  it('is encoded byte for byte as by earlier versions', () => {
    expect(JSON.stringify(encodeMachineTypes(MACHINE_TYPES))).toBe(JSON.stringify(STORED));
  });

  it('decodes the record that earlier versions wrote', () => {
    expect(decodeMachineTypes(STORED)).toEqual(MACHINE_TYPES);
  });
});
