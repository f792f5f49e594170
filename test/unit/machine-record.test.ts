import { describe, expect, it } from 'vitest';
import type { MachineId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import {
  decodeFleetChunk,
  encodeFleetChunk,
  encodeMachine,
  type MachineRecord,
} from '../../src/store/machine-record.js';

const confirmed: MachineRecord = {
  machine: {
    id: 'host-1' as MachineId,
    type: 'small' as MachineTypeId,
    zone: 'north' as ZoneId,
    spot: true,
  },
  address: '10.1.0.1:9000',
  rentedAt: 1_700_000_000_000,
  isUp: false,
  isConfirmed: true,
};
const unconfirmed: MachineRecord = { ...confirmed, isUp: true, isConfirmed: false };

describe('fleet record', () => {
  it('stores machine fields by position, and the confirmed flag only for confirmed machines', () => {
    expect(JSON.stringify(encodeFleetChunk([encodeMachine(confirmed), encodeMachine(unconfirmed)]))).toBe(
      '{"m":[["host-1","small","north",1,"10.1.0.1:9000",1700000000000,0,1],' +
        '["host-1","small","north",1,"10.1.0.1:9000",1700000000000,1]]}',
    );
  });

  it('decodes encoded machines to the same values', () => {
    const stored: unknown = JSON.parse(
      JSON.stringify(encodeFleetChunk([confirmed, unconfirmed].map(encodeMachine))),
    );
    expect(decodeFleetChunk(stored)).toEqual([confirmed, unconfirmed]);
  });
});
