import { describe, expect, it } from 'vitest';
import { ProgressCache } from '../../src/controller/progress-cache.js';
import { readOperators } from '../../src/config/operators.js';
import type { MachineId, JobId, TaskIndex, AttemptNumber } from '../../src/model/ids.js';
import { encodeFrame, FrameKind, FrameReader, MalformedFrameError } from '../../src/peer/frames.js';
import { decodeProgress, encodeProgress } from '../../src/peer/job-progress.js';
import { decodeChunk, encodeChunk } from '../../src/store/progress-record.js';
import { findSettingsBelowMinimum } from '../../src/config/settings-minimums.js';
import { readSettings } from '../../src/wire/settings.js';
import { VirtualClock } from '../simulation/clock.js';
import { parseSubmission } from '../../src/wire/users.js';
import { parseHeartbeat, heartbeatSchema } from '../../src/wire/workers.js';

const submission = {
  ref: 'j-000412',
  jobclass: 'train',
  owner: 'vision',
  shape: 'array',
  rank: 'urgent',
  shards: 16,
  cpus: 8.0,
  gpus: 1.0,
  memoryGb: 64.0,
  bundle: 'img-07',
  pullGb: 6.2,
  samePlace: true,
  apart: false,
  reclaimable: true,
  expectedS: 240.0,
  savepointS: 30.0,
  flushS: 4.0,
};

describe('submissions', () => {
  it('may omit nullable fields and contain unknown fields', () => {
    const parsed = parseSubmission({ ...submission, later: 1, dueS: null });
    expect(parsed).toMatchObject({ ok: true, value: { allowedTypes: null, zone: null, deadlineS: null } });
  });

  it.each([
    ['ref', 'job-1'],
    ['shards', 0],
    ['shards', 1.5],
    ['shape', 'swarm'],
    ['cpus', -1],
    ['samePlace', 'yes'],
    ['bundle', undefined],
  ])('are rejected with %s = %s', (field, value) => {
    expect(parseSubmission({ ...submission, [field]: value }).ok).toBe(false);
  });

  it('are rejected if the body is not an object', () => {
    for (const body of [null, undefined, 3, 'x', []]) expect(parseSubmission(body).ok).toBe(false);
  });
});

describe('heartbeats', () => {
  const validHeartbeat = {
    host: 'host-000001',
    address: '10.1.0.1:9000',
    flavour: 'g8',
    hall: 'a',
    reclaimable: false,
    tenure: 1,
    counter: 2,
    epoch: 3,
    warningS: 4.5,
    shards: [{ shard: 'j-000001/0', try: 1, status: 'running', cause: 'done' }],
  };

  it('count an attempt in an unknown state as running on the machine', () => {
    const shards = [{ ...validHeartbeat.shards[0], status: 'dreaming' }];
    const parsed = parseHeartbeat({ ...validHeartbeat, warningS: undefined, shards });
    expect(parsed).toMatchObject({
      ok: true,
      value: { attempts: [{ state: 'running' }], interruptionNotice: null },
    });
  });

  // A hand-written check validates heartbeats first, and the schema only validates those that fail the check. Both have
  // to accept and refuse the same values.
  const attempt = validHeartbeat.shards[0];
  const candidateValues = [
    undefined,
    null,
    true,
    -1,
    0,
    1.5,
    2 ** 60,
    '',
    'x',
    'x'.repeat(201),
    {},
    [],
    [null],
  ];

  it.each(Object.keys(validHeartbeat))(
    'with any value for %s are accepted by the check if and only if the schema accepts them, with an error otherwise',
    (field) => {
      for (const value of candidateValues) {
        const body = { ...validHeartbeat, [field]: value };
        const parsed = parseHeartbeat(body);
        expect(parsed.ok, JSON.stringify(value)).toBe(heartbeatSchema.safeParse(body).success);
        if (!parsed.ok) expect(parsed.error).toContain(field);
      }
    },
  );

  it.each(Object.keys(attempt ?? {}))(
    'with any value for an attempt’s %s are accepted by the check if and only if the schema accepts them',
    (field) => {
      for (const value of candidateValues) {
        const body = { ...validHeartbeat, shards: [attempt, { ...attempt, [field]: value }] };
        expect(parseHeartbeat(body).ok, JSON.stringify(value)).toBe(heartbeatSchema.safeParse(body).success);
      }
    },
  );

  it('are rejected if the body is not an object', () => {
    for (const body of [null, undefined, 3, 'x', []]) expect(parseHeartbeat(body).ok).toBe(false);
  });
});

describe('frames', () => {
  it('are reassembled from a stream that arrives byte by byte', () => {
    const bytes = Buffer.concat([
      encodeFrame(FrameKind.Heartbeat, 7, Buffer.from('{"a":1}')),
      encodeFrame(FrameKind.Ping, 0, Buffer.alloc(3)),
    ]);
    const reader = new FrameReader();
    const frames = [...bytes].flatMap((b) => reader.push(Buffer.from([b])));
    expect(frames.map((f) => [f.kind, f.requestId, f.payload.length])).toEqual([
      [FrameKind.Heartbeat, 7, 7],
      [FrameKind.Ping, 0, 3],
    ]);
  });

  it('are rejected if they are malformed', () => {
    expect(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n'))).toThrow(MalformedFrameError);
    expect(() => decodeProgress(Buffer.from([200, 1, 2]))).toThrow(MalformedFrameError);
  });

  it('carry the task counts of jobs', () => {
    const jobs = [{ id: 'j-000412' as JobId, done: 3, running: 13 }];
    expect(encodeProgress(jobs).map(decodeProgress)).toEqual([jobs]);
    expect(encodeProgress([]).map(decodeProgress)).toEqual([[]]);
  });

  it('carry a list of task counts that exceeds the payload limit in several frames, without loss', () => {
    const jobs = Array.from({ length: 9000 }, (_, n) => ({ id: `j-${n}` as JobId, done: n, running: n % 7 }));
    const payloads = encodeProgress(jobs, 4096);
    expect(payloads.every((payload) => payload.length <= 4096)).toBe(true);
    expect(payloads.flatMap(decodeProgress)).toEqual(jobs);
    const cache = new ProgressCache(new VirtualClock());
    for (const payload of payloads) cache.update(payload);
    expect([cache.get('j-0' as JobId)?.done, cache.get('j-8999' as JobId)?.done]).toEqual([0, 8999]);
  });
});

describe('progress records', () => {
  it('store the done tasks of a chunk as ranges', () => {
    const progress = {
      done: new Set([0, 1, 2, 5] as TaskIndex[]),
      placed: new Map([
        [3 as TaskIndex, { attemptNumber: 2 as AttemptNumber, machine: 'host-000001' as MachineId }],
      ]),
      usedAttempts: new Map([[4 as TaskIndex, 1 as AttemptNumber]]),
    };
    const stored = encodeChunk(progress);
    expect(stored).toEqual({
      d: [
        [0, 2],
        [5, 5],
      ],
      p: [[3, 2, 'host-000001']],
      u: [[4, 1]],
    });
    expect(decodeChunk(JSON.parse(JSON.stringify(stored)))).toEqual(progress);
  });
});

describe('settings', () => {
  it('are rejected with an error that names the invalid field', () => {
    expect(() => readSettings({ member: 'a' })).toThrow(/^site: /);
    expect(() => readOperators({ forecast: { slot_s: -1 } })).toThrow(/^forecast\.slot_s: /);
    expect(() => readOperators({ fleet: { give_back: 1 } })).toThrow(/give_back/);
  });

  it('that are too small to run the service, or a CPU share above 1, are listed by field', () => {
    const findTooSmall = (resources: object, workers: object): string[] =>
      findSettingsBelowMinimum(
        readSettings({
          member: 'a',
          site: 'north',
          front: '127.0.0.1:1',
          cluster_listen: '127.0.0.1:2',
          endpoints: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
          facts: {
            teams: [],
            workers: { report_s: 6, lease_s: 34, cancel_s: 59, ...workers },
            state: { rps: 100, write_rps: 25, value_kb: 16, txn_ops: 16 },
            cloud: { rps: 4, list_lag_s: 4 },
            resources,
          },
        }),
      );
    expect(findTooSmall({ sockets: 1200, memory_mb: 64, cpu: 0.05 }, {})).toEqual([]);
    for (const cpu of [0, -0.1, 1.5])
      expect(findTooSmall({ sockets: 1200, cpu }, {})[0]).toMatch(/^facts.resources.cpu:/);
    const lines = findTooSmall({ sockets: 80, memory_mb: 63 }, { lease_s: 12, cancel_s: 10 });
    expect(lines.map((line) => line.split(':')[0])).toEqual([
      'facts.resources.sockets',
      'facts.resources.memory_mb',
      'facts.workers.lease_s',
      'facts.workers.cancel_s',
    ]);
  });
});
