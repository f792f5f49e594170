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

/** Made by the production version itself, on its own fakes (docs/upgrade.md says how). */
const production = JSON.parse(
  readFileSync(new URL('../fixtures/production.json', import.meta.url), 'utf8'),
) as {
  records: { key: string; value: unknown; stamp: Revision }[];
  frames: Record<'ping' | 'progress' | 'user' | 'call', string>;
};
const records: KeyValue[] = production.records.map(({ key, value, stamp }) => ({
  key,
  value,
  revision: stamp,
}));

const WISHES: JobRequest[] = [
  { ref: 'j-000001', tasks: 310, runS: 60 },
  { ref: 'j-000002', kind: 'service', tasks: 2, team: 'blue' },
  { ref: 'j-000003', runS: 2, team: 'blue' },
  { ref: 'j-000004', runS: 200, team: 'blue' },
  { ref: 'j-000005', tasks: 3, runS: 30, team: 'blue', apart: true },
];

/** A site that the production version has left in the middle of its work. */
function left(old: boolean, next?: object): SimulatedSite {
  const site = new SimulatedSite({
    limit: { red: 700, blue: 60 },
    reportS: 3,
    nodes: 3,
    ...(next ? { next } : {}),
  });
  site.restore(
    records.filter((record) => record.key !== 'leader'),
    WISHES,
    fencingTokenOf(1 as Epoch, 0 as FenceGeneration),
  );
  if (old) for (const name of site.nodes.slice(1)) site.earlierVersionNodes.add(name);
  return site;
}

async function readRow(site: SimulatedSite, key: string): Promise<KeyValue> {
  const reading = site.store.clientFor('node-9', site.clock).get(key);
  await site.run(0.1);
  const row = await reading;
  if (!row) throw new Error(`${key} is missing`);
  return row;
}

describe('records of the production version', () => {
  it.each([
    ['while others of it are about, and are written as it reads them', true, undefined],
    [
      'once all are new, and are split for the limits to come',
      false,
      { value_kb: 2, txn_ops: 5, write_rps: 30 },
    ],
  ])('are taken over %s', async (_name, old, next) => {
    const site = left(old, next);
    site.startAll();
    await site.run(3);
    // Everything is where it was; nothing was stopped or started again.
    expect(site.runningTaskCount('j-000001')).toBe(310);
    expect(site.rules.startCount).toBe(315);
    expect(await site.query('j-000003')).toBe('done');
    expect(await site.query('j-000004', 'node-1')).toBe('cancelled');
    if (next) site.store.sizeLimits = { txnOps: 5, valueBytes: 2048 };
    // One machine dies: its tasks start elsewhere, and their records are written.
    site.killMachine(site.machineOf('j-000001/0'));
    await runUntil(site, () => site.runningTaskCount('j-000001') === 310, 40);
    await site.run(1);
    const split = [...site.store.keys.keys()].some((key) => /^open\/j-\d+\/\d+-/.test(key));
    expect(split).toBe(!old);
    await runUntil(site, () => site.store.value('open/j-000001') === undefined, 120);
    await site.run(5);
    expect(await site.query('j-000001')).toBe('done');
    expect(await site.query('j-000005')).toBe('done');
    expect(site.runningTaskCount('j-000002')).toBe(2);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
    expect(site.store.rejectedTransactions.length).toBeLessThanOrEqual(1);
  });

  it('stay as a new leader has them when a late write of the old leader arrives, and an old one’s cancellation counts', async () => {
    const site = left(false);
    const epochBefore = records.find((row) => row.key === 'epoch')?.revision as Revision;
    site.startAll();
    await site.run(3);
    const old = site.store.clientFor('node-9', site.clock);
    const late = old.txn(
      [{ key: 'epoch', revision: epochBefore }],
      [{ set: 'open/j-000001/0000', value: { d: [[0, 299]] } }],
    );
    await site.run(1);
    expect(await late).toEqual({ ok: false, failed: ['epoch'] });
    expect(site.runningTaskCount('j-000001')).toBe(310);
    // As the production version cancels: the record's state alone, on the record's revision.
    const row = await readRow(site, 'job/j-000001');
    const cancelled = old.txn(
      [{ key: row.key, revision: row.revision }],
      [{ set: row.key, value: { ...(row.value as object), s: 'c' } }],
    );
    await site.run(10);
    expect(await cancelled).toMatchObject({ ok: true });
    expect(site.runningTaskCount('j-000001')).toBe(0);
    expect(site.store.value('open/j-000001')).toBe(undefined);
    expect(site.rules.violations).toEqual([]);
  });

  it('name no leader that could serve what is new', () => {
    const row = records.find((record) => record.key === 'leader');
    expect(decodeLeader(row?.value)).toMatchObject({ version: 0, member: 'node-0' });
  });
});

/** Made in the same way by the version that first served dependent jobs (protocol version 1). */
const landed = JSON.parse(readFileSync(new URL('../fixtures/landed.json', import.meta.url), 'utf8')) as {
  records: { key: string; value: unknown; stamp: Revision }[];
  frames: Record<'ping' | 'cancelled', string>;
  named: string[];
};

const LANDED_WISHES: JobRequest[] = [
  { ref: 'j-000001', tasks: 310, runS: 60 },
  { ref: 'j-000002', kind: 'service', tasks: 2, team: 'blue' },
  { ref: 'j-000003', runS: 2, team: 'blue' },
  { ref: 'j-000004', runS: 200, team: 'blue' },
  { ref: 'j-000005', runS: 40, team: 'blue', awaits: ['j-000003'] },
  { ref: 'j-000006', runS: 5, team: 'blue', awaits: ['j-000005'], rank: 'urgent', dueS: 200 },
  { ref: 'j-000007', runS: 5, team: 'blue', awaits: ['j-000004'] },
  { ref: 'j-000008', runS: 5, team: 'blue', awaits: landed.named },
  ...landed.named.map((ref) => ({ ref, team: 'blue', cpus: 1, runS: 20 })),
];

describe('records of the version landed last', () => {
  it('are taken over: split progress, dependencies in lists of their own, what is over', async () => {
    const next = { value_kb: 1, txn_ops: 5, write_rps: 30 };
    const site = new SimulatedSite({ limit: { red: 700, blue: 60 }, reportS: 3, nodes: 3, next });
    const rows = landed.records.map(({ key, value, stamp }) => ({ key, value, revision: stamp }));
    site.restore(
      rows.filter((row) => row.key !== 'leader'),
      LANDED_WISHES,
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
    // Its list of dependencies has a record of its own; a machine's end splits nothing anew.
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

  it('and its frames are read; what is new since is kept from it', () => {
    const bytes = Object.values(landed.frames).map((hex) => Buffer.from(hex, 'hex'));
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

/** Made in the same way by the version of commit a2c346b: a leader with small records, then one with larger ones. */
const grown = JSON.parse(readFileSync(new URL('../fixtures/grown.json', import.meta.url), 'utf8')) as {
  records: { key: string; value: unknown; stamp: Revision }[];
};
const GROWN_REF = 'j-000001';
const GROWN_TASKS = 70;

/** Where the tasks are according to the records, as that version reads them: small records win, whatever their age. */
function placesAsGrownVersionReads(site: SimulatedSite): Map<string, string> {
  const chunks = [...site.store.keys].flatMap(([key, { value }]) => {
    const openKey = parseOpenKey(key);
    return openKey?.chunk == null ? [] : [{ size: openKey.size, ...decodeChunk(value) }];
  });
  const places = new Map<string, string>();
  for (const { done, placed, usedAttempts } of chunks.sort((one, other) => other.size - one.size)) {
    for (const index of [...done, ...usedAttempts.keys()]) places.delete(`${GROWN_REF}/${index}`);
    for (const [index, { machine }] of placed) places.set(`${GROWN_REF}/${index}`, machine);
  }
  return places;
}

describe('records of a version that went back to larger chunks', () => {
  it('are taken over as the later ones say, and that version reads what is written then', async () => {
    const site = new SimulatedSite({ limit: { red: 140, blue: 0 }, reportS: 3, nodes: 3 });
    const rows = grown.records.map(({ key, value, stamp }) => ({ key, value, revision: stamp }));
    site.restore(
      rows.filter((row) => row.key !== 'leader'),
      [{ ref: GROWN_REF, tasks: GROWN_TASKS, runS: 100 }],
      fencingTokenOf(2 as Epoch, 0 as FenceGeneration),
    );
    const whereTheyRun = (): Map<string, string> =>
      new Map(
        Array.from({ length: GROWN_TASKS }, (_, index): [string, string] => {
          const task = `${GROWN_REF}/${index}`;
          return [task, site.machineOf(task)];
        }),
      );
    // That version itself would look for eight tasks on machines that are gone.
    const misread = [...placesAsGrownVersionReads(site).values()].filter(
      (machine) => !site.workers.has(machine as MachineId),
    );
    expect(misread).toHaveLength(8);
    site.startAll();
    await site.run(5);
    expect(site.runningTaskCount(GROWN_REF)).toBe(GROWN_TASKS);
    expect(site.rules.startCount).toBe(GROWN_TASKS);
    expect(placesAsGrownVersionReads(site)).toEqual(whereTheyRun());
    // Also after some were placed anew.
    site.killMachine(site.machineOf(`${GROWN_REF}/0`));
    site.killMachine(site.machineOf(`${GROWN_REF}/60`));
    await runUntil(site, () => site.runningTaskCount(GROWN_REF) === GROWN_TASKS, 60);
    await site.run(1);
    expect(placesAsGrownVersionReads(site)).toEqual(whereTheyRun());
    await runUntil(site, () => site.store.value(`open/${GROWN_REF}`) === undefined, 200);
    await site.run(5);
    expect(await site.query(GROWN_REF)).toBe('done');
    expect([...site.store.keys.keys()].filter((key) => key.startsWith('open/'))).toEqual([]);
    await site.finish();
    expect(site.rules.violations).toEqual([]);
  });
});

describe('frames of the production version', () => {
  it('are read, and the same frames are still written', () => {
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

  // The last landing's pings end after the version: it leaves one byte unread, the production version two.
  it('differ from ours in a ping by two bytes at its end, which it leaves unread', () => {
    const member = 'node-0' as MemberId;
    const ping = {
      member,
      isStoreReachable: true,
      leadingEpoch: 5 as Epoch,
      version: PROTOCOL_VERSION,
      load: 0.42,
    };
    const ours = encodePing(ping);
    const theirs = Buffer.from(production.frames.ping, 'hex').subarray(9);
    expect(ours.subarray(0, theirs.length).equals(theirs)).toBe(true);
    expect(ours.length).toBe(theirs.length + 2);
    expect(decodePing(ours)).toEqual(ping);
    expect(decodePing(ours.subarray(0, -1))).toEqual({ ...ping, load: 0 });
  });
});

describe('two versions side by side', () => {
  it('tell an old controller nothing of what it does not know, and take nothing new beside it', async () => {
    const site = await startedSite();
    for (const name of site.nodes) if (name !== site.leader) site.earlierVersionNodes.add(name);
    await site.submit({ ref: 'j-000001', tasks: 3, runS: 20 });
    expect(await site.submit({ ref: 'j-000002', awaits: ['j-000001'] })).toBe(503);
    expect(await site.submit({ ref: 'j-000003', awaits: [] })).toBe(201);
    // In an outage the old ones prove nothing, so the new leader answers no longer than the old one did.
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
