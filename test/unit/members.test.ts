import { describe, expect, it } from 'vitest';
import { adviceFor, renderMembers } from '../../src/cli/members.js';
import { main } from '../../src/cli/program.js';
import { MEMBERSHIP_VERSION } from '../../src/model/protocol.js';
import type { MembersReport } from '../../src/wire/members.js';

describe('plumyoke members', () => {
  const report: MembersReport = {
    observer: 'a',
    version: MEMBERSHIP_VERSION,
    failureDetection: true,
    members: [
      {
        member: 'a',
        state: 'alive',
        forMs: 0,
        connection: 'connected',
        load: 0.1,
        ready: true,
        evidence: [],
        owns: [],
      },
      {
        member: 'b',
        state: 'failed',
        forMs: 200_000,
        connection: 'isolated',
        load: null,
        ready: false,
        evidence: ['a has neither heard b nor had an answer for 203.1 s (seen 0.0 s ago)'],
        owns: ['cluster (epoch 7)'],
      },
    ],
    dropped: { malformed: 3 },
  };

  it('prints a table, the evidence where something is wrong, and what to do', () => {
    expect(renderMembers(report)).toBe(
      [
        'Controllers as a sees them:',
        '',
        'CONTROLLER  STATE   SINCE  LOAD  OWNS               WHAT TO DO',
        'a           alive   0 s    10%   -                  nothing',
        'b           failed  3 min  -     cluster (epoch 7)  another controller has taken over its work; check whether its process runs, and start it',
        '',
        'Evidence:',
        '  a has neither heard b nor had an answer for 203.1 s (seen 0.0 s ago)',
        '',
        'Messages dropped since the start of this controller:',
        '  3 malformed',
        '',
      ].join('\n'),
    );
  });

  it('states that failure detection is off on a controller without failure detection', () => {
    const off = { ...report, failureDetection: false };
    expect(renderMembers(off)).toContain(
      'Failure detection is off on this controller (deploy/membership.toml)',
    );
  });

  it('gives advice for members whose connection is `partly-cut` or `deaf`', () => {
    const [line] = report.members as [MembersReport['members'][number]];
    expect(adviceFor({ ...line, connection: 'partly-cut' })).toContain(
      'check the network between the controllers',
    );
    expect(adviceFor({ ...line, state: 'suspect', connection: 'deaf' })).toContain('it receives none');
  });

  it('reports an unreachable controller in one line, with a non-zero exit code', async () => {
    const lines: string[] = [];
    const write = process.stderr.write.bind(process.stderr);
    const exit = process.exit.bind(process);
    const codes: unknown[] = [];
    process.stderr.write = (text) => lines.push(String(text)) > 0;
    process.exit = (code) => codes.push(code) as never;
    try {
      await main(['members', '--address', '127.0.0.1:1']);
    } finally {
      process.stderr.write = write;
      process.exit = exit;
      process.exitCode = 0;
    }
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(
      /^plumyoke: the controller at 127\.0\.0\.1:1 cannot be asked: ECONNREFUSED; see whether/,
    );
    expect(codes).toEqual([1]);
  });
});
