/** The configuration of simulated sites: settings, machine types, and jobs that tests submit. */
import type { MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { MachineType } from '../../src/model/machine.js';
import { seconds } from '../../src/model/time.js';
import { readSettings, type Settings } from '../../src/wire/settings.js';

/** A job that a test submits. Omitted fields get defaults; fields that end in `S` are in seconds. */
export interface JobRequest {
  ref: string;
  team?: string;
  kind?: 'array' | 'service';
  rank?: string;
  tasks?: number;
  cpus?: number;
  spot?: boolean;
  zone?: string;
  samePlace?: boolean;
  apart?: boolean;
  runS?: number;
  /** Whether every attempt of every task fails. */
  alwaysFails?: boolean;
  awaits?: readonly string[];
  jobClass?: string;
  image?: string;
  types?: readonly string[];
  dueS?: number;
}

/** The default values of the fields that a `JobRequest` omits. */
const DEFAULT_JOB_REQUEST = {
  team: 'red',
  kind: 'array' as NonNullable<JobRequest['kind']>,
  tasks: 1,
  cpus: 2,
  spot: false,
  samePlace: false,
  apart: false,
  runS: 5,
  image: 'img-1',
  awaits: [] as readonly string[],
} satisfies Partial<JobRequest>;

/** The machine types that the cloud offers by default: one type in two zones. */
export const MACHINE_TYPES: MachineType[] = [
  {
    id: 'small' as MachineTypeId,
    cpus: 8,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 0.4,
    spotPrice: 0.1,
    bootTime: seconds(20),
    zones: ['north' as ZoneId, 'south' as ZoneId],
  },
];

/** The three zones of sites on which every kind of placement constraint has an effect. */
export const MIXED_ZONES = ['north', 'south', 'west'] as ZoneId[];
/** The two machine types of sites on which every kind of placement constraint has an effect; both boot in 2 s. */
export const MIXED_MACHINE_TYPES: MachineType[] = [
  { ...(MACHINE_TYPES[0] as MachineType), bootTime: seconds(2), zones: MIXED_ZONES },
  {
    ...(MACHINE_TYPES[0] as MachineType),
    id: 'large' as MachineTypeId,
    cpus: 16,
    memoryGb: 64,
    price: 0.9,
    spotPrice: 0.25,
    bootTime: seconds(2),
    zones: MIXED_ZONES,
  },
];

/** The duration of a worker's lease, after which a worker that gets no answer to heartbeats ends its tasks. */
export const LEASE_S = 20;
/** The time after a confirmed cancellation within which all tasks of the job must have ended. */
export const CANCEL_S = 40;

/** The size of a site, and the announced limits of its key-value store. */
export interface SiteSize {
  /** The maximum number of CPUs that the running tasks of each team may use; 0: no limit. */
  readonly teamCpuLimits: { red: number; blue: number };
  /** The interval between heartbeats of a worker, in seconds. */
  readonly heartbeatIntervalS: number;
  /** The number of controllers. */
  readonly nodes: number;
  /** The machine types that the cloud offers; `MACHINE_TYPES` by default. */
  readonly types?: readonly MachineType[];
  /** The zones to which the controllers are assigned in turn; by default all controllers are in `north`. */
  readonly zones?: readonly ZoneId[];
  /** Future limits of the key-value store that the settings announce. */
  readonly next?: object;
}

/** A site with three controllers whose two teams may use 24 and 40 CPUs. */
export const SMALL_SITE: SiteSize = { teamCpuLimits: { red: 24, blue: 40 }, heartbeatIntervalS: 3, nodes: 3 };

/** A site with three zones and two machine types for jobs with placement constraints of all kinds; 96 CPUs per team. */
export const MIXED_SITE: SiteSize = {
  ...SMALL_SITE,
  teamCpuLimits: { red: 96, blue: 96 },
  types: MIXED_MACHINE_TYPES,
  zones: MIXED_ZONES,
};

function controllerZone(member: string, zones: readonly ZoneId[] = ['north' as ZoneId]): ZoneId {
  return zones[Number(member.slice('node-'.length)) % zones.length] ?? (zones[0] as ZoneId);
}

/** Returns the settings of one controller of a site. */
export function siteSettings(member: string, size: SiteSize): Settings {
  return readSettings({
    member,
    site: controllerZone(member, size.zones),
    front: '127.0.0.1:1',
    cluster_listen: '127.0.0.1:2',
    endpoints: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
    facts: {
      teams: [
        { name: 'red', cpus: 8, cpus_max: size.teamCpuLimits.red },
        { name: 'blue', cpus: 8, cpus_max: size.teamCpuLimits.blue },
      ],
      objectives: [{ kind: 'finished', class: 'batch', within_s: 60 }],
      workers: { report_s: size.heartbeatIntervalS, lease_s: LEASE_S, cancel_s: CANCEL_S },
      state: { rps: 200, write_rps: 60, value_kb: 16, txn_ops: 16, next: size.next },
      cloud: { rps: 4, list_lag_s: 4 },
    },
  });
}

/** Returns the body of a job's submission, with defaults for omitted fields. */
export function submissionBody({ ref, ...request }: JobRequest) {
  const { tasks, runS, zone, types, team, rank, spot, ...otherFields } = {
    ...DEFAULT_JOB_REQUEST,
    ...request,
  };
  const isArray = otherFields.kind === 'array';
  return {
    ref,
    jobclass: otherFields.jobClass ?? (isArray ? 'batch' : 'live'),
    owner: team,
    shape: otherFields.kind,
    rank: rank ?? (isArray ? 'standard' : 'production'),
    shards: tasks,
    cpus: otherFields.cpus,
    gpus: 0,
    memoryGb: 4,
    bundle: otherFields.image,
    pullGb: 1,
    flavours: types ?? null,
    hall: zone ?? null,
    samePlace: otherFields.samePlace,
    apart: otherFields.apart,
    reclaimable: spot,
    expectedS: isArray ? runS : 0,
    savepointS: 0,
    flushS: 0,
    awaits: otherFields.awaits,
    dueS: otherFields.dueS ?? null,
  };
}
