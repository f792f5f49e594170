import { describe, expect, it } from 'vitest';
import { encodeEpoch, encodeLeader, decodeEpoch, decodeLeader } from '../../src/store/leader-record.js';

describe('leader and epoch records', () => {
  it('are compatible with versions without failure detection', () => {
    const leader = { member: 'a' as never, epoch: 4 as never, version: 3 };
    expect(decodeLeader(encodeLeader(leader))).toEqual(leader);
    expect(decodeLeader(encodeLeader({ ...leader, process: 'p' }, 7))).toEqual({ ...leader, process: 'p' });
    expect(decodeLeader({ member: 'a', epoch: 4 })).toEqual({ ...leader, version: 0 });
    expect(encodeEpoch({ epoch: 4 as never, early: false })).toEqual({ n: 4 });
    expect(decodeEpoch({ n: 4 })).toEqual({ epoch: 4, early: false });
    expect(decodeEpoch(encodeEpoch({ epoch: 4 as never, early: true }))).toEqual({ epoch: 4, early: true });
    expect(decodeEpoch(undefined)).toEqual({ epoch: 0, early: false });
  });
});
