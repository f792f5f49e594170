import { describe, expect, it } from 'vitest';
import type { JobId } from '../../src/model/ids.js';
import { DEFAULT_CHUNK_SIZE, keys, parseOpenKey } from '../../src/store/keys.js';

describe('progress chunk keys', () => {
  it('include the chunk size unless it is the default size', () => {
    const id = 'j-000001' as JobId;
    expect(keys.openChunk(id, 3, DEFAULT_CHUNK_SIZE)).toBe('open/j-000001/0003');
    expect(parseOpenKey(keys.openChunk(id, 3, 56))).toEqual({ job: id, chunk: 3, size: 56 });
    expect(parseOpenKey('open/j-000001')).toEqual({ job: id, chunk: null, size: DEFAULT_CHUNK_SIZE });
  });
});
