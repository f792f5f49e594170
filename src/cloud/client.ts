import type { HostId } from '../model/ids.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import type { HttpCaller, Reply } from '../net/http-client.js';
import { readList, readRented, readTypes, rentalBody, type Rental } from '../wire/cloud.js';

/** The cloud did not carry the request out (429, 503 trouble). */
export class CloudRefused extends Error {}

/** What a rental came to. */
export type Rented = { hosts: HostId[] } | 'no capacity';

/** What the controllers need of the cloud. */
export interface Cloud {
  types(): Promise<MachineType[]>;
  /** Repeating the same rental is safe; a rental that threw may still be carried out. */
  rent(rental: Rental): Promise<Rented>;
  /** Resolves only when the machines and everything on them are gone. */
  remove(hosts: readonly HostId[]): Promise<void>;
  list(after: string): Promise<{ machines: ListedMachine[]; more: boolean }>;
}

/** The cloud's HTTP interface, with a deadline on every call. */
export class CloudClient implements Cloud {
  constructor(
    private readonly http: HttpCaller,
    private readonly deadlineMs: number,
  ) {}

  private async ask(method: string, path: string, body?: unknown): Promise<Reply> {
    const reply = await this.http.call(method, path, body, this.deadlineMs);
    if (reply.status === 429) throw new CloudRefused('cloud answered 429');
    return reply;
  }

  private static expect(reply: Reply): Reply {
    if (reply.status !== 200) throw new CloudRefused(`cloud answered ${reply.status}`);
    return reply;
  }

  async types(): Promise<MachineType[]> {
    return readTypes(CloudClient.expect(await this.ask('GET', '/machine_types')).body);
  }

  async rent(rental: Rental): Promise<Rented> {
    const reply = await this.ask('POST', '/machines', rentalBody(rental));
    const error = (reply.body as { error?: unknown } | undefined)?.error;
    if (reply.status === 503 && error === 'no capacity') return 'no capacity';
    return { hosts: readRented(CloudClient.expect(reply).body) };
  }

  async remove(hosts: readonly HostId[]): Promise<void> {
    CloudClient.expect(await this.ask('POST', '/machines/delete', { hosts }));
  }

  async list(after: string): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const from = after === '' ? '' : `after=${after}&`;
    return readList(CloudClient.expect(await this.ask('GET', `/machines?${from}most=500`)).body);
  }
}
