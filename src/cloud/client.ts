/** The cloud's HTTP interface, by which machines are created, listed and deleted. */
import type { MachineId } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import type { HttpCaller, HttpReply } from '../net/http-client.js';
import {
  deleteMachinesBody,
  readMachineList,
  readCreatedMachines,
  readMachineTypes,
  scaleOutBody,
  type ScaleOutRequest,
} from '../wire/cloud.js';

const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
const LIST_PAGE_SIZE = 500;

/** Why the cloud refused: too many requests (429), or trouble of its own (503 and other statuses). */
export type CloudErrorCode = 'CLOUD_RATE_LIMITED' | 'CLOUD_REQUEST_REFUSED';

/** The cloud did not carry the request out. */
export class CloudRequestRefusedError extends Error {
  override readonly name = 'CloudRequestRefusedError';
  readonly code: CloudErrorCode;

  constructor(readonly status: number) {
    super(`cloud answered ${status}`);
    this.code = status === HTTP_TOO_MANY_REQUESTS ? 'CLOUD_RATE_LIMITED' : 'CLOUD_REQUEST_REFUSED';
  }
}

/** What came of a request for machines: those that were created, which may be fewer than requested. */
export type ScaleOutResult = { readonly machines: readonly MachineId[] } | 'no capacity';

/** One page of the machine list; `more`: others follow its last machine. */
export interface MachineListPage {
  readonly machines: readonly ListedMachine[];
  readonly more: boolean;
}

/** What the controllers need of the cloud. All calls reject with `CloudRequestRefusedError` where it refuses. */
export interface Cloud {
  listMachineTypes(): Promise<MachineType[]>;
  /** Repeating the same request is safe; one that rejected may still be carried out. */
  createMachines(request: ScaleOutRequest): Promise<ScaleOutResult>;
  /** Resolves only when the machines and everything on them are gone. */
  deleteMachines(machines: readonly MachineId[]): Promise<void>;
  /** The page of the list that follows the machine `after`; empty: the first. */
  listMachines(after: string): Promise<MachineListPage>;
}

/** Calls the cloud's HTTP interface, with a deadline on every call. */
export class CloudClient implements Cloud {
  constructor(
    private readonly http: HttpCaller,
    private readonly deadlineMs: number,
  ) {}

  async listMachineTypes(): Promise<MachineType[]> {
    return readMachineTypes(bodyOf(await this.call('GET', '/machine_types')));
  }

  async createMachines(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const reply = await this.call('POST', '/machines', scaleOutBody(request));
    if (isOutOfCapacity(reply)) return 'no capacity';
    return { machines: readCreatedMachines(bodyOf(reply)) };
  }

  async deleteMachines(machines: readonly MachineId[]): Promise<void> {
    bodyOf(await this.call('POST', '/machines/delete', deleteMachinesBody(machines)));
  }

  async listMachines(after: string): Promise<MachineListPage> {
    const position = after === '' ? '' : `after=${after}&`;
    return readMachineList(bodyOf(await this.call('GET', `/machines?${position}most=${LIST_PAGE_SIZE}`)));
  }

  private call(method: string, path: string, body?: unknown): Promise<HttpReply> {
    return this.http.call(method, path, body, this.deadlineMs);
  }
}

/** Returns the body of a reply. Throws `CloudRequestRefusedError` unless the cloud carried the request out. */
function bodyOf(reply: HttpReply): unknown {
  if (reply.status !== HTTP_OK) throw new CloudRequestRefusedError(reply.status);
  return reply.body;
}

function isOutOfCapacity({ status, body }: HttpReply): boolean {
  if (status !== HTTP_UNAVAILABLE) return false;
  return (body as { error?: unknown } | null | undefined)?.error === 'no capacity';
}
