import { describe, expect, it } from 'vitest';
import { openLogger } from '../../src/log/logger.js';

describe('openLogger', () => {
  it('writes one JSON object per line, for lines at or above its level', () => {
    const lines: string[] = [];
    const log = openLogger('node-0', 'info', (line) => lines.push(line));
    log.debug({}, 'not written');
    log.info({ jobs: 3 }, 'written');
    log.error({ error: 'a\nb' }, 'written too');
    expect(lines.map((line) => line.indexOf('\n') === line.length - 1)).toEqual([true, true]);
    expect(lines.map((line) => JSON.parse(line) as unknown)).toMatchObject([
      { level: 30, member: 'node-0', jobs: 3, msg: 'written' },
      { level: 50, member: 'node-0', error: 'a\nb', msg: 'written too' },
    ]);
  });
});
