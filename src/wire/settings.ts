import * as z from 'zod/mini';
import type { MemberId, TeamId, ZoneId } from '../model/ids.js';
import type { Team } from '../model/team.js';
import { type Millis, ms, seconds } from '../model/time.js';
import { amount, count, firstIssue, word } from './common.js';

const address = z
  .string()
  .check(z.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'not an address like 10.0.0.1:8080'));
const positive = z.number().check(z.positive());

const settings = z.object({
  member: word,
  site: word,
  front: address,
  cluster_listen: address,
  siblings: z.nullish(z.array(z.object({ member: word, site: z.nullish(word), address }))),
  endpoints: z.object({ cloud: address, state: address }),
  facts: z.object({
    clock_error_ms: z.nullish(amount),
    zones: z.nullish(z.array(word)),
    teams: z.array(
      z.object({
        name: word,
        cpus: z.nullish(amount),
        gpus: z.nullish(amount),
        cpus_max: z.nullish(amount),
        gpus_max: z.nullish(amount),
      }),
    ),
    objectives: z.nullish(
      z.array(
        z.object({
          kind: word,
          class: z.nullish(word),
          within_s: z.nullish(amount),
          share: z.nullish(amount),
        }),
      ),
    ),
    workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: z.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: count }),
    cloud: z.object({ rps: positive, list_lag_s: amount }),
    resources: z.nullish(z.object({ sockets: z.nullish(count), memory_mb: z.nullish(amount) })),
  }),
});

export interface Sibling {
  readonly member: MemberId;
  readonly address: string;
}

export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly within: Millis | null;
  readonly share: number | null;
}

export interface Settings {
  readonly member: MemberId;
  readonly zone: ZoneId;
  readonly front: string;
  readonly clusterListen: string;
  readonly siblings: readonly Sibling[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly clockError: Millis;
  readonly reportEvery: Millis;
  readonly workerLease: Millis;
  readonly cancelWithin: Millis;
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  readonly cloudRps: number;
  readonly listLag: Millis;
  readonly sockets: number;
  readonly memoryMb: number | null;
}

/** Throws an error whose message is one line naming the field. */
export function readSettings(raw: unknown): Settings {
  const read = settings.safeParse(raw);
  if (!read.success) throw new Error(firstIssue(read.error));
  const w = read.data;
  const f = w.facts;
  if (f.state.txn_ops < 4) throw new Error('facts.state.txn_ops: at least 4 is needed');
  // 0 means none (DEPLOY): no guarantee, or no limit.
  const limit = (n: number | null | undefined): number | null => (n ? n : null);
  return {
    member: w.member as MemberId,
    zone: w.site as ZoneId,
    front: w.front,
    clusterListen: w.cluster_listen,
    siblings: (w.siblings ?? []).map((s) => ({ member: s.member as MemberId, address: s.address })),
    cloudAddress: w.endpoints.cloud,
    stateAddress: w.endpoints.state,
    teams: f.teams.map((t) => ({
      id: t.name as TeamId,
      cpus: t.cpus ?? 0,
      gpus: t.gpus ?? 0,
      cpusMax: limit(t.cpus_max),
      gpusMax: limit(t.gpus_max),
    })),
    objectives: (f.objectives ?? []).map((o) => ({
      kind: o.kind,
      jobClass: o.class ?? null,
      within: o.within_s == null ? null : seconds(o.within_s),
      share: o.share ?? null,
    })),
    clockError: ms(f.clock_error_ms ?? 0),
    reportEvery: seconds(f.workers.report_s),
    workerLease: seconds(f.workers.lease_s),
    cancelWithin: seconds(f.workers.cancel_s),
    stateRps: f.state.rps,
    stateWriteRps: f.state.write_rps,
    valueBytes: f.state.value_kb * 1024,
    txnOps: f.state.txn_ops,
    cloudRps: f.cloud.rps,
    listLag: seconds(f.cloud.list_lag_s),
    sockets: f.resources?.sockets ?? 1000,
    memoryMb: f.resources?.memory_mb ?? null,
  };
}
