import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PeerSupport, type MemberId } from '@plumyoke/membership';
import { afterEach, describe, expect, it } from 'vitest';
import { adviceFor, renderMembers } from '../../src/cli/members.js';
import { main } from '../../src/cli/program.js';
import { FAILURE_DETECTION_OFF_STATUS } from '../../src/leadership/failover/detection-status.js';
import { PeerTransport } from '../../src/leadership/failover/peer-transport.js';
import { RecordPrefetcher } from '../../src/leadership/failover/record-prefetcher.js';
import { readRecords } from '../../src/store/records.js';
import { checkFailover } from '../../src/leadership/failover/failover-settings.js';
import { loadFeatures } from '../../src/config/features.js';
import { InvalidSettingsError } from '../../src/config/operators.js';
import { silentLogger } from '../../src/log/logger.js';
import type { MemberId as ControllerId } from '../../src/model/ids.js';
import { MEMBERSHIP_VERSION } from '../../src/model/protocol.js';
import type { FrameKind } from '../../src/peer/frames.js';
import type { Peer } from '../../src/peer/peer.js';
import { epochRecord, encodeEpoch, encodeLeader, leaderRecord } from '../../src/store/leader-record.js';
import type { MembersReport } from '../../src/wire/members.js';
import { VirtualClock } from '../simulation/clock.js';
import { settingsOf, SMALL } from '../simulation/site-setup.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';

const folders: string[] = [];
afterEach(() => folders.splice(0).forEach((folder) => rmSync(folder, { recursive: true })));

function folderWith(text: string | null): string {
  const folder = mkdtempSync(join(tmpdir(), 'plumyoke-'));
  folders.push(folder);
  if (text !== null) writeFileSync(join(folder, 'membership.toml'), text);
  return folder;
}

describe('the feature file of failure detection', () => {
  it('is off without a file, without a folder, and where it says so', () => {
    expect(loadFeatures(undefined).failover).toBeNull();
    expect(loadFeatures(folderWith(null)).failover).toBeNull();
    expect(loadFeatures(folderWith('enabled = false')).failover).toBeNull();
    expect(loadFeatures(folderWith('enabled = true')).failover).toMatchObject({ earlyTakeover: false });
  });

  it.each([
    ['enabled: missing, or no boolean', ''],
    ['enabled: missing, or no boolean', 'enabled = 1'],
    ['suspicion_s: below 0', 'enabled = true\nsuspicion_s = -1'],
    ['unknown field suspicion', 'enabled = true\nsuspicion = 2'],
    ['probe_timeout_s: above probe_interval_s', 'enabled = true\nprobe_timeout_s = 2'],
    ['suspicion_s: above 600', 'enabled = true\nsuspicion_s = 6000'],
    ['max_messages_per_s: below 2', 'enabled = true\nmax_messages_per_s = 1'],
  ])('names the field: %s', (message, text) => {
    const folder = folderWith(text);
    expect(() => loadFeatures(folder)).toThrow(`${join(folder, 'membership.toml')}: ${message}`);
  });
});

describe('check-config', () => {
  it('refuses failure detection with a controller that is named twice, with exit code 2', async () => {
    const settings = settingsOf('a', SMALL);
    const sibling = { member: 'b' as ControllerId, address: '127.0.0.1:2' };
    const feature = loadFeatures(folderWith('enabled = true')).failover;
    if (feature === null) throw new Error('off');
    expect(() => checkFailover({ ...settings, peers: [sibling, sibling] }, feature)).toThrow(
      InvalidSettingsError,
    );
    expect(() => checkFailover({ ...settings, peers: [sibling, sibling] }, feature)).toThrow(
      'membership.toml: members: b is named twice',
    );
    const path = join(folderWith('enabled = 7'), 'membership.toml');
    await main(['check-config', '--config', path, '--features', path.replace('/membership.toml', '')]);
    expect(process.exitCode).toBe(2);
    process.exitCode = 0;
  });
});

describe('plumyoke members', () => {
  const heartbeat: MembersReport = {
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
    expect(renderMembers(heartbeat)).toBe(
      [
        'Controllers as a sees them:',
        '',
        'CONTROLLER  STATE   SINCE  LOAD  OWNS               WHAT TO DO',
        'a           alive   0 s    10%   -                  nothing',
        'b           failed  3 min  -     cluster (epoch 7)  its work is with another controller; see whether its process runs, and start it',
        '',
        'Evidence:',
        '  a has neither heard b nor had an answer for 203.1 s (seen 0.0 s ago)',
        '',
        'Messages dropped since its start:',
        '  3 malformed',
        '',
      ].join('\n'),
    );
  });

  it('says so where failure detection is off', () => {
    const off = { ...heartbeat, failureDetection: false };
    expect(renderMembers(off)).toContain(
      'Failure detection is off on this controller (deploy/membership.toml)',
    );
  });

  it('tells a partly cut member and a deaf one what to do', () => {
    const [line] = heartbeat.members as [MembersReport['members'][number]];
    expect(adviceFor({ ...line, connection: 'partly-cut' })).toContain('look at the network');
    expect(adviceFor({ ...line, state: 'suspect', connection: 'deaf' })).toContain('hears nobody');
  });

  it('tells of an unreachable controller in one line, with a non-zero exit code', async () => {
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

/** A peer that responds to everything, and the kinds of frames that it was sent. */
function respondingPeer(overrides: Partial<Peer>): { peer: Peer; requested: FrameKind[] } {
  const requested: FrameKind[] = [];
  const peer: Peer = {
    member: 'b' as ControllerId,
    lastPing: null,
    isConnected: true,
    hasSpareCapacity: true,
    supports: () => true,
    request: (kind) => {
      requested.push(kind);
      return Promise.resolve({ status: 200, body: Buffer.from('answer') });
    },
    ...overrides,
  };
  return { peer, requested };
}

describe('PeerTransport', () => {
  const B = 'b' as MemberId;
  const nothing = new Uint8Array();

  // An earlier version closes the connection on a kind that it does not know, and with it everything else that is said there.
  it('never sends to a peer of an earlier version', async () => {
    const { peer: old, requested } = respondingPeer({ supports: () => false });
    const transport = new PeerTransport([old], new VirtualClock());
    expect(transport.support(B)).toBe(PeerSupport.Unsupported);
    expect(await transport.request(B, nothing, 100)).toBeNull();
    expect(requested).toEqual([]);
  });

  it('tells a peer without failure detection from one that is unresponsive', async () => {
    const clock = new VirtualClock();
    const off = { status: FAILURE_DETECTION_OFF_STATUS, body: Buffer.alloc(0) };
    const { peer: disabled } = respondingPeer({ request: () => Promise.resolve(off) });
    const transport = new PeerTransport([disabled], clock);
    expect(transport.support(B)).toBe(PeerSupport.Supported);
    expect(await transport.request(B, nothing, 100)).toBeNull();
    expect(transport.support(B)).toBe(PeerSupport.Unsupported);
    await clock.advance(6000);
    expect(transport.support(B)).toBe(PeerSupport.Supported);
    const { peer: unresponsive } = respondingPeer({ request: () => Promise.resolve(null) });
    const other = new PeerTransport([unresponsive], clock);
    expect(await other.request(B, nothing, 100)).toBeNull();
    expect(other.support(B)).toBe(PeerSupport.Supported);
  });
});

describe('RecordPrefetcher', () => {
  const set = (key: string, value: unknown) => ({ set: key, value });

  async function filled(): Promise<{
    clock: VirtualClock;
    state: FakeKeyValueStore;
    prefetch: RecordPrefetcher;
  }> {
    const clock = new VirtualClock();
    const state = new FakeKeyValueStore(clock);
    const store = state.for('a', clock);
    for (let n = 0; n < 8; n++) {
      void store.txn(
        [],
        [1, 2, 3].map((part) => set(`open/j-${n}/${part}`, { n })),
      );
    }
    void store.txn([], [set('fleet/0000', { m: [] })]);
    await clock.advance(1000);
    return { clock, state, prefetch: new RecordPrefetcher(store, clock, silentLogger) };
  }

  it('hands out what a read would bring at that moment', async () => {
    const { clock, state, prefetch } = await filled();
    void prefetch.start();
    await clock.advance(100);
    const store = state.for('a', clock);
    void store.txn([], [{ drop: 'open/j-3/1' }, set('open/j-3/2', { n: 33 }), set('open/j-9/1', { n: 9 })]);
    await clock.advance(100);
    const taken = prefetch.take('open/');
    const read = readRecords(store, 'open/', (ask) => ask());
    await clock.advance(100);
    expect(await taken).toEqual(await read);
    // Each is handed out once: what is asked for later has to be read.
    expect(await prefetch.take('open/')).toBeNull();
  });

  it('drops the records when the suspicion is refuted, and after a while', async () => {
    const { clock, prefetch } = await filled();
    void prefetch.start();
    await clock.advance(100);
    prefetch.discard();
    expect(await prefetch.take('open/')).toBeNull();
    void prefetch.start();
    await clock.advance(61_000);
    expect(await prefetch.take('fleet/')).toBeNull();
  });

  it('hands out nothing, rather than something wrong, where the store was out', async () => {
    const { clock, state, prefetch } = await filled();
    state.outage = true;
    void prefetch.start();
    await clock.advance(1000);
    state.outage = false;
    expect(await prefetch.take('open/')).toBeNull();
  });
});

describe('the records of leadership', () => {
  it('are read by and from versions without failure detection', () => {
    const leader = { member: 'a' as never, epoch: 4 as never, version: 3 };
    expect(leaderRecord(encodeLeader(leader))).toEqual(leader);
    expect(leaderRecord(encodeLeader({ ...leader, process: 'p' }, 7))).toEqual({ ...leader, process: 'p' });
    expect(leaderRecord({ member: 'a', epoch: 4 })).toEqual({ ...leader, version: 0 });
    expect(encodeEpoch({ epoch: 4 as never, early: false })).toEqual({ n: 4 });
    expect(epochRecord({ n: 4 })).toEqual({ epoch: 4, early: false });
    expect(epochRecord(encodeEpoch({ epoch: 4 as never, early: true }))).toEqual({ epoch: 4, early: true });
    expect(epochRecord(undefined)).toEqual({ epoch: 0, early: false });
  });
});
