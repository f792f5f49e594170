import { describe, expect, it } from 'vitest';
import { CloudClient, CloudRequestRefusedError } from '../../src/cloud/client.js';
import type { MachineId, MachineTypeId, ScaleOutRequestId, ZoneId } from '../../src/model/ids.js';
import type { HttpCaller } from '../../src/net/http-client.js';

interface SentRequest {
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
}

/** Creates a client of a cloud that gives the same answer to every request, and collects the requests sent. */
function cloudClient(answer: unknown, status = 200): { client: CloudClient; sent: SentRequest[] } {
  const sent: SentRequest[] = [];
  const http: HttpCaller = {
    call: (method, path, body) => {
      sent.push({ method, path, body });
      return Promise.resolve({ status, body: answer });
    },
  };
  return { client: new CloudClient(http, 1000), sent };
}

describe('cloud requests', () => {
  it('encode a request to create machines with the field names of the protocol', async () => {
    const { client, sent } = cloudClient({ hosts: ['host-000001'] });
    await client.createMachines({
      name: 'p5-1' as ScaleOutRequestId,
      type: 'small' as MachineTypeId,
      zone: 'north' as ZoneId,
      spot: true,
      count: 2,
    });
    const body = { hire: 'p5-1', flavour: 'small', hall: 'north', reclaimable: true, howMany: 2 };
    expect(sent).toEqual([{ method: 'POST', path: '/machines', body }]);
  });

  it('encode a request to delete machines with the field names of the protocol', async () => {
    const { client, sent } = cloudClient({});
    await client.deleteMachines(['host-000001' as MachineId]);
    expect(sent).toEqual([{ method: 'POST', path: '/machines/delete', body: { hosts: ['host-000001'] } }]);
  });

  it('request one page of the machine list after a given machine', async () => {
    const { client, sent } = cloudClient({ hosts: [], more: false });
    await client.listMachines('');
    await client.listMachines('host-000001');
    expect(sent.map(({ path }) => path)).toEqual([
      '/machines?most=500',
      '/machines?after=host-000001&most=500',
    ]);
  });

  it.each([
    [429, 'CLOUD_RATE_LIMITED'],
    [503, 'CLOUD_REQUEST_REFUSED'],
    [500, 'CLOUD_REQUEST_REFUSED'],
  ])('reject with the error code for the status of a refusal (%i)', async (status, code) => {
    const { client } = cloudClient({ error: 'trouble' }, status);
    const error: unknown = await client.deleteMachines([]).catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(CloudRequestRefusedError);
    expect(error).toMatchObject({
      code,
      status,
      message: `cloud API request failed with HTTP status ${status}`,
    });
  });

  it('distinguish a pool without capacity from a refused request', async () => {
    const request = {
      name: 'p5-1' as ScaleOutRequestId,
      type: 'small' as MachineTypeId,
      zone: 'north' as ZoneId,
      spot: true,
      count: 2,
    };
    expect(await cloudClient({ error: 'no capacity' }, 503).client.createMachines(request)).toBe(
      'no capacity',
    );
    await expect(cloudClient(null, 503).client.createMachines(request)).rejects.toThrow(
      'cloud API request failed with HTTP status 503',
    );
  });
});
