/** A complete simulated site: controllers, machines and users. */
import { type UserService } from '../../src/api/user-service.js';
import type {
  MachineId,
  ImageId,
  JobId,
  TaskId,
  TeamId,
  AgentIncarnation,
  FencingToken,
  AttemptNumber,
  MachineTypeId,
  ZoneId,
} from '../../src/model/ids.js';
import { parseTaskId } from '../../src/model/ids.js';
import type { KeyValue } from '../../src/wire/key-value-store.js';
import { type RuleChecker } from './rule-checker.js';
import { CANCEL_S, type JobRequest, siteSettings, submissionBody } from './site-setup.js';
import { SimulatedControllers } from './simulated-controllers.js';

/** A site on a virtual clock, with controllers, key-value store, cloud, workers, users and rule checker. */
export class SimulatedSite extends SimulatedControllers {
  /**
   * Restores the store records of another run, and starts the machines and the running tasks that the records describe.
   * `token` is the highest fencing token that the workers have received. The records do not contain the leader's
   * key, because the lease of that key has expired.
   */
  restore(records: readonly KeyValue[], requests: readonly JobRequest[], token: FencingToken): void {
    this.store.restore(records);
    for (const request of requests) {
      this.registerJob(request, this.nodes[0] as string);
      this.rules.recordAcceptance(request.ref as JobId);
    }
    for (const { key, value } of records) {
      const { s: state } = value as { s?: string };
      if (key.startsWith('job/') && state !== 'a')
        this.rules.recordRestoredOutcome(key.slice(4) as JobId, state === 'd');
    }
    for (const { key, value } of records) {
      if (!key.startsWith('fleet/')) continue;
      for (const [id, type, zone, spot] of (value as { m: [MachineId, MachineTypeId, ZoneId, number][] }).m)
        this.cloud.addRunningMachine({ id, type, zone, spot: spot === 1 });
    }
    for (const { key, value } of records) {
      const job = /^open\/(j-\d+)\/(?:\d+-)?\d+$/.exec(key)?.[1];
      if (job === undefined) continue;
      for (const [index, attemptNumber, host] of (value as { p?: [number, AttemptNumber, MachineId][] }).p ??
        []) {
        // A progress record that a later record contradicts may name a machine that was removed.
        if (!this.workers.has(host)) continue;
        this.worker(host).handleCommands(token, 1 as AgentIncarnation, [
          { kind: 'start', task: `${job}/${index}` as TaskId, attemptNumber },
        ]);
      }
    }
  }

  /** Submits a job and advances the time until the answer arrives; resolves to the status of the answer. */
  async submit(request: JobRequest, node = 'node-0'): Promise<number> {
    const body = this.registerJob(request, node);
    const answer = await this.request(node, `submits ${request.ref}`, (users) => users.submit(body));
    return this.recordSubmitStatus(request, answer.status);
  }

  /**
   * Submits a job without advancing the time, so that requests can be concurrent; resolves to the status, 503 for no
   * answer.
   */
  async submitConcurrently(request: JobRequest, node: string): Promise<number> {
    const body = this.registerJob(request, node);
    const answer = await this.running
      .get(node)
      ?.users.submit(body)
      .catch(() => null);
    return this.recordSubmitStatus(request, answer?.status ?? 503);
  }

  /**
   * Submits a job that must be rejected, and records any status other than the expected one or 503 as a violation. The
   * body lacks `missingField`, and 400 is expected; without `missingField` the job must fit no machine, and 422 is
   * expected.
   */
  async expectRejected(request: JobRequest, node: string, missingField?: string): Promise<void> {
    const body: Record<string, unknown> = { ...submissionBody(request) };
    if (missingField !== undefined) delete body[missingField];
    const answer = await this.running
      .get(node)
      ?.users.submit(body)
      .catch(() => null);
    const expected = missingField === undefined ? 422 : 400;
    if (answer && answer.status !== expected && answer.status !== 503) {
      this.rules.recordViolation(`accepted: ${request.ref} got ${answer.status} instead of ${expected}`);
    }
  }

  protected recordSubmitStatus(request: JobRequest, status: number): number {
    if (status === 201 || status === 200) this.rules.recordAcceptance(request.ref as JobId);
    return status;
  }

  /**
   * Queries a job without advancing the time; resolves to the state or `404`, and to null for any other status or no
   * answer.
   */
  async queryConcurrently(ref: string, node: string): Promise<string | null> {
    const answer = await this.running
      .get(node)
      ?.users.query(ref)
      .catch(() => null);
    if (!answer || (answer.status !== 200 && answer.status !== 404)) return null;
    return this.recordReportedState(ref, answer);
  }

  /**
   * Cancels a job without advancing the time; resolves to the state, and to null for a status other than 200 or no
   * answer.
   */
  async cancelConcurrently(ref: string, node: string): Promise<string | null> {
    this.rules.recordCancelRequest(ref);
    const answer = await this.running
      .get(node)
      ?.users.cancel(ref)
      .catch(() => null);
    if (answer?.status !== 200) return null;
    return this.recordCancelState(ref, answer);
  }

  protected recordReportedState(ref: string, answer: { status: number; body: object }): string {
    const state = answer.status === 404 ? '404' : (answer.body as { status: string }).status;
    this.rules.recordReportedState(ref as JobId, state, this.clock.now());
    return state;
  }

  protected recordCancelState(ref: string, answer: { status: number; body: object }): string {
    const state = this.recordReportedState(ref, answer);
    if (state === 'cancelled')
      this.rules.recordConfirmedCancellation(ref as JobId, this.clock.now() + CANCEL_S * 1000);
    return state;
  }

  /** The number of jobs whose acceptance a user received. */
  get acceptedCount(): number {
    return [...this.rules.acceptedJobs()].length;
  }

  /** Registers a job with the workers and the rule checker, and returns the body of the submission. */
  protected registerJob(request: JobRequest, node: string): Parameters<RuleChecker['recordSubmission']>[1] {
    const body = submissionBody(request);
    const id = request.ref as JobId;
    this.jobs.set(id, {
      image: 'img-1' as ImageId,
      fetchMs: 1000,
      runMs: body.shape === 'array' ? (request.runS ?? 5) * 1000 : null,
      alwaysFails: request.alwaysFails ?? false,
    });
    const team = siteSettings(node, this.size).teams.find(
      ({ id: teamId }) => teamId === (body.owner as TeamId),
    );
    this.rules.recordSubmission(id, body, team?.cpusMax ?? null);
    return body;
  }

  /**
   * Queries a job and advances the time until the answer arrives; resolves to the state, or to the status if not 200.
   */
  async query(ref: string, node = 'node-0'): Promise<string> {
    const answer = await this.request(node, `asks for ${ref}`, (users) => users.query(ref));
    if (answer.status === 200 || answer.status === 404) return this.recordReportedState(ref, answer);
    return String(answer.status);
  }

  /**
   * Cancels a job and advances the time until the answer arrives; resolves to the state, or to the status if not 200.
   */
  async cancel(ref: string, node = 'node-0'): Promise<string> {
    this.rules.recordCancelRequest(ref);
    const answer = await this.request(node, `cancels ${ref}`, (users) => users.cancel(ref));
    return answer.status === 200 ? this.recordCancelState(ref, answer) : String(answer.status);
  }

  /** Runs a user's request on a node, advances the time until the answer arrives, and adds the answer to the trace. */
  protected async request(
    node: string,
    description: string,
    operation: (users: UserService) => Promise<{ status: number; body: object }>,
  ): Promise<{ status: number; body: object }> {
    const users = this.running.get(node)?.users;
    if (!users) throw new Error(`controller ${node} is not running`);
    let answer: { status: number; body: object } | null = null;
    void operation(users).then(
      (result) => {
        answer = result;
      },
      () => {
        answer = { status: 503, body: {} };
      },
    );
    while (answer === null) await this.clock.advance(5);
    const received = answer as { status: number; body: object };
    const status = (received.body as { status?: string }).status;
    this.trace(`user       ${description} at ${node}: ${received.status}${status ? ` ${status}` : ''}`);
    return received;
  }

  /** Returns the number of a job's running tasks that the rule checker has recorded. */
  runningTaskCount(ref: string): number {
    return this.rules.countRunning((task) => parseTaskId(task)?.job === ref);
  }

  /**
   * Checks the final state: records a violation for every cancelled job with tasks that run after the deadline, for
   * every accepted job that no node answers for (503 counts as no answer) or that a node answers 404 for, and for every
   * state that contradicts an earlier answer.
   */
  async finish(): Promise<void> {
    this.rules.checkCancelled(this.clock.now());
    for (const ref of this.rules.acceptedJobs()) {
      const states: string[] = [];
      for (const { users } of this.running.values()) {
        void users.query(ref).then(
          ({ status, body }) =>
            states.push(status === 200 ? (body as { status: string }).status : `${status}`),
          () => {},
        );
      }
      await this.clock.advance(1500);
      if (!states.some((state) => state !== '503'))
        this.rules.recordViolation(`forgotten: nobody answers for ${ref}`);
      for (const state of states)
        if (state !== '503') this.rules.recordReportedState(ref, state, this.clock.now());
    }
  }
}
