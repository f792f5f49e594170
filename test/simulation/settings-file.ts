/** The settings file of a controller process that runs against fakes on the loopback interface. */

/** Another controller of the site, with its zone and its address for peers. */
interface PeerSettings {
  readonly member: string;
  readonly zone: string;
  readonly address: string;
}

/**
 * The settings that differ between controllers and between the tools that start controllers. Names that end in `S` are
 * in seconds.
 */
export interface ControllerSettings {
  readonly member: string;
  readonly zone: string;
  /** The address for users and workers. */
  readonly front: string;
  /** The address for peers. */
  readonly listen: string;
  readonly siblings: readonly PeerSettings[];
  readonly cloud: string;
  readonly state: string;
  readonly zones: readonly string[];
  readonly teams: readonly { readonly name: string; readonly cpus: number; readonly cpusMax: number }[];
  readonly finishObjectiveS: number;
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly listLagS: number;
  readonly cloudRps: number;
  readonly cpu: number;
  /** The store's requests per second; 200 if undefined. */
  readonly storeRps?: number;
  /** Future limits of the key-value store that the settings announce; null or undefined: none are announced. */
  readonly nextStoreLimits?: AnnouncedStoreLimits | null;
}

/** The announced future limits of the key-value store on the length of a value and the writes of a transaction. */
interface AnnouncedStoreLimits {
  readonly valueKb: number;
  readonly txnOps: number;
}

const DEFAULT_STORE_RPS = 200;

/** Formats a number as a TOML float, which needs a decimal point. */
const formatFloat = (value: number): string => (Number.isInteger(value) ? value.toFixed(1) : String(value));

function siblingTable({ member, zone, address }: PeerSettings): string {
  return `[[siblings]]\nmember = "${member}"\nsite = "${zone}"\naddress = "${address}"\n`;
}

function teamTable({ name, cpus, cpusMax }: ControllerSettings['teams'][number]): string {
  const limits = `cpus = ${formatFloat(cpus)}\ncpus_max = ${formatFloat(cpusMax)}\ngpus = 0.0\ngpus_max = 0.0\n`;
  return `[[facts.teams]]\nname = "${name}"\n${limits}`;
}

function nextLimitsTable({ valueKb, txnOps }: AnnouncedStoreLimits): string {
  return `[facts.state.next]\nvalue_kb = ${formatFloat(valueKb)}\ntxn_ops = ${txnOps}\n`;
}

/** Returns the settings file of a controller as TOML, in the format of the platform. */
export function settingsFile(settings: ControllerSettings): string {
  return `member = "${settings.member}"
site = "${settings.zone}"
front = "${settings.front}"
cluster_listen = "${settings.listen}"
${settings.siblings.map(siblingTable).join('')}
[endpoints]
cloud = "${settings.cloud}"
state = "${settings.state}"
[facts]
nodes = ${settings.siblings.length + 1}
zones = [${settings.zones.map((zone) => `"${zone}"`).join(', ')}]
clock_error_ms = 1000.0
${settings.teams.map(teamTable).join('')}
[[facts.objectives]]
kind = "finished"
class = "batch"
within_s = ${formatFloat(settings.finishObjectiveS)}
share = 0.9
[facts.workers]
report_s = ${settings.heartbeatIntervalS}
lease_s = ${settings.leaseS}
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = ${formatFloat(settings.cancelS)}
[facts.state]
rps = ${formatFloat(settings.storeRps ?? DEFAULT_STORE_RPS)}
write_rps = 60.0
value_kb = 16.0
txn_ops = 16
${settings.nextStoreLimits ? nextLimitsTable(settings.nextStoreLimits) : ''}[facts.cloud]
rps = ${formatFloat(settings.cloudRps)}
list_lag_s = ${formatFloat(settings.listLagS)}
[facts.resources]
cpu = ${settings.cpu}
memory_mb = 204.0
sockets = 2500
`;
}
