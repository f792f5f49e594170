/**
 * Profiles the CPU time and memory of controllers, which run as processes on loopback against fakes of the key-value
 * store, the cloud and the workers. `npm run profile -- --machines 400 --seconds 60` prints the last summary log line
 * of each controller, and the CPU time of each function according to V8's profiler. The figures show the cost of an
 * event; the load of a production site differs.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { MachineId, ImageId, JobId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { systemClock, sleep } from '../../src/model/time.js';
import { HttpConnectionPool, NoAnswerError } from '../../src/net/http-client.js';
import { FakeCloud } from '../simulation/fake-cloud.js';
import { type JobRequest, LEASE_S, submissionBody, MACHINE_TYPES } from '../simulation/site-setup.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';
import { type JobBehavior, FakeWorker, type WorkerEnvironment } from '../simulation/fake-worker.js';
import {
  cloudHandler,
  decodeHeartbeatAnswer,
  encodeHeartbeat,
  startHttpServer,
  storeHandler,
  workersHandler,
} from '../simulation/fake-servers.js';
import { settingsFile } from '../simulation/settings-file.js';
import { printShares } from './shares.js';

const { values } = parseArgs({
  options: {
    machines: { type: 'string', default: '400' },
    seconds: { type: 'string', default: '60' },
    /** The time in seconds after which all controllers restart and the measurement begins; 0 disables the restart. */
    'restart-after': { type: 'string', default: '0' },
    /** The mean arrival rate of service jobs, per second. */
    services: { type: 'string', default: '1.2' },
    /** The mean arrival rate of array jobs, per second. */
    arrays: { type: 'string', default: '0.3' },
    tasks: { type: 'string', default: '70' },
    'report-s': { type: 'string', default: '6' },
    flags: { type: 'string', default: '--max-old-space-size=76 --max-semi-space-size=8' },
    profile: { type: 'boolean', default: true },
    program: { type: 'string', default: 'target/plumyoke.cjs' },
  },
  allowNegative: true,
});
const OUTPUT_FOLDER = 'target/profile';
/** Generates the random choices. A constant seed gives every run the same job arrivals. */
const generator = xoroshiro128plus(7);
const random = (): number => uniformFloat64(generator);
const STORE_PORT = 21_001;
const CLOUD_PORT = 21_002;
const WORKER_PORT = 21_003;
const FRONT_PORT = 21_010;
const PEER_PORT = 21_020;
const NODE_INDEXES = [0, 1, 2];
const HEARTBEAT_INTERVAL_MS = Number(values['report-s']) * 1000;
const QUERY_INTERVAL_MS = 5000;
const JOB_RUN_S = 35;

const addressOf = (id: MachineId): string => {
  const number = Number(id.slice('host-'.length));
  return `127.1.${number >> 8}.${number & 255}:${WORKER_PORT}`;
};
const machineIdOf = (ip: string): MachineId => {
  const [, , high, low] = ip.split('.').map(Number);
  return `host-${String(((high ?? 0) << 8) + (low ?? 0)).padStart(6, '0')}` as MachineId;
};

const workers = new Map<MachineId, FakeWorker>();
const targetsByMachine = new Map<MachineId, HttpConnectionPool[]>();
const behaviorByJob = new Map<JobId, JobBehavior>();
const frontTargets = NODE_INDEXES.map(
  (node) => new HttpConnectionPool(`127.0.0.1:${FRONT_PORT + node}`, 200),
);
let startCount = 0;

const environment: WorkerEnvironment = {
  nodes: NODE_INDEXES.map(String),
  behaviorOf: (id) => behaviorByJob.get(id),
  onTaskStarted: () => startCount++,
  onTaskEnded: () => {},
  async heartbeat(worker, node, heartbeat) {
    const { id } = worker.machine;
    const targets =
      targetsByMachine.get(id) ??
      NODE_INDEXES.map((index) => new HttpConnectionPool(`127.0.0.1:${FRONT_PORT + index}`, 1));
    targetsByMachine.set(id, targets);
    try {
      const reply = await (targets[Number(node)] as HttpConnectionPool).call(
        'POST',
        '/agent/beat',
        encodeHeartbeat(heartbeat, addressOf),
        4000,
      );
      return decodeHeartbeatAnswer(reply.status, reply.body);
    } catch {
      return null;
    }
  },
};

const store = new FakeKeyValueStore(systemClock);
const cloud = new FakeCloud(
  systemClock,
  MACHINE_TYPES,
  (machine) =>
    workers.set(
      machine.id,
      new FakeWorker(machine, systemClock, environment, LEASE_S * 1000, HEARTBEAT_INTERVAL_MS),
    ),
  (id) => {
    workers.get(id)?.terminate();
    workers.delete(id);
  },
  () => {},
);

function settings(node: number): string {
  return settingsFile({
    member: `node-${node}`,
    zone: 'north',
    front: `127.0.0.1:${FRONT_PORT + node}`,
    listen: `127.0.0.1:${PEER_PORT + node}`,
    siblings: NODE_INDEXES.filter((other) => other !== node).map((other) => ({
      member: `node-${other}`,
      zone: 'north',
      address: `127.0.0.1:${PEER_PORT + other}`,
    })),
    cloud: `127.0.0.1:${CLOUD_PORT}`,
    state: `127.0.0.1:${STORE_PORT}`,
    zones: ['north', 'south'],
    teams: ['red', 'blue'].map((name) => ({ name, cpus: 1500, cpusMax: 60_000 })),
    finishObjectiveS: 150,
    heartbeatIntervalS: Number(values['report-s']),
    leaseS: LEASE_S,
    cancelS: 59,
    listLagS: 2,
    cloudRps: 4,
    cpu: 0.102,
  });
}

function startNode(node: number): ChildProcess {
  const path = `${OUTPUT_FOLDER}/node-${node}.toml`;
  writeFileSync(path, settings(node));
  const profiling = values.profile
    ? ['--cpu-prof', `--cpu-prof-dir=${OUTPUT_FOLDER}`, `--cpu-prof-name=node-${node}.cpuprofile`]
    : [];
  const flags = values.flags.split(' ').filter((flag) => flag !== '');
  const preloadArgs = ['-r', `./${OUTPUT_FOLDER}/exit.cjs`];
  const child = spawn(
    process.execPath,
    [...flags, ...profiling, ...preloadArgs, values.program, 'serve', '--config', path],
    {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    },
  );
  const killChild = (): void => void child.kill('SIGKILL');
  process.once('exit', killChild);
  child.once('exit', () => process.off('exit', killChild));
  child.stderr?.on('data', (lines: Buffer) => recordSummaries(node, lines.toString()));
  return child;
}

const lastSummaries = new Map<number, Record<string, unknown>>();

function recordSummaries(node: number, lines: string): void {
  for (const line of lines.split('\n')) {
    if (!line.includes('"msg":"summary"')) continue;
    try {
      lastSummaries.set(node, JSON.parse(line) as Record<string, unknown>);
    } catch {
      // The line was split between two reads from the pipe. The next summary replaces the lost summary.
    }
  }
}

let submittedJobCount = 0;

/** Submits a job and queries its state until the job is done. Cancels a job that is not done after 90 s. */
async function runUser(kind: 'array' | 'service'): Promise<void> {
  const ref = `j-${String(submittedJobCount++).padStart(6, '0')}`;
  const request: JobRequest = {
    ref,
    kind,
    team: submittedJobCount % 2 ? 'red' : 'blue',
    tasks: kind === 'array' ? Number(values.tasks) : 2,
    cpus: kind === 'array' ? 4 : 2,
    spot: kind === 'array',
    runS: JOB_RUN_S,
    image: `img-${submittedJobCount % 10}`,
  };
  behaviorByJob.set(ref as JobId, {
    image: request.image as ImageId,
    fetchMs: 1500,
    runMs: kind === 'array' ? JOB_RUN_S * 1000 : null,
    alwaysFails: false,
  });
  const deadline = performance.now() + 90_000;
  const front = (): HttpConnectionPool =>
    frontTargets[Math.floor(random() * frontTargets.length)] as HttpConnectionPool;
  let isAccepted = false;
  while (performance.now() < deadline) {
    try {
      if (!isAccepted) {
        const reply = await front().call('POST', '/v2/runs', submissionBody(request), 5000);
        isAccepted = reply.status < 300;
      } else {
        const reply = await front().call('GET', `/v2/runs/${ref}`, undefined, 2000);
        if ((reply.body as { status?: string })?.status === 'done') return;
      }
    } catch (error) {
      if (!(error instanceof NoAnswerError)) throw error;
    }
    await sleep(systemClock, isAccepted ? QUERY_INTERVAL_MS : 1000);
  }
  await front()
    .call('POST', `/v2/runs/${ref}/cancel`, {}, 5000)
    .catch(() => {});
}

function scheduleArrivals(kind: 'array' | 'service', perSecond: number): void {
  if (perSecond <= 0) return;
  systemClock.after((-Math.log(1 - random()) * 1000) / perSecond, () => {
    void runUser(kind);
    scheduleArrivals(kind, perSecond);
  });
}

async function stopNodes(nodes: readonly ChildProcess[]): Promise<void> {
  const exits = nodes.map((node) => new Promise((resolve) => node.on('exit', resolve)));
  for (const node of nodes) node.kill('SIGTERM');
  await Promise.all(exits);
}

async function run(): Promise<void> {
  rmSync(OUTPUT_FOLDER, { recursive: true, force: true });
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  writeFileSync(`${OUTPUT_FOLDER}/exit.cjs`, "process.on('SIGTERM', () => process.exit(0));\n");
  await startHttpServer(STORE_PORT, '127.0.0.1', storeHandler(store.clientFor('all', systemClock)));
  await startHttpServer(
    CLOUD_PORT,
    '127.0.0.1',
    cloudHandler(cloud.clientFor(systemClock), MACHINE_TYPES, addressOf),
  );
  await startHttpServer(
    WORKER_PORT,
    '0.0.0.0',
    workersHandler((ip) => workers.get(machineIdOf(ip)), addressOf),
  );
  for (let number = 0; number < Number(values.machines); number++) {
    cloud.addRunningMachine({
      id: `host-${String(number).padStart(6, '0')}` as MachineId,
      type: MACHINE_TYPES[0]?.id as MachineTypeId,
      zone: (number % 2 ? 'north' : 'south') as ZoneId,
      spot: number % 3 === 0,
    });
  }
  let nodes = NODE_INDEXES.map(startNode);
  await sleep(systemClock, 3000);
  for (let count = 0; count < 150 * Number(values.services); count++) void runUser('service');
  scheduleArrivals('service', Number(values.services));
  scheduleArrivals('array', Number(values.arrays));
  if (Number(values['restart-after']) > 0) {
    await sleep(systemClock, Number(values['restart-after']) * 1000);
    await stopNodes(nodes);
    nodes = NODE_INDEXES.map(startNode);
  }
  await sleep(systemClock, Number(values.seconds) * 1000);
  await stopNodes(nodes);
  console.log(
    `${workers.size} machines, ${startCount} starts, ${submittedJobCount} jobs, ${store.requestCount} state requests`,
  );
  for (const node of NODE_INDEXES) console.log(`node-${node}: ${JSON.stringify(lastSummaries.get(node))}`);
  if (!values.profile) process.exit(0);
  for (const name of readdirSync(OUTPUT_FOLDER).filter((file) => file.endsWith('.cpuprofile'))) {
    console.log(`\n${name}`);
    printShares(
      JSON.parse(readFileSync(`${OUTPUT_FOLDER}/${name}`, 'utf8')) as Parameters<typeof printShares>[0],
    );
  }
  process.exit(0);
}

// Signals end the process through process.exit, whose 'exit' handlers kill the controllers.
process.once('SIGINT', () => process.exit(130));
process.once('SIGTERM', () => process.exit(143));

void run();
