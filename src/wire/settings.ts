/** The platform's settings: the form of their file, and the same in the program's terms. */
import * as z from 'zod/mini';
import type { MemberId, TeamId, ZoneId } from '../model/ids.js';
import type { Team } from '../model/team.js';
import { type Millis, ms, seconds } from '../model/time.js';
import { nonNegativeNumber, nonNegativeInteger, firstIssue, shortName } from './common.js';

const addressSchema = z
  .string()
  .check(z.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'not an address like 10.0.0.1:8080'));
/** Closing a job writes its final state and drops its head and a progress record; a takeover writes two keys. */
const MIN_TXN_OPS = 4;
/** A job description with names of usual length. */
const MIN_VALUE_BYTES = 1024;
const positive = z.number().check(z.positive());

const settingsFile = z.object({
  member: shortName,
  site: shortName,
  front: addressSchema,
  cluster_listen: addressSchema,
  siblings: z.nullish(
    z.array(z.object({ member: shortName, site: z.nullish(shortName), address: addressSchema })),
  ),
  endpoints: z.object({ cloud: addressSchema, state: addressSchema }),
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

/** A service-level objective that the users state for a class, or for all work. */
export interface Objective {
  readonly kind: string;
  /** Null: all work. */
  readonly jobClass: string | null;
  /** Within which time; null: the objective has none. */
  readonly target: Millis | null;
  /** The share of jobs that should keep to the target. */
  readonly share: number | null;
}

/** Limits of the key-value store. */
export interface StoreLimitSettings {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  /** Writes that one transaction may hold. */
  readonly txnOps: number;
}

/** The platform's settings in the program's terms. */
export interface Settings {
  readonly member: MemberId;
  readonly zone: ZoneId;
  /** Where users and workers are served. */
  readonly frontAddress: string;
  /** Where the other controllers are served. */
  readonly peerAddress: string;
  readonly peers: readonly PeerAddress[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** How far the wall clock may be off. */
  readonly clockError: Millis;
  readonly heartbeatInterval: Millis;
  readonly workerLeaseDuration: Millis;
  /** By when the tasks of a cancelled job must have stopped. */
  readonly cancellationLimit: Millis;
  readonly storeLimits: StoreLimitSettings;
  /** The limits that will hold from some moment on, without notice; the same where no change is announced. */
  readonly announcedStoreLimits: StoreLimitSettings;
  readonly cloudRequestsPerSecond: number;
  /** How far the cloud's list of machines may lag. */
  readonly listLag: Millis;
  /** The share of a core that this process gets; null: the platform does not say. */
  readonly cpuShare: number | null;
  readonly maxSockets: number;
  readonly memoryMb: number | null;
}

const NO_LIMITS: StoreLimitSettings = { rps: 0, writeRps: 0, valueBytes: 0, txnOps: 0 };

interface LimitsInFile {
  readonly rps?: number | null | undefined;
  readonly write_rps?: number | null | undefined;
  readonly value_kb?: number | null | undefined;
  readonly txn_ops?: number | null | undefined;
}

/** Reads limits; a field that is left out keeps its value of `before`. */
function readLimits(field: string, file: LimitsInFile, before: StoreLimitSettings): StoreLimitSettings {
  const txnOps = file.txn_ops ?? before.txnOps;
  const valueBytes = file.value_kb == null ? before.valueBytes : file.value_kb * 1024;
  if (txnOps < MIN_TXN_OPS) throw new Error(`${field}.txn_ops: at least ${MIN_TXN_OPS} is needed`);
  if (valueBytes < MIN_VALUE_BYTES) {
    throw new Error(`${field}.value_kb: at least ${MIN_VALUE_BYTES / 1024} is needed`);
  }
  return { rps: file.rps ?? before.rps, writeRps: file.write_rps ?? before.writeRps, valueBytes, txnOps };
}

/** Returns the share of a core to plan with; a whole core where the settings name no usable share. */
export function usableShare({ cpuShare }: Pick<Settings, 'cpuShare'>): number {
  return cpuShare !== null && cpuShare > 0 && cpuShare <= 1 ? cpuShare : 1;
}

/** 0 means none (DEPLOY): no guarantee, or no limit. */
const limitOrNull = (value: number | null | undefined): number | null => (value ? value : null);

/** Reads the platform's settings. Throws an error whose message is one line naming the field. */
export function readSettings(raw: unknown): Settings {
  const read = settingsFile.safeParse(raw);
  if (!read.success) throw new Error(firstIssue(read.error));
  const file = read.data;
  const { facts } = file;
  const storeLimits = readLimits('facts.state', facts.state, NO_LIMITS);
  const announcedStoreLimits = readLimits('facts.state.next', facts.state.next ?? {}, storeLimits);
  return {
    member: file.member as MemberId,
    zone: file.site as ZoneId,
    frontAddress: file.front,
    peerAddress: file.cluster_listen,
    peers: (file.siblings ?? []).map(({ member, address }) => ({ member: member as MemberId, address })),
    cloudAddress: file.endpoints.cloud,
    storeAddress: file.endpoints.state,
    teams: facts.teams.map((team) => ({
      id: team.name as TeamId,
      cpus: team.cpus ?? 0,
      gpus: team.gpus ?? 0,
      cpusMax: limitOrNull(team.cpus_max),
      gpusMax: limitOrNull(team.gpus_max),
    })),
    objectives: (facts.objectives ?? []).map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class ?? null,
      target: objective.within_s == null ? null : seconds(objective.within_s),
      share: objective.share ?? null,
    })),
    clockError: ms(facts.clock_error_ms ?? 0),
    heartbeatInterval: seconds(facts.workers.report_s),
    workerLeaseDuration: seconds(facts.workers.lease_s),
    cancellationLimit: seconds(facts.workers.cancel_s),
    storeLimits,
    announcedStoreLimits,
    cloudRequestsPerSecond: facts.cloud.rps,
    listLag: seconds(facts.cloud.list_lag_s),
    cpuShare: facts.resources?.cpu ?? null,
    maxSockets: facts.resources?.sockets ?? 1000,
    memoryMb: facts.resources?.memory_mb ?? null,
  };
}
