/** The machines of a simulated site, and the simulated network between machines and controllers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { WorkerClient } from '../../src/peer/worker-client.js';
import type {
  MachineId,
  JobId,
  TaskId,
  AgentIncarnation,
  FencingToken,
  AttemptNumber,
} from '../../src/model/ids.js';
import type { Machine } from '../../src/model/machine.js';
import type { WorkerCommand, Heartbeat } from '../../src/model/heartbeat.js';
import { NoAnswerError } from '../../src/net/http-client.js';
import { type ProcessClock, VirtualClock } from './clock.js';
import { FakeCloud } from './fake-cloud.js';
import { RuleChecker } from './rule-checker.js';
import { LEASE_S, SMALL_SITE, MACHINE_TYPES } from './site-setup.js';
import { FakeKeyValueStore } from './fake-key-value-store.js';
import { type HeartbeatAnswer, type JobBehavior, FakeWorker, type WorkerEnvironment } from './fake-worker.js';

/** The fake key-value store, cloud and workers of a site and the rule checker, all on one virtual clock. */
export abstract class SimulatedMachines implements WorkerEnvironment {
  readonly clock = new VirtualClock();
  readonly store = new FakeKeyValueStore(this.clock);
  readonly cloud: FakeCloud;
  readonly nodes: readonly string[];
  readonly workers = new Map<MachineId, FakeWorker>();
  readonly rules = new RuleChecker((text) => this.trace(`BROKEN     ${text}`));
  protected readonly jobs = new Map<JobId, JobBehavior>();
  protected readonly traceLines: string[] = [];
  protected readonly random: () => number;
  /** The links, as `node machine`, on which no message is delivered in either direction. */
  readonly cutLinks = new Set<string>();
  /** The links, as `node machine`, on which direct calls to workers are delayed until `releaseCommands`. */
  readonly heldLinks = new Set<string>();
  /** Machines with an inbound partition: their heartbeats arrive, but no answer and no command reaches them. */
  readonly inboundPartitioned = new Set<MachineId>();
  /** Machines with an outbound partition: their heartbeats reach no controller, but direct commands reach them. */
  readonly outboundPartitioned = new Set<MachineId>();
  /** The delay after which every command is delivered a second time; null: commands are delivered once. */
  protected commandRepeatDelayS: number | null = null;
  protected readonly heldCommands: { link: string; run: () => void }[] = [];
  /** The highest number of concurrent direct calls to workers so far. */
  maxConcurrentCalls = 0;
  protected openCallCount = 0;

  constructor(protected readonly size = SMALL_SITE) {
    this.nodes = Array.from({ length: size.nodes }, (_, index) => `node-${index}`);
    const generator = xoroshiro128plus(7);
    this.random = () => uniformFloat64(generator);
    this.store.random = this.random;
    this.cloud = new FakeCloud(
      this.clock,
      size.types ?? MACHINE_TYPES,
      (machine) => this.onMachineUp(machine),
      (id) => this.onMachineGone(id),
      (text) => this.trace(text),
    );
  }

  /** Sends a worker's heartbeat to a node; resolves to null if no answer arrives. */
  abstract heartbeat(worker: FakeWorker, node: string, heartbeat: Heartbeat): Promise<HeartbeatAnswer | null>;

  /** Appends a line with the virtual time in seconds to the trace. */
  trace(text: string): void {
    this.traceLines.push(`${(this.clock.now() / 1000).toFixed(2).padStart(7)}  ${text}`);
  }

  /** The whole trace as text, with a final newline. */
  get traceText(): string {
    return `${this.traceLines.join('\n')}\n`;
  }

  /** Advances the virtual time by `seconds`. */
  async run(seconds: number): Promise<void> {
    await this.clock.advance(seconds * 1000);
  }

  protected workerClientFor(node: string, clock: ProcessClock): WorkerClient {
    const call = <T>(
      workerAddress: string,
      deadlineMs: number,
      operation: (worker: FakeWorker) => T,
    ): Promise<T> =>
      new Promise((resolve, reject) => {
        const machine = workerAddress.slice(0, workerAddress.indexOf(':')) as MachineId;
        const link = `${node} ${machine}`;
        const worker = this.workers.get(machine);
        this.maxConcurrentCalls = Math.max(this.maxConcurrentCalls, ++this.openCallCount);
        let isOpen = true;
        const close = (): void => {
          if (isOpen) this.openCallCount--;
          isOpen = false;
        };
        clock.after(deadlineMs, () => {
          close();
          reject(new NoAnswerError('worker did not answer before the deadline'));
        });
        if (!worker || this.cutLinks.has(link) || this.inboundPartitioned.has(machine)) return;
        const deliver = (): void =>
          worker.runWhenResponsive(() => {
            const answer = operation(worker);
            clock.after(2, () => {
              close();
              resolve(answer);
            });
          });
        if (this.heldLinks.has(link)) this.heldCommands.push({ link, run: deliver });
        else this.clock.after(2, deliver);
      });
    return {
      sendCommands: (workerAddress, token, incarnation, commands, deadlineMs) =>
        call(workerAddress, deadlineMs, (worker) => {
          const delayS = this.commandRepeatDelayS;
          if (delayS !== null && commands.length > 0)
            this.clock.after(delayS * 1000, () => this.repeatCommand(worker, token, incarnation, commands));
          return worker.handleCommands(token, incarnation, commands);
        }),
      fetchHeartbeat: (workerAddress, deadlineMs) =>
        call(workerAddress, deadlineMs, (worker) => worker.nextHeartbeat()),
    };
  }

  /** Delays the direct calls of a node to a machine until `releaseCommands`. */
  holdCommands(node: string, machine: MachineId): void {
    this.heldLinks.add(`${node} ${machine}`);
    this.trace(`network    holds orders from ${node} to ${machine}`);
  }

  /** Ends the delay on all links, and delivers the delayed calls in the order in which they were sent. */
  releaseCommands(): void {
    this.trace(`network    delivers ${this.heldCommands.length} held`);
    this.heldLinks.clear();
    for (const { run } of this.heldCommands.splice(0)) run();
  }

  /** Makes the network deliver every later command to a worker a second time, after a delay. */
  repeatCommands(delayS: number): void {
    this.commandRepeatDelayS = delayS;
    this.trace(`network    delivers commands once more, ${delayS} s later`);
  }

  protected repeatCommand(
    worker: FakeWorker,
    token: FencingToken,
    incarnation: AgentIncarnation,
    commands: readonly WorkerCommand[],
  ): void {
    worker.runWhenResponsive(() => {
      const { executed } = worker.handleCommands(token, incarnation, commands);
      this.trace(`${worker.machine.id} ${executed ? 'carries out' : 'refuses'} a copy of ${commands.length}`);
    });
  }

  protected onMachineUp(machine: Machine): void {
    this.trace(`${machine.id} is up (${machine.zone}${machine.spot ? ', spot' : ''})`);
    this.workers.set(
      machine.id,
      new FakeWorker(machine, this.clock, this, LEASE_S * 1000, this.size.heartbeatIntervalS * 1000),
    );
  }

  protected onMachineGone(id: MachineId): void {
    this.workers.get(id)?.terminate();
    this.workers.delete(id);
  }

  /** Removes a machine from the cloud without an interruption notice, and ends its tasks. */
  killMachine(id: MachineId): void {
    this.trace(`${id} dies`);
    this.onMachineGone(id);
    this.cloud.machines.delete(id);
  }

  /** Returns the machine on which a task runs; throws if the task does not run. */
  machineOf(task: string): MachineId {
    const machine = this.rules.machineOf(task as TaskId);
    if (!machine) throw new Error(`task ${task} does not run on any machine`);
    return machine;
  }

  /** Returns the worker of a machine; throws if the machine has not booted or was removed. */
  worker(id: MachineId): FakeWorker {
    const worker = this.workers.get(id);
    if (!worker) throw new Error(`machine ${id} has not booted or was removed`);
    return worker;
  }

  behaviorOf(id: JobId): JobBehavior | undefined {
    return this.jobs.get(id);
  }

  onTaskStarted(worker: FakeWorker, task: TaskId, attemptNumber: AttemptNumber): void {
    this.trace(`${worker.machine.id} runs ${task} try ${attemptNumber}`);
    this.rules.recordStart(task, worker.machine, this.clock.now());
  }

  onTaskEnded(worker: FakeWorker, task: TaskId, cause: string): void {
    this.trace(`${worker.machine.id} ends ${task}: ${cause}`);
    this.rules.recordEnd(task, worker.machine.id, cause === 'done');
  }
}
