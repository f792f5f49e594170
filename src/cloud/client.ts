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

/** The cloud did not carry the request out (429, 503 trouble). */
export class CloudRequestRefusedError extends Error {}

/** What a rental came to. */
export type ScaleOutResult = { machines: MachineId[] } | 'no capacity';

/** What the controllers need of the cloud. */
export interface Cloud {
  listMachineTypes(): Promise<MachineType[]>;
  /** Repeating the same rental is safe; a rental that threw may still be carried out. */
  createMachines(rental: ScaleOutRequest): Promise<ScaleOutResult>;
  /** Resolves only when the machines and everything on them are gone. */
  deleteMachines(machines: readonly MachineId[]): Promise<void>;
  listMachines(after: string): Promise<{ machines: ListedMachine[]; more: boolean }>;
}

/** The cloud's HTTP interface, with a deadline on every call. */
export class CloudClient implements Cloud {
  constructor(
    private readonly http: HttpCaller,
    private readonly deadlineMs: number,
  ) {}

  private async ask(method: string, path: string, body?: unknown): Promise<HttpReply> {
    const reply = await this.http.call(method, path, body, this.deadlineMs);
    if (reply.status === 429) throw new CloudRequestRefusedError('cloud answered 429');
    return reply;
  }

  private static expect(reply: HttpReply): HttpReply {
    if (reply.status !== 200) throw new CloudRequestRefusedError(`cloud answered ${reply.status}`);
    return reply;
  }

  async listMachineTypes(): Promise<MachineType[]> {
    return readMachineTypes(CloudClient.expect(await this.ask('GET', '/machine_types')).body);
  }

  async createMachines(rental: ScaleOutRequest): Promise<ScaleOutResult> {
    const reply = await this.ask('POST', '/machines', scaleOutBody(rental));
    const error = (reply.body as { error?: unknown } | undefined)?.error;
    if (reply.status === 503 && error === 'no capacity') return 'no capacity';
    return { machines: readCreatedMachines(CloudClient.expect(reply).body) };
  }

  async deleteMachines(machines: readonly MachineId[]): Promise<void> {
    CloudClient.expect(await this.ask('POST', '/machines/delete', deleteMachinesBody(machines)));
  }

  async listMachines(after: string): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const from = after === '' ? '' : `after=${after}&`;
    return readMachineList(CloudClient.expect(await this.ask('GET', `/machines?${from}most=500`)).body);
  }
}
