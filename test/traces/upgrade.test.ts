import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import {
  type Epoch,
  type Revision,
  type JobId,
  type MachineId,
  type MemberId,
  type FenceGeneration,
  fencingTokenOf,
} from '../../src/model/ids.js';
import { encodeFrame, FrameKind, FrameReader } from '../../src/peer/frames.js';
import { encodeProgress } from '../../src/peer/job-progress.js';
import { decodePeerStatus } from '../../src/peer/peer-status.js';
import { decodePing, encodePing } from '../../src/peer/ping.js';
import { encodeUserRequest } from '../../src/peer/user-request.js';
import { encodeWorkerCall } from '../../src/peer/worker-call.js';
import {
  DEPENDENCIES_VERSION,
  PROTOCOL_VERSION,
  SPLIT_DESCRIPTIONS_VERSION,
} from '../../src/model/protocol.js';
import { parseOpenKey } from '../../src/store/keys.js';
import { decodeLeader } from '../../src/store/leader-record.js';
import { decodeChunk } from '../../src/store/progress-record.js';
import type { KeyValue } from '../../src/wire/key-value-store.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import type { JobRequest } from '../simulation/site-setup.js';
import { startedSite, runUntil } from './steps.js';

/** Records and frames that the production version wrote on its own fakes (docs/upgrade.md describes how). */
const production = JSON.parse(
  readFileSync(new URL('../fixtures/production.json', import.meta.url), 'utf8'),
) as {
  records: { key: string; value: unknown; stamp: Revision }[];
  frames: Record<'ping' | 'progress' | 'user' | 'call', string>;
};
const productionRecords: KeyValue[] = production.records.map(({ key, value, stamp }) => ({
  key,
  value,
  revision: stamp,
}));

/** The jobs in the records of the production version. */
const PRODUCTION_JOBS: JobRequest[] = [
  { ref: 'j-000001', tasks: 310, runS: 60 },
  { ref: 'j-000002', kind: 'service', tasks: 2, team: 'blue' },
  { ref: 'j-000003', runS: 2, team: 'blue' },
  { ref: 'j-000004', runS: 200, team: 'blue' },
  { ref: 'j-000005', tasks: 3, runS: 30, team: 'blue', apart: true },
];

/**
 * Returns a site with the records, machines and running tasks of the production version. If `hasOldControllers` is
 * true, all controllers but the first run an earlier version; `next` contains the announced store limits.
 */
function productionSite(hasOldControllers: boolean, next?: object): SimulatedSite {
  const site = new SimulatedSite({
    teamCpuLimits: { red: 700, blue: 60 },
    heartbeatIntervalS: 3,
    nodes: 3,
    ...(next ? { next } : {}),
  });
  site.restore(
    productionRecords.filter((record) => record.key !== 'leader'),
    PRODUCTION_JOBS,
    fencingTokenOf(1 as Epoch, 0 as FenceGeneration),
  );
  if (hasOldControllers) for (const name of site.nodes.slice(1)) site.earlierVersionNodes.add(name);
  return site;
}

/** Reads a record through a client of the key-value store; throws an error if the key does not exist. */
async function readRecord(site: SimulatedSite, key: string): Promise<KeyValue> {
  const pendingRow = site.store.clientFor('node-9', site.clock).get(key);
  await site.run(0.1);
  const record = await pendingRow;
  if (!record) throw new Error(`key ${key} does not exist in the key-value store`);
  return record;
}

describe('records of the production version', () => {
  it.each([
    ['while other controllers run it, and are written in a format that it can read', true, undefined],
    [
      'after all controllers have been upgraded, and are split for the announced limits',
      false,
      { value_kb: 2, txn_ops: 5, write_rps: 30 },
    ],
  ])('are taken over %s', async (_name, hasOldControllers, next) => {
    const site = productionSite(hasOldControllers, next);
    site.startAll();
    await site.run(3);
    // All tasks are still on their machines; none was stopped or started again.
    expect(site.runningTaskCount('j-000001')).toBe(310);
    expect(site.rules.startCount).toBe(315);
    expect(await site.query('j-000003')).toBe('done');
    expect(await site.query('j-000004', 'node-1')).toBe('cancelled');
    if (next) site.store.sizeLimits = { txnOps: 5, valueBytes: 2048 };
    // A machine dies, so that its tasks start on other machines and their progress records are written.
    site.killMachine(site.machineOf('j-000001/0'));
    await runUntil(site, () => site.runningTaskCount('j-000001') === 310, 40);
    await site.run(1);
    const split = [...site.store.keys.keys()].some((key) => /^open\/j-\d+\/\d+-/.test(key));
    expect(split).toBe(!hasOldControllers);
    await runUntil(site, () => site.store.value('open/j-000001') === undefined, 120);
    await site.run(5);
    expect(await site.query('j-000001')).toBe('done');
    expect(await site.query('j-000005')).toBe('done');
    expect(site.runningTaskCount('j-000002')).toBe(2);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
  });

  it('are not changed by a late write of the old leader, and a cancellation by an old controller takes effect', async () => {
    const site = productionSite(false);
    const epochBefore = productionRecords.find((record) => record.key === 'epoch')?.revision as Revision;
    site.startAll();
    await site.run(3);
    const oldClient = site.store.clientFor('node-9', site.clock);
    const lateTransaction = oldClient.txn(
      [{ key: 'epoch', revision: epochBefore }],
      [{ set: 'open/j-000001/0000', value: { d: [[0, 299]] } }],
    );
    await site.run(1);
    expect(await lateTransaction).toEqual({ ok: false, failed: ['epoch'] });
    expect(site.runningTaskCount('j-000001')).toBe(310);
    // The production version cancels a job by writing its record with only the state changed, on condition that the
    // record still has the revision that was read.
    const record = await readRecord(site, 'job/j-000001');
    const pendingCancellation = oldClient.txn(
      [{ key: record.key, revision: record.revision }],
      [{ set: record.key, value: { ...(record.value as object), s: 'c' } }],
    );
    await site.run(10);
    expect(await pendingCancellation).toMatchObject({ ok: true });
    expect(site.runningTaskCount('j-000001')).toBe(0);
    expect(site.store.value('open/j-000001')).toBe(undefined);
    expect(site.rules.violations).toEqual([]);
  });

  it('contain a leader record without a protocol version (version 0)', () => {
    const leaderRecord = productionRecords.find((record) => record.key === 'leader');
    expect(decodeLeader(leaderRecord?.value)).toMatchObject({ version: 0, member: 'node-0' });
  });
});

/**
 * Records and frames of the version that introduced dependent jobs (protocol version 1), recorded in the same way
 * as those of the production version.
 */
const dependenciesVersion = JSON.parse(
  readFileSync(new URL('../fixtures/landed.json', import.meta.url), 'utf8'),
) as {
  records: { key: string; value: unknown; stamp: Revision }[];
  frames: Record<'ping' | 'cancelled', string>;
  named: string[];
};

/** The jobs in the records of the version that introduced dependent jobs. */
const DEPENDENCIES_VERSION_JOBS: JobRequest[] = [
  { ref: 'j-000001', tasks: 310, runS: 60 },
  { ref: 'j-000002', kind: 'service', tasks: 2, team: 'blue' },
  { ref: 'j-000003', runS: 2, team: 'blue' },
  { ref: 'j-000004', runS: 200, team: 'blue' },
  { ref: 'j-000005', runS: 40, team: 'blue', awaits: ['j-000003'] },
  { ref: 'j-000006', runS: 5, team: 'blue', awaits: ['j-000005'], rank: 'urgent', dueS: 200 },
  { ref: 'j-000007', runS: 5, team: 'blue', awaits: ['j-000004'] },
  { ref: 'j-000008', runS: 5, team: 'blue', awaits: dependenciesVersion.named },
  ...dependenciesVersion.named.map((ref) => ({ ref, team: 'blue', cpus: 1, runS: 20 })),
];

describe('records of the version that introduced dependent jobs', () => {
  it('are taken over: split progress records, dependency records, and records of ended jobs', async () => {
    const next = { value_kb: 1, txn_ops: 5, write_rps: 30 };
    const site = new SimulatedSite({
      teamCpuLimits: { red: 700, blue: 60 },
      heartbeatIntervalS: 3,
      nodes: 3,
      next,
    });
    const records = dependenciesVersion.records.map(({ key, value, stamp }) => ({
      key,
      value,
      revision: stamp,
    }));
    site.restore(
      records.filter((record) => record.key !== 'leader'),
      DEPENDENCIES_VERSION_JOBS,
      fencingTokenOf(1 as Epoch, 0 as FenceGeneration),
    );
    site.store.sizeLimits = { txnOps: 5, valueBytes: 1024 };
    site.startAll();
    await site.run(3);
    expect(site.runningTaskCount('j-000001')).toBe(310);
    expect(site.runningTaskCount('j-000005')).toBe(1);
    expect(site.runningTaskCount('j-000006')).toBe(0);
    expect(await site.query('j-000003')).toBe('done');
    expect(await site.query('j-000007', 'node-1')).toBe('cancelled');
    // The dependencies of j-000008 are in a record of their own. The death of a machine splits no record again.
    site.killMachine(site.machineOf('j-000001/0'));
    await runUntil(site, () => site.store.value('open/j-000008') === undefined, 200);
    await runUntil(site, () => site.store.value('open/j-000006') === undefined, 60);
    await runUntil(site, () => site.store.value('open/j-000001') === undefined, 120);
    await site.run(5);
    for (const ref of ['j-000001', 'j-000006', 'j-000008']) expect(await site.query(ref)).toBe('done');
    expect(site.runningTaskCount('j-000002')).toBe(2);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
    expect(site.store.rejectedTransactions).toEqual([]);
  });

  it('and frames of that version can be decoded; its pings announce a version without split descriptions', () => {
    const bytes = Object.values(dependenciesVersion.frames).map((hex) => Buffer.from(hex, 'hex'));
    const frames = new FrameReader().push(Buffer.concat(bytes));
    expect(frames.map((frame) => frame.kind)).toEqual([FrameKind.Ping, FrameKind.ConfirmedCancellations]);
    const ping = decodePing(frames[0]?.payload as Buffer);
    expect(ping).toMatchObject({ version: DEPENDENCIES_VERSION, leadingEpoch: 5 });
    expect(ping.version).toBeLessThan(SPLIT_DESCRIPTIONS_VERSION);
    expect(decodePeerStatus(frames[1]?.payload as Buffer)).toEqual({
      uptime: 61_000,
      leadingEpoch: 5,
      cancellations: [{ id: 'j-000412', age: 1500 }],
    });
  });
});

/**
 * Records of the version of commit a2c346b, recorded in the same way as those of the production version: a leader
 * wrote small progress records, and the next leader wrote larger ones.
 */
const mixedChunkVersion = JSON.parse(
  readFileSync(new URL('../fixtures/grown.json', import.meta.url), 'utf8'),
) as {
  records: { key: string; value: unknown; stamp: Revision }[];
};
const MIXED_CHUNK_REF = 'j-000001';
const MIXED_CHUNK_TASK_COUNT = 70;

/**
 * Returns the machine of each task as the version of commit a2c346b reads the records: progress records with
 * smaller chunks take precedence, whatever their revision.
 */
function machinesAsReadByMixedChunkVersion(site: SimulatedSite): Map<string, string> {
  const chunks = [...site.store.keys].flatMap(([key, { value }]) => {
    const openKey = parseOpenKey(key);
    return openKey?.chunk == null ? [] : [{ size: openKey.size, ...decodeChunk(value) }];
  });
  const machineOfTask = new Map<string, string>();
  for (const { done, placed, usedAttempts } of chunks.sort(
    (chunk, otherChunk) => otherChunk.size - chunk.size,
  )) {
    for (const index of [...done, ...usedAttempts.keys()])
      machineOfTask.delete(`${MIXED_CHUNK_REF}/${index}`);
    for (const [index, { machine }] of placed) machineOfTask.set(`${MIXED_CHUNK_REF}/${index}`, machine);
  }
  return machineOfTask;
}

describe('records of a version that wrote larger chunks after smaller ones', () => {
  it('are taken over according to the later records, and that version can read the rewritten records', async () => {
    const site = new SimulatedSite({ teamCpuLimits: { red: 140, blue: 0 }, heartbeatIntervalS: 3, nodes: 3 });
    const records = mixedChunkVersion.records.map(({ key, value, stamp }) => ({
      key,
      value,
      revision: stamp,
    }));
    site.restore(
      records.filter((record) => record.key !== 'leader'),
      [{ ref: MIXED_CHUNK_REF, tasks: MIXED_CHUNK_TASK_COUNT, runS: 100 }],
      fencingTokenOf(2 as Epoch, 0 as FenceGeneration),
    );
    const actualMachines = (): Map<string, string> =>
      new Map(
        Array.from({ length: MIXED_CHUNK_TASK_COUNT }, (_, index): [string, string] => {
          const task = `${MIXED_CHUNK_REF}/${index}`;
          return [task, site.machineOf(task)];
        }),
      );
    // The version of the records would expect eight tasks on machines that no longer exist.
    const missingMachines = [...machinesAsReadByMixedChunkVersion(site).values()].filter(
      (machine) => !site.workers.has(machine as MachineId),
    );
    expect(missingMachines).toHaveLength(8);
    site.startAll();
    await site.run(5);
    expect(site.runningTaskCount(MIXED_CHUNK_REF)).toBe(MIXED_CHUNK_TASK_COUNT);
    expect(site.rules.startCount).toBe(MIXED_CHUNK_TASK_COUNT);
    expect(machinesAsReadByMixedChunkVersion(site)).toEqual(actualMachines());
    // The records are also readable for that version after the tasks of two machines were placed again.
    site.killMachine(site.machineOf(`${MIXED_CHUNK_REF}/0`));
    site.killMachine(site.machineOf(`${MIXED_CHUNK_REF}/60`));
    await runUntil(site, () => site.runningTaskCount(MIXED_CHUNK_REF) === MIXED_CHUNK_TASK_COUNT, 60);
    await site.run(1);
    expect(machinesAsReadByMixedChunkVersion(site)).toEqual(actualMachines());
    await runUntil(site, () => site.store.value(`open/${MIXED_CHUNK_REF}`) === undefined, 200);
    await site.run(5);
    expect(await site.query(MIXED_CHUNK_REF)).toBe('done');
    expect([...site.store.keys.keys()].filter((key) => key.startsWith('open/'))).toEqual([]);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});

describe('frames of the production version', () => {
  it('can be read, and the current version writes the same frames', () => {
    const bytes = Object.values(production.frames).map((hex) => Buffer.from(hex, 'hex'));
    const frames = new FrameReader().push(Buffer.concat(bytes));
    expect(frames.map((f) => f.kind)).toEqual([
      FrameKind.Ping,
      FrameKind.Progress,
      FrameKind.UserRequest,
      FrameKind.WorkerCall,
    ]);
    expect(decodePing(frames[0]?.payload as Buffer)).toEqual({
      member: 'node-0',
      isStoreReachable: true,
      leadingEpoch: 5,
      version: 0,
      load: 0,
    });
    const hex = (kind: FrameKind, request: number, payload: Buffer): string =>
      encodeFrame(kind, request, payload).toString('hex');
    const job = { id: 'j-000412' as JobId, done: 3, running: 13 };
    expect(encodeProgress([job]).map((payload) => hex(FrameKind.Progress, 0, payload))).toEqual([
      production.frames.progress,
    ]);
    expect(hex(FrameKind.UserRequest, 7, encodeUserRequest('cancel', Buffer.from(job.id)))).toBe(
      production.frames.user,
    );
    expect(hex(FrameKind.WorkerCall, 8, encodeWorkerCall('show', '10.1.0.1:9000', 800, undefined))).toBe(
      production.frames.call,
    );
  });

  // Pings of protocol version 1 end after the version, so that version ignores one byte of a current ping; the
  // production version ignores two bytes.
  it('differ from current frames only in the last two bytes of a ping, which the production version ignores', () => {
    const member = 'node-0' as MemberId;
    const ping = {
      member,
      isStoreReachable: true,
      leadingEpoch: 5 as Epoch,
      version: PROTOCOL_VERSION,
      load: 0.42,
    };
    const currentPing = encodePing(ping);
    const productionPing = Buffer.from(production.frames.ping, 'hex').subarray(9);
    expect(currentPing.subarray(0, productionPing.length).equals(productionPing)).toBe(true);
    expect(currentPing.length).toBe(productionPing.length + 2);
    expect(decodePing(currentPing)).toEqual(ping);
    expect(decodePing(currentPing.subarray(0, -1))).toEqual({ ...ping, load: 0 });
  });
});

describe('controllers of two versions', () => {
  it('accept no job with dependencies while an old controller runs, and send that controller no unknown messages', async () => {
    const site = await startedSite();
    for (const name of site.nodes) if (name !== site.leader) site.earlierVersionNodes.add(name);
    await site.submit({ ref: 'j-000001', tasks: 3, runS: 20 });
    expect(await site.submit({ ref: 'j-000002', awaits: ['j-000001'] })).toBe(503);
    expect(await site.submit({ ref: 'j-000003', awaits: [] })).toBe(201);
    // During a store outage the old controllers do not report their cancellations, so that the new leader stops
    // renewing worker leases after the same time as an old leader.
    await runUntil(site, () => site.runningTaskCount('j-000001') === 3);
    site.store.isUnavailable = true;
    await site.run(50);
    expect(site.runningTaskCount('j-000001')).toBe(0);
    site.store.isUnavailable = false;
    await site.run(60);
    site.earlierVersionNodes.clear();
    expect(await site.submit({ ref: 'j-000002', awaits: ['j-000001'] })).toBe(201);
    await site.run(30);
    expect(await site.query('j-000002')).toBe('done');
    expect(site.rules.violations).toEqual([]);
  });
});
