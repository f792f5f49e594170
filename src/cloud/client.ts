/** A client of the cloud's HTTP API, which creates, lists and deletes machines. */
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
const HTTP_SERVICE_UNAVAILABLE = 503;
/** The maximum number of machines per page of the machine list. */
const LIST_PAGE_SIZE = 500;

/** The reason why the cloud refused a request: rate limit exceeded (429), or any other status, such as 503. */
export type CloudErrorCode = 'CLOUD_RATE_LIMITED' | 'CLOUD_REQUEST_REFUSED';

/** Thrown when the cloud responds with a status other than 200, except where the status reports missing capacity. */
export class CloudRequestRefusedError extends Error {
  override readonly name = 'CloudRequestRefusedError';
  readonly code: CloudErrorCode;

  constructor(readonly status: number) {
    super(`cloud API request failed with HTTP status ${status}`);
    this.code = status === HTTP_TOO_MANY_REQUESTS ? 'CLOUD_RATE_LIMITED' : 'CLOUD_REQUEST_REFUSED';
  }
}

/** The result of a scale-out request: the created machines, which may be fewer than requested, or `no capacity`. */
export type ScaleOutResult = { readonly machines: readonly MachineId[] } | 'no capacity';

/** One page of the machine list. `more` is true if further machines follow the last machine of the page. */
export interface MachineListPage {
  readonly machines: readonly ListedMachine[];
  readonly more: boolean;
}

/**
 * The cloud API as used by the controllers. Calls reject with `CloudRequestRefusedError` if the cloud refuses the
 * request.
 */
export interface CloudApi {
  listMachineTypes(): Promise<MachineType[]>;
  /**
   * Creates machines. The call is idempotent by request name; the cloud may still carry out a request whose call
   * rejected.
   */
  createMachines(request: ScaleOutRequest): Promise<ScaleOutResult>;
  /** Deletes machines. Resolves only when the machines and everything on them have stopped. */
  deleteMachines(machines: readonly MachineId[]): Promise<void>;
  /** Returns the page of the machine list that follows the machine `after`; an empty `after` returns the first page. */
  listMachines(after: string): Promise<MachineListPage>;
}

/** Calls the cloud's HTTP API with a deadline on every call. */
export class CloudClient implements CloudApi {
  constructor(
    private readonly http: HttpCaller,
    private readonly deadlineMs: number,
  ) {}

  async listMachineTypes(): Promise<MachineType[]> {
    return readMachineTypes(successBody(await this.call('GET', '/machine_types')));
  }

  async createMachines(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const reply = await this.call('POST', '/machines', scaleOutBody(request));
    if (isOutOfCapacity(reply)) return 'no capacity';
    return { machines: readCreatedMachines(successBody(reply)) };
  }

  async deleteMachines(machines: readonly MachineId[]): Promise<void> {
    successBody(await this.call('POST', '/machines/delete', deleteMachinesBody(machines)));
  }

  async listMachines(after: string): Promise<MachineListPage> {
    const cursorParameter = after === '' ? '' : `after=${after}&`;
    return readMachineList(
      successBody(await this.call('GET', `/machines?${cursorParameter}most=${LIST_PAGE_SIZE}`)),
    );
  }

  private call(method: string, path: string, body?: unknown): Promise<HttpReply> {
    return this.http.call(method, path, body, this.deadlineMs);
  }
}

/** Returns the body of a reply with status 200. Throws `CloudRequestRefusedError` for any other status. */
function successBody(reply: HttpReply): unknown {
  if (reply.status !== HTTP_OK) throw new CloudRequestRefusedError(reply.status);
  return reply.body;
}

function isOutOfCapacity({ status, body }: HttpReply): boolean {
  if (status !== HTTP_SERVICE_UNAVAILABLE) return false;
  return (body as { error?: unknown } | null | undefined)?.error === 'no capacity';
}
