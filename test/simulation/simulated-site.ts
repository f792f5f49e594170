/** A whole stand-in site: controllers, machines, and users. */
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

/** A whole site on a virtual clock: three nodes, state service, cloud, workers, users, rule checker. */
export class SimulatedSite extends SimulatedControllers {
  /**
   * Goes on with the records that others have left, on the machines and with the tasks that they tell of.
   * `token`: the highest that the workers have seen. The leader's key is not among them: its grant ended.
   */
  restore(records: readonly KeyValue[], wishes: readonly JobRequest[], token: FencingToken): void {
    this.store.restore(records);
    for (const wish of wishes) {
      this.registerJob(wish, this.nodes[0] as string);
      this.rules.recordAcceptance(wish.ref as JobId);
    }
    for (const { key, value } of records) {
      const { s: state } = value as { s?: string };
      if (key.startsWith('job/') && state !== 'a')
        this.rules.recordEarlierEnd(key.slice(4) as JobId, state === 'd');
    }
    for (const { key, value } of records) {
      if (!key.startsWith('fleet/')) continue;
      for (const [id, type, zone, spot] of (value as { m: [MachineId, MachineTypeId, ZoneId, number][] }).m)
        this.cloud.adopt({ id, type, zone, spot: spot === 1 });
    }
    for (const { key, value } of records) {
      const job = /^open\/(j-\d+)\/(?:\d+-)?\d+$/.exec(key)?.[1];
      if (job === undefined) continue;
      for (const [index, attemptNumber, host] of (value as { p?: [number, AttemptNumber, MachineId][] }).p ??
        [])
        this.worker(host).command(token, 1 as AgentIncarnation, [
          { kind: 'start', task: `${job}/${index}` as TaskId, attemptNumber },
        ]);
    }
  }

  async submit(wish: JobRequest, node = 'node-0'): Promise<number> {
    const body = this.registerJob(wish, node);
    const answer = await this.request(node, `submits ${wish.ref}`, (users) => users.submit(body));
    return this.recordSubmitStatus(wish, answer.status);
  }

  /** The same for one of many users at once: time moves on without it. */
  async submitConcurrently(wish: JobRequest, node: string): Promise<number> {
    const body = this.registerJob(wish, node);
    const answer = await this.running
      .get(node)
      ?.users.submit(body)
      .catch(() => null);
    return this.recordSubmitStatus(wish, answer?.status ?? 503);
  }

  /** A submission that must never be accepted: one that fits no machine, or lacks a field. */
  async expectRejected(wish: JobRequest, node: string, lacks?: string): Promise<void> {
    const body: Record<string, unknown> = { ...submissionBody(wish) };
    if (lacks !== undefined) delete body[lacks];
    const answer = await this.running
      .get(node)
      ?.users.submit(body)
      .catch(() => null);
    const expected = lacks === undefined ? 422 : 400;
    if (answer && answer.status !== expected && answer.status !== 503) {
      this.rules.recordViolation(`accepted: ${wish.ref} got ${answer.status} instead of ${expected}`);
    }
  }

  protected recordSubmitStatus(wish: JobRequest, status: number): number {
    if (status === 201 || status === 200) this.rules.recordAcceptance(wish.ref as JobId);
    return status;
  }

  /** A question of one of many users; null: no answer. Time moves on without it. */
  async queryConcurrently(ref: string, node: string): Promise<string | null> {
    const answer = await this.running
      .get(node)
      ?.users.query(ref)
      .catch(() => null);
    if (!answer || (answer.status !== 200 && answer.status !== 404)) return null;
    return this.recordState(ref, answer);
  }

  /** The same for a cancellation. */
  async cancelConcurrently(ref: string, node: string): Promise<string | null> {
    this.rules.recordCancelRequest(ref);
    const answer = await this.running
      .get(node)
      ?.users.cancel(ref)
      .catch(() => null);
    if (answer?.status !== 200) return null;
    return this.recordCancelState(ref, answer);
  }

  protected recordState(ref: string, answer: { status: number; body: object }): string {
    const state = answer.status === 404 ? '404' : (answer.body as { status: string }).status;
    this.rules.recordReportedState(ref as JobId, state, this.clock.now());
    return state;
  }

  protected recordCancelState(ref: string, answer: { status: number; body: object }): string {
    const state = this.recordState(ref, answer);
    if (state === 'cancelled')
      this.rules.recordCancellation(ref as JobId, this.clock.now() + CANCEL_S * 1000);
    return state;
  }

  get acceptedCount(): number {
    return [...this.rules.acceptedJobs()].length;
  }

  /** The job as the user submits it; from now on the checker knows it. */
  protected registerJob(wish: JobRequest, node: string): Parameters<RuleChecker['recordSubmission']>[1] {
    const body = submissionBody(wish);
    const id = wish.ref as JobId;
    this.jobs.set(id, {
      image: 'img-1' as ImageId,
      fetchMs: 1000,
      runMs: body.shape === 'array' ? (wish.runS ?? 5) * 1000 : null,
      failsAlways: wish.broken ?? false,
    });
    const team = siteSettings(node, this.size).teams.find((t) => t.id === (body.owner as TeamId));
    this.rules.recordSubmission(id, body, team?.cpusMax ?? null);
    return body;
  }

  async query(ref: string, node = 'node-0'): Promise<string> {
    const answer = await this.request(node, `asks for ${ref}`, (users) => users.query(ref));
    if (answer.status === 200 || answer.status === 404) return this.recordState(ref, answer);
    return String(answer.status);
  }

  async cancel(ref: string, node = 'node-0'): Promise<string> {
    this.rules.recordCancelRequest(ref);
    const answer = await this.request(node, `cancels ${ref}`, (users) => users.cancel(ref));
    return answer.status === 200 ? this.recordCancelState(ref, answer) : String(answer.status);
  }

  protected async request(
    node: string,
    what: string,
    act: (users: UserService) => Promise<{ status: number; body: object }>,
  ): Promise<{ status: number; body: object }> {
    const users = this.running.get(node)?.users;
    if (!users) throw new Error(`${node} is down`);
    let answer: { status: number; body: object } | null = null;
    void act(users).then(
      (a) => {
        answer = a;
      },
      () => {
        answer = { status: 503, body: {} };
      },
    );
    while (answer === null) await this.clock.advance(5);
    const done = answer as { status: number; body: object };
    const status = (done.body as { status?: string }).status;
    this.trace(`user       ${what} at ${node}: ${done.status}${status ? ` ${status}` : ''}`);
    return done;
  }

  /** Every running task of a job, by the checker's own account. */
  runningTaskCount(ref: string): number {
    return this.rules.countRunning((task) => parseTaskId(task)?.job === ref);
  }

  /**
   * Cancellations past their limit that still have tasks on machines count as broken, and so does a
   * job that was accepted and that no node can tell of.
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
      if (!states.some((s) => s !== '503'))
        this.rules.recordViolation(`forgotten: nobody answers for ${ref}`);
      for (const state of states)
        if (state !== '503') this.rules.recordReportedState(ref, state, this.clock.now());
    }
  }
}
