/**
 * Where controllers' processor time and memory go: real processes on loopback against the stand-ins of state service,
 * cloud and workers. `npm run profile -- --machines 400 --seconds 60`: what each controller used, and the share of
 * each function by V8's profiler. The numbers of real days differ: this shows what an event costs.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { MachineId, ImageId, JobId, MachineTypeId, ZoneId } from '../../src/model/ids.js';
import { systemClock, sleep } from '../../src/model/time.js';
import { HttpTarget, NoAnswerError } from '../../src/net/http-client.js';
import { FakeCloud } from '../simulation/fake-cloud.js';
import { type JobRequest, LEASE_S, submissionBody, MACHINE_TYPES } from '../simulation/site-setup.js';
import { FakeKeyValueStore } from '../simulation/fake-key-value-store.js';
import { type JobBehavior, FakeWorker, type WorkerEnvironment } from '../simulation/fake-worker.js';
import {
  cloudHandler,
  heartbeatAnswer,
  heartbeatBody,
  serve,
  storeHandler,
  workersHandler,
} from '../simulation/fake-servers.js';
import { settingsFile } from '../simulation/settings-file.js';
import { printShares } from './shares.js';

const { values } = parseArgs({
  options: {
    machines: { type: 'string', default: '400' },
    seconds: { type: 'string', default: '60' },
    /** All controllers end after so many seconds and come back: what is measured begins there. */
    'restart-after': { type: 'string', default: '0' },
    /** Jobs a second. */
    services: { type: 'string', default: '1.2' },
    arrays: { type: 'string', default: '0.3' },
    tasks: { type: 'string', default: '70' },
    'report-s': { type: 'string', default: '6' },
    flags: { type: 'string', default: '--max-old-space-size=76 --max-semi-space-size=8' },
    profile: { type: 'boolean', default: true },
    program: { type: 'string', default: 'target/plumyoke.cjs' },
  },
  allowNegative: true,
});
const OUT = 'target/profile';
/** The same arrivals in every run. */
const generator = xoroshiro128plus(7);
const random = (): number => uniformFloat64(generator);
const STATE = 21_001;
const CLOUD = 21_002;
const WORKERS = 21_003;
const FRONT = 21_010;
const PEER = 21_020;
const NODES = [0, 1, 2];
const REPORT_MS = Number(values['report-s']) * 1000;
const POLL_MS = 5000;
const RUN_S = 35;

const addressOf = (id: MachineId): string => {
  const n = Number(id.slice('host-'.length));
  return `127.1.${n >> 8}.${n & 255}:${WORKERS}`;
};
const hostAt = (ip: string): MachineId => {
  const [, , high, low] = ip.split('.').map(Number);
  return `host-${String(((high ?? 0) << 8) + (low ?? 0)).padStart(6, '0')}` as MachineId;
};

const workers = new Map<MachineId, FakeWorker>();
const links = new Map<MachineId, HttpTarget[]>();
const jobs = new Map<JobId, JobBehavior>();
const fronts = NODES.map((n) => new HttpTarget(`127.0.0.1:${FRONT + n}`, 200));
let started = 0;

const world: WorkerEnvironment = {
  nodes: NODES.map(String),
  behaviorOf: (id) => jobs.get(id),
  onTaskStarted: () => started++,
  onTaskEnded: () => {},
  async heartbeat(worker, node, report) {
    const { id } = worker.machine;
    const targets = links.get(id) ?? NODES.map((n) => new HttpTarget(`127.0.0.1:${FRONT + n}`, 1));
    links.set(id, targets);
    try {
      const reply = await (targets[Number(node)] as HttpTarget).call(
        'POST',
        '/agent/beat',
        heartbeatBody(report, addressOf),
        4000,
      );
      return heartbeatAnswer(reply.status, reply.body);
    } catch {
      return null;
    }
  },
};

const state = new FakeKeyValueStore(systemClock);
const cloud = new FakeCloud(
  systemClock,
  MACHINE_TYPES,
  (machine) =>
    workers.set(machine.id, new FakeWorker(machine, systemClock, world, LEASE_S * 1000, REPORT_MS)),
  (id) => {
    workers.get(id)?.terminate();
    workers.delete(id);
  },
  () => {},
);

function settings(n: number): string {
  return settingsFile({
    member: `node-${n}`,
    zone: 'north',
    front: `127.0.0.1:${FRONT + n}`,
    listen: `127.0.0.1:${PEER + n}`,
    siblings: NODES.filter((other) => other !== n).map((other) => ({
      member: `node-${other}`,
      zone: 'north',
      address: `127.0.0.1:${PEER + other}`,
    })),
    cloud: `127.0.0.1:${CLOUD}`,
    state: `127.0.0.1:${STATE}`,
    zones: ['north', 'south'],
    teams: ['red', 'blue'].map((name) => ({ name, cpus: 1500, cpusMax: 60_000 })),
    finishWithinS: 150,
    reportS: Number(values['report-s']),
    leaseS: LEASE_S,
    cancelS: 59,
    listLagS: 2,
    cloudRps: 4,
    cpu: 0.102,
  });
}

function startNode(n: number): ChildProcess {
  const path = `${OUT}/node-${n}.toml`;
  writeFileSync(path, settings(n));
  const profiling = values.profile
    ? ['--cpu-prof', `--cpu-prof-dir=${OUT}`, `--cpu-prof-name=node-${n}.cpuprofile`]
    : [];
  const flags = values.flags.split(' ').filter((flag) => flag !== '');
  const exit = ['-r', `./${OUT}/exit.cjs`];
  const child = spawn(
    process.execPath,
    [...flags, ...profiling, ...exit, values.program, 'serve', '--config', path],
    {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    },
  );
  child.stderr?.on('data', (lines: Buffer) => summaries(n, lines.toString()));
  return child;
}

const last = new Map<number, Record<string, unknown>>();

function summaries(n: number, lines: string): void {
  for (const line of lines.split('\n')) {
    if (!line.includes('"msg":"summary"')) continue;
    try {
      last.set(n, JSON.parse(line) as Record<string, unknown>);
    } catch {
      // Cut in two by the pipe; the next one tells as much.
    }
  }
}

let nextJob = 0;

/** Submits a job and asks for it until it is over. */
async function user(kind: 'array' | 'service'): Promise<void> {
  const ref = `j-${String(nextJob++).padStart(6, '0')}`;
  const wish: JobRequest = {
    ref,
    kind,
    team: nextJob % 2 ? 'red' : 'blue',
    tasks: kind === 'array' ? Number(values.tasks) : 2,
    cpus: kind === 'array' ? 4 : 2,
    spot: kind === 'array',
    runS: RUN_S,
    image: `img-${nextJob % 10}`,
  };
  jobs.set(ref as JobId, {
    image: wish.image as ImageId,
    fetchMs: 1500,
    runMs: kind === 'array' ? RUN_S * 1000 : null,
    failsAlways: false,
  });
  const until = performance.now() + 90_000;
  const front = (): HttpTarget => fronts[Math.floor(random() * fronts.length)] as HttpTarget;
  let accepted = false;
  while (performance.now() < until) {
    try {
      if (!accepted) {
        const reply = await front().call('POST', '/v2/runs', submissionBody(wish), 5000);
        accepted = reply.status < 300;
      } else {
        const reply = await front().call('GET', `/v2/runs/${ref}`, undefined, 2000);
        if ((reply.body as { status?: string })?.status === 'done') return;
      }
    } catch (error) {
      if (!(error instanceof NoAnswerError)) throw error;
    }
    await sleep(systemClock, accepted ? POLL_MS : 1000);
  }
  await front()
    .call('POST', `/v2/runs/${ref}/cancel`, {}, 5000)
    .catch(() => {});
}

function arrive(kind: 'array' | 'service', perSecond: number): void {
  if (perSecond <= 0) return;
  systemClock.after((-Math.log(1 - random()) * 1000) / perSecond, () => {
    void user(kind);
    arrive(kind, perSecond);
  });
}

async function end(nodes: readonly ChildProcess[]): Promise<void> {
  const ended = nodes.map((node) => new Promise((resolve) => node.on('exit', resolve)));
  for (const node of nodes) node.kill('SIGTERM');
  await Promise.all(ended);
}

async function run(): Promise<void> {
  rmSync(OUT, { recursive: true, force: true });
  mkdirSync(OUT, { recursive: true });
  writeFileSync(`${OUT}/exit.cjs`, "process.on('SIGTERM', () => process.exit(0));\n");
  await serve(STATE, '127.0.0.1', storeHandler(state.clientFor('all', systemClock)));
  await serve(CLOUD, '127.0.0.1', cloudHandler(cloud.clientFor(systemClock), MACHINE_TYPES, addressOf));
  await serve(
    WORKERS,
    '0.0.0.0',
    workersHandler((ip) => workers.get(hostAt(ip)), addressOf),
  );
  for (let n = 0; n < Number(values.machines); n++)
    cloud.adopt({
      id: `host-${String(n).padStart(6, '0')}` as MachineId,
      type: MACHINE_TYPES[0]?.id as MachineTypeId,
      zone: (n % 2 ? 'north' : 'south') as ZoneId,
      spot: n % 3 === 0,
    });
  let nodes = NODES.map(startNode);
  await sleep(systemClock, 3000);
  for (let n = 0; n < 150 * Number(values.services); n++) void user('service');
  arrive('service', Number(values.services));
  arrive('array', Number(values.arrays));
  if (Number(values['restart-after']) > 0) {
    await sleep(systemClock, Number(values['restart-after']) * 1000);
    await end(nodes);
    nodes = NODES.map(startNode);
  }
  await sleep(systemClock, Number(values.seconds) * 1000);
  await end(nodes);
  console.log(
    `${workers.size} machines, ${started} starts, ${nextJob} jobs, ${state.requestCount} state requests`,
  );
  for (const n of NODES) console.log(`node-${n}: ${JSON.stringify(last.get(n))}`);
  if (!values.profile) process.exit(0);
  for (const name of readdirSync(OUT).filter((file) => file.endsWith('.cpuprofile'))) {
    console.log(`\n${name}`);
    printShares(JSON.parse(readFileSync(`${OUT}/${name}`, 'utf8')) as Parameters<typeof printShares>[0]);
  }
  process.exit(0);
}

void run();
