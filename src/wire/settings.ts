import * as z from 'zod/mini';
import type { MemberId, TeamId, ZoneId } from '../model/ids.js';
import type { Team } from '../model/team.js';
import { type Millis, ms, seconds } from '../model/time.js';
import { nonNegativeNumber, nonNegativeInteger, firstIssue, shortName } from './common.js';

const address = z
  .string()
  .check(z.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'not an address like 10.0.0.1:8080'));
/** A closing writes `done` and drops the job's head and a chunk; a takeover writes two keys. */
const LEAST_TXN_OPS = 4;
/** A job's description with usual names. */
const LEAST_VALUE_BYTES = 1024;
const positive = z.number().check(z.positive());

const settings = z.object({
  member: shortName,
  site: shortName,
  front: address,
  cluster_listen: address,
  siblings: z.nullish(z.array(z.object({ member: shortName, site: z.nullish(shortName), address }))),
  endpoints: z.object({ cloud: address, state: address }),
  facts: z.object({
    clock_error_ms: z.nullish(nonNegativeNumber),
    zones: z.nullish(z.array(shortName)),
    teams: z.array(
      z.object({
        name: shortName,
        cpus: z.nullish(nonNegativeNumber),
        gpus: z.nullish(nonNegativeNumber),
        cpus_max: z.nullish(nonNegativeNumber),
        gpus_max: z.nullish(nonNegativeNumber),
      }),
    ),
    objectives: z.nullish(
      z.array(
        z.object({
          kind: shortName,
          class: z.nullish(shortName),
          within_s: z.nullish(nonNegativeNumber),
          share: z.nullish(nonNegativeNumber),
        }),
      ),
    ),
    workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: nonNegativeInteger,
      next: z.nullish(
        z.object({
          rps: z.nullish(positive),
          write_rps: z.nullish(positive),
          value_kb: z.nullish(positive),
          txn_ops: z.nullish(nonNegativeInteger),
        }),
      ),
    }),
    cloud: z.object({ rps: positive, list_lag_s: nonNegativeNumber }),
    resources: z.nullish(
      z.object({
        cpu: z.nullish(z.number()),
        sockets: z.nullish(nonNegativeInteger),
        memory_mb: z.nullish(nonNegativeNumber),
      }),
    ),
  }),
});

/** Another controller. */
export interface PeerAddress {
  readonly member: MemberId;
  readonly address: string;
}

/** An aim that the users state for a class, or for all work. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly target: Millis | null;
  readonly share: number | null;
}

/** What the state service takes. */
export interface StoreLimitSettings {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
}

/** The platform's settings in our terms. */
export interface Settings {
  readonly member: MemberId;
  readonly zone: ZoneId;
  readonly frontAddress: string;
  readonly peerAddress: string;
  readonly peers: readonly PeerAddress[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly clockError: Millis;
  readonly heartbeatInterval: Millis;
  readonly workerLeaseDuration: Millis;
  readonly cancellationLimit: Millis;
  readonly storeLimits: StoreLimitSettings;
  /** What it will take from some moment on, without notice; the same where no change is announced. */
  readonly announcedStoreLimits: StoreLimitSettings;
  readonly cloudRequestsPerSecond: number;
  readonly listLag: Millis;
  /** The share of a core that this process gets, as the platform says it; null: it does not say. */
  readonly cpuShare: number | null;
  readonly maxSockets: number;
  readonly memoryMb: number | null;
}

const NO_LIMITS: StoreLimitSettings = { rps: 0, writeRps: 0, valueBytes: 0, txnOps: 0 };

interface StatedLimits {
  readonly rps?: number | null | undefined;
  readonly write_rps?: number | null | undefined;
  readonly value_kb?: number | null | undefined;
  readonly txn_ops?: number | null | undefined;
}

/** What a field leaves out stays as it was. */
function stateLimits(field: string, stated: StatedLimits, before: StoreLimitSettings): StoreLimitSettings {
  const txnOps = stated.txn_ops ?? before.txnOps;
  const valueBytes = stated.value_kb == null ? before.valueBytes : stated.value_kb * 1024;
  if (txnOps < LEAST_TXN_OPS) throw new Error(`${field}.txn_ops: at least ${LEAST_TXN_OPS} is needed`);
  if (valueBytes < LEAST_VALUE_BYTES) {
    throw new Error(`${field}.value_kb: at least ${LEAST_VALUE_BYTES / 1024} is needed`);
  }
  return { rps: stated.rps ?? before.rps, writeRps: stated.write_rps ?? before.writeRps, valueBytes, txnOps };
}

/** The share of a core to reckon with; a whole one where the settings name none that makes sense. */
export function usableShare({ cpuShare }: Pick<Settings, 'cpuShare'>): number {
  return cpuShare !== null && cpuShare > 0 && cpuShare <= 1 ? cpuShare : 1;
}

/** Throws an error whose message is one line naming the field. */
export function readSettings(raw: unknown): Settings {
  const read = settings.safeParse(raw);
  if (!read.success) throw new Error(firstIssue(read.error));
  const w = read.data;
  const f = w.facts;
  const state = stateLimits('facts.state', f.state, NO_LIMITS);
  const stateNext = stateLimits('facts.state.next', f.state.next ?? {}, state);
  // 0 means none (DEPLOY): no guarantee, or no limit.
  const limit = (n: number | null | undefined): number | null => (n ? n : null);
  return {
    member: w.member as MemberId,
    zone: w.site as ZoneId,
    frontAddress: w.front,
    peerAddress: w.cluster_listen,
    peers: (w.siblings ?? []).map((s) => ({ member: s.member as MemberId, address: s.address })),
    cloudAddress: w.endpoints.cloud,
    storeAddress: w.endpoints.state,
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
      target: o.within_s == null ? null : seconds(o.within_s),
      share: o.share ?? null,
    })),
    clockError: ms(f.clock_error_ms ?? 0),
    heartbeatInterval: seconds(f.workers.report_s),
    workerLeaseDuration: seconds(f.workers.lease_s),
    cancellationLimit: seconds(f.workers.cancel_s),
    storeLimits: state,
    announcedStoreLimits: stateNext,
    cloudRequestsPerSecond: f.cloud.rps,
    listLag: seconds(f.cloud.list_lag_s),
    cpuShare: f.resources?.cpu ?? null,
    maxSockets: f.resources?.sockets ?? 1000,
    memoryMb: f.resources?.memory_mb ?? null,
  };
}
