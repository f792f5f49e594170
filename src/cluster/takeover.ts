import type { FleetManager } from '../fleet/manager.js';
import type { HostId, JobId, Stamp, TypeId, ZoneId } from '../model/ids.js';
import type { Machine } from '../model/machine.js';
import { type Steady, sleep } from '../model/time.js';
import { OpenJob } from '../scheduler/job-book.js';
import { StateRefused } from '../store/client.js';
import { decodeJob, keys, parseOpenKey } from '../store/records.js';
import type { Condition, Row, Write } from '../wire/state.js';
import type { LeaderContext } from './context.js';
import type { StoredMachine } from './fleet-record.js';

/** Asked too often is no reason to begin the whole takeover again: this one request waits a moment. */
async function patiently<T>(ctx: LeaderContext, ask: () => Promise<T>): Promise<T> {
  for (;;) {
    try {
      return await ask();
    } catch (error) {
      if (!(error instanceof StateRefused && error.tooMany) || ctx.ended()) throw error;
      await sleep(ctx.clock, 40 + ctx.random() * 60);
    }
  }
}

async function readAll(ctx: LeaderContext, prefix: string): Promise<{ rows: Row[]; ledger: Stamp }> {
  const rows: Row[] = [];
  let ledger: Stamp | null = null;
  let after: string | undefined;
  for (;;) {
    const page = await patiently(ctx, () => ctx.store.range(prefix, after));
    // Changes that come between two pages are seen again by a watch from the first page on.
    ledger ??= page.ledger;
    rows.push(...page.rows);
    const last = page.rows[page.rows.length - 1];
    if (!page.more || !last) return { rows, ledger };
    after = last.key;
  }
}

/** All unfinished work, and which of it was cancelled meanwhile. */
export async function loadOpenJobs(
  ctx: LeaderContext,
): Promise<{ jobs: OpenJob[]; cancelled: JobId[]; ledger: Stamp }> {
  const { rows, ledger } = await readAll(ctx, keys.open);
  const jobs = new Map<JobId, OpenJob>();
  const orphans: string[] = [];
  for (const row of rows) {
    const at = parseOpenKey(row.key);
    if (!at) continue;
    if (at.chunk === null) {
      const record = decodeJob(at.job, row.value);
      // The head is written once, together with the job's record: their stamps are the same.
      jobs.set(at.job, new OpenJob(record.spec, row.stamp, record.acceptedAt));
    } else {
      const job = jobs.get(at.job);
      if (job) job.restore(at.chunk, row.value, row.stamp);
      else orphans.push(row.key);
    }
  }
  for (const job of jobs.values()) job.settle();
  for (let i = 0; i < orphans.length; i += ctx.settings.txnOps) {
    const drops: Write[] = orphans.slice(i, i + ctx.settings.txnOps).map((key) => ({ drop: key }));
    await ctx.store.commit([{ key: keys.epoch, stamp: ctx.epochStamp }], drops);
  }
  return { jobs: [...jobs.values()], cancelled: await findChanged(ctx, [...jobs.values()]), ledger };
}

/** Jobs whose record has changed since they were accepted: they were cancelled. */
async function findChanged(ctx: LeaderContext, jobs: OpenJob[]): Promise<JobId[]> {
  const changed: JobId[] = [];
  const most = ctx.settings.txnOps * 4;
  for (let i = 0; i < jobs.length; i += most) {
    const conditions: Condition[] = jobs
      .slice(i, i + most)
      .map((job) => ({ key: keys.job(job.spec.id), stamp: job.stamp }));
    const result = await patiently(ctx, () => ctx.store.commit(conditions, []));
    if (!result.ok) changed.push(...result.failed.map((key) => key.slice(keys.jobs.length) as JobId));
  }
  return changed;
}

export interface RestoredMachine {
  readonly machine: Machine;
  readonly address: string;
  readonly at: Steady;
  /** It was up when the record was written. */
  readonly up: boolean;
}

export async function restoreFleet(
  ctx: LeaderContext,
  fleet: FleetManager,
): Promise<{ machines: RestoredMachine[]; records: Row[] }> {
  const known: RestoredMachine[] = [];
  const { rows } = await readAll(ctx, keys.fleet);
  for (const row of rows) {
    for (const [id, type, zone, spot, address, rentedAt, up] of (row.value as { m: StoredMachine[] }).m) {
      const age = Math.max(0, ctx.clock.wall() - rentedAt);
      known.push({
        machine: { id: id as HostId, type: type as TypeId, zone: zone as ZoneId, spot: spot === 1 },
        address,
        at: (ctx.clock.now() - age) as Steady,
        up: up === 1,
      });
    }
  }
  const forecasts = (await readAll(ctx, keys.forecast)).rows;
  for (const row of forecasts) {
    fleet.restoreForecast(row.key.slice(keys.forecast.length), row.value);
  }
  return { machines: known, records: [...rows, ...forecasts] };
}
