/** The setup of simulated sites: settings, machine types, and jobs as tests request them. */
import type { MachineTypeId, ZoneId } from '../../src/model/ids.js';
import type { MachineType } from '../../src/model/machine.js';
import { seconds } from '../../src/model/time.js';
import { readSettings, type Settings } from '../../src/wire/settings.js';

/** A job as a test requests it; omitted fields get defaults. Fields ending in `S` are seconds. */
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
  broken?: boolean;
  awaits?: readonly string[];
  jobClass?: string;
  image?: string;
  types?: readonly string[];
  dueS?: number;
}

/** The defaults of a request. */
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

/** The machine types that the cloud offers. */
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

/** Three zones and two machine types, so that every part of a placement rule matters. */
export const MIXED_ZONES = ['north', 'south', 'west'] as ZoneId[];
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

/** The duration of a worker's lease. */
export const LEASE_S = 20;
/** The time within which a cancelled job must have ended. */
export const CANCEL_S = 40;

/** The size of a site, and the limits of its key-value store. */
export interface SiteSize {
  /** CPUs that each team may use. */
  readonly limit: { red: number; blue: number };
  readonly reportS: number;
  readonly nodes: number;
  /** The machine types that the cloud offers; by default one type in two zones. */
  readonly types?: readonly MachineType[];
  /** The zones of the controllers, in turn; by default all are in the north. */
  readonly zones?: readonly ZoneId[];
  /** Later limits of the key-value store, as the settings announce them. */
  readonly next?: object;
}

/** Two teams on a few machines. */
export const SMALL_SITE: SiteSize = { limit: { red: 24, blue: 40 }, reportS: 3, nodes: 3 };

/** Room for many jobs of all placement kinds in three zones. */
export const MIXED_SITE: SiteSize = {
  ...SMALL_SITE,
  limit: { red: 96, blue: 96 },
  types: MIXED_MACHINE_TYPES,
  zones: MIXED_ZONES,
};

function zoneOf(member: string, zones: readonly ZoneId[] = ['north' as ZoneId]): ZoneId {
  return zones[Number(member.slice('node-'.length)) % zones.length] ?? (zones[0] as ZoneId);
}

/** Returns the settings of one controller. */
export function siteSettings(member: string, size: SiteSize): Settings {
  return readSettings({
    member,
    site: zoneOf(member, size.zones),
    front: '127.0.0.1:1',
    cluster_listen: '127.0.0.1:2',
    endpoints: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
    facts: {
      teams: [
        { name: 'red', cpus: 8, cpus_max: size.limit.red },
        { name: 'blue', cpus: 8, cpus_max: size.limit.blue },
      ],
      objectives: [{ kind: 'finished', class: 'batch', within_s: 60 }],
      workers: { report_s: size.reportS, lease_s: LEASE_S, cancel_s: CANCEL_S },
      state: { rps: 200, write_rps: 60, value_kb: 16, txn_ops: 16, next: size.next },
      cloud: { rps: 4, list_lag_s: 4 },
    },
  });
}

/** Returns the body with which a user submits the job. */
export function submissionBody({ ref, ...request }: JobRequest) {
  const { tasks, runS, zone, types, team, rank, spot, ...more } = { ...DEFAULT_JOB_REQUEST, ...request };
  const isArray = more.kind === 'array';
  return {
    ref,
    jobclass: more.jobClass ?? (isArray ? 'batch' : 'live'),
    owner: team,
    shape: more.kind,
    rank: rank ?? (isArray ? 'standard' : 'production'),
    shards: tasks,
    cpus: more.cpus,
    gpus: 0,
    memoryGb: 4,
    bundle: more.image,
    pullGb: 1,
    flavours: types ?? null,
    hall: zone ?? null,
    samePlace: more.samePlace,
    apart: more.apart,
    reclaimable: spot,
    expectedS: isArray ? runS : 0,
    savepointS: 0,
    flushS: 0,
    awaits: more.awaits,
    dueS: more.dueS ?? null,
  };
}
