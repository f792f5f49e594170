/** The platform's settings: the schema of the settings file, and its conversion to the program's terms. */
import * as z from 'zod/mini';
import type { MemberId, TeamId, ZoneId } from '../model/ids.js';
import type { Team } from '../model/team.js';
import { type Millis, ms, seconds } from '../model/time.js';
import { nonNegativeNumber, nonNegativeInteger, formatFirstIssue, shortName } from './common.js';

const addressSchema = z
  .string()
  .check(
    z.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'not an IPv4 address with a port, such as 10.0.0.1:8080'),
  );
/**
 * Minimum number of writes that a transaction must be able to hold. Closing a job writes its final state and deletes
 * its head record and a progress record; a takeover writes two keys.
 */
const MIN_TXN_OPS = 4;
/** Minimum length of a value that the store must accept: enough for a job description with names of usual length. */
const MIN_VALUE_BYTES = 1024;
const positiveNumber = z.number().check(z.positive());

const settingsFileSchema = z.object({
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
    workers: z.object({ report_s: positiveNumber, lease_s: positiveNumber, cancel_s: positiveNumber }),
    state: z.object({
      rps: positiveNumber,
      write_rps: positiveNumber,
      value_kb: positiveNumber,
      txn_ops: nonNegativeInteger,
      next: z.nullish(
        z.object({
          rps: z.nullish(positiveNumber),
          write_rps: z.nullish(positiveNumber),
          value_kb: z.nullish(positiveNumber),
          txn_ops: z.nullish(nonNegativeInteger),
        }),
      ),
    }),
    cloud: z.object({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
    resources: z.nullish(
      z.object({
        cpu: z.nullish(z.number()),
        sockets: z.nullish(nonNegativeInteger),
        memory_mb: z.nullish(nonNegativeNumber),
      }),
    ),
  }),
});

/** Name and address of another controller. */
export interface PeerAddress {
  readonly member: MemberId;
  readonly address: string;
}

/** A service-level objective for the jobs of one class, or for all jobs. */
export interface Objective {
  readonly kind: string;
  /** Job class to which the objective applies; null for all jobs. */
  readonly jobClass: string | null;
  /** Time within which a job should meet the objective; null if the objective has no time. */
  readonly target: Millis | null;
  /** Share of the jobs that should meet the target; null if the objective has no share. */
  readonly share: number | null;
}

/** Limits of the key-value store. */
export interface StoreLimitSettings {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueBytes: number;
  /** Maximum number of writes in one transaction. */
  readonly txnOps: number;
}

/** The platform's settings, converted to the program's terms. */
export interface Settings {
  readonly member: MemberId;
  readonly zone: ZoneId;
  /** Listen address for users and workers. */
  readonly frontAddress: string;
  /** Listen address for the other controllers. */
  readonly peerAddress: string;
  readonly peers: readonly PeerAddress[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** Maximum error of the wall clock. */
  readonly clockError: Millis;
  readonly heartbeatInterval: Millis;
  readonly workerLeaseDuration: Millis;
  /** Time after a cancellation by which the job's tasks must have stopped. */
  readonly cancellationLimit: Millis;
  readonly storeLimits: StoreLimitSettings;
  /** Future limits, which the store may enforce at any time without notice; equal to the current limits by default. */
  readonly announcedStoreLimits: StoreLimitSettings;
  readonly cloudRequestsPerSecond: number;
  /** Maximum lag of the cloud's list of machines. */
  readonly listLag: Millis;
  /** Share of a processor core that this process gets; null if the platform does not specify a share. */
  readonly cpuShare: number | null;
  readonly maxSockets: number;
  readonly memoryMb: number | null;
}

const UNSET_STORE_LIMITS: StoreLimitSettings = { rps: 0, writeRps: 0, valueBytes: 0, txnOps: 0 };

interface StoreLimitsInFile {
  readonly rps?: number | null | undefined;
  readonly write_rps?: number | null | undefined;
  readonly value_kb?: number | null | undefined;
  readonly txn_ops?: number | null | undefined;
}

/** Reads store limits. A missing field takes its value from `defaults`. Throws if a size limit is below its minimum. */
function readStoreLimits(
  field: string,
  file: StoreLimitsInFile,
  defaults: StoreLimitSettings,
): StoreLimitSettings {
  const txnOps = file.txn_ops ?? defaults.txnOps;
  const valueBytes = file.value_kb == null ? defaults.valueBytes : file.value_kb * 1024;
  if (txnOps < MIN_TXN_OPS) throw new Error(`${field}.txn_ops: must be at least ${MIN_TXN_OPS}`);
  if (valueBytes < MIN_VALUE_BYTES) {
    throw new Error(`${field}.value_kb: must be at least ${MIN_VALUE_BYTES / 1024}`);
  }
  return { rps: file.rps ?? defaults.rps, writeRps: file.write_rps ?? defaults.writeRps, valueBytes, txnOps };
}

/** Returns the share of a processor core to plan with: the settings' share if above 0 and at most 1, otherwise 1. */
export function usableCpuShare({ cpuShare }: Pick<Settings, 'cpuShare'>): number {
  return cpuShare !== null && cpuShare > 0 && cpuShare <= 1 ? cpuShare : 1;
}

/** Converts a quota limit of 0 or a missing one to null: no limit. 0 means none (DEPLOY): no guarantee, or no limit. */
const zeroToNull = (value: number | null | undefined): number | null => (value ? value : null);

/** Reads the platform's settings. Throws an error with a one-line message that names the invalid field. */
export function readSettings(raw: unknown): Settings {
  const parsed = settingsFileSchema.safeParse(raw);
  if (!parsed.success) throw new Error(formatFirstIssue(parsed.error));
  const file = parsed.data;
  const { facts } = file;
  const storeLimits = readStoreLimits('facts.state', facts.state, UNSET_STORE_LIMITS);
  const announcedStoreLimits = readStoreLimits('facts.state.next', facts.state.next ?? {}, storeLimits);
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
      cpusMax: zeroToNull(team.cpus_max),
      gpusMax: zeroToNull(team.gpus_max),
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
