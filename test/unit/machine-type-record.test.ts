import { describe, expect, it } from 'vitest';
import { decodeMachineTypes, encodeMachineTypes } from '../../src/store/machine-type-record.js';
import { MACHINE_TYPES } from '../simulation/site-setup.js';

/** The value under `cloud/types` as every landed version writes it. */
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

describe('the record of the machine types', () => {
  it('is written as by earlier versions, to the byte', () => {
    expect(JSON.stringify(encodeMachineTypes(MACHINE_TYPES))).toBe(JSON.stringify(STORED));
  });

  it('is read as earlier versions wrote it', () => {
    expect(decodeMachineTypes(STORED)).toEqual(MACHINE_TYPES);
  });
});
