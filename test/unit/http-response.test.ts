import { describe, expect, it } from 'vitest';
import { type HttpResponse, MalformedResponseError, ResponseReader } from '../../src/net/http-response.js';

const RESPONSES: Record<string, string> = {
  'with a length': 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}',
  'in chunks, with a trailer':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\n{"a\r\n4\r\n":1}\r\n0\r\nX-T: 1\r\n\r\n',
  'after a preliminary one':
    'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:7\r\nconnection: Keep-Alive\r\n\r\n{"a":1}',
};

describe('ResponseReader', () => {
  it.each(Object.entries(RESPONSES))('reads a response %s from any cut of the stream', (_name, text) => {
    const bytes = Buffer.from(text);
    for (let cut = 0; cut <= bytes.length; cut++) {
      const reader = new ResponseReader();
      const read = [bytes.subarray(0, cut), bytes.subarray(cut)]
        .filter((part) => part.length > 0)
        .map((part) => reader.push(part))
        .filter((response): response is HttpResponse => response !== null);
      expect(read.map(({ status, body, keepAlive }) => [status, body.toString(), keepAlive])).toEqual([
        [200, '{"a":1}', true],
      ]);
    }
  });

  it('ends a response without a length with its connection, and no other may follow', () => {
    const reader = new ResponseReader();
    expect(reader.push(Buffer.from('HTTP/1.0 200 OK\r\n\r\n{"a"'))).toBeNull();
    expect(reader.push(Buffer.from(':1}'))).toBeNull();
    expect(reader.end()).toMatchObject({ status: 200, keepAlive: false });
  });

  it('reads no response where it breaks off', () => {
    const reader = new ResponseReader();
    expect(reader.push(Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{'))).toBeNull();
    expect(reader.end()).toBeNull();
  });

  it('completes a response without a body with its head', () => {
    const read = new ResponseReader().push(Buffer.from('HTTP/1.1 204 No Content\r\n\r\n'));
    expect([read?.status, read?.body.length, read?.keepAlive]).toEqual([204, 0, true]);
  });

  it.each(['nonsense\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n', 'x'.repeat(70_000)])(
    'refuses what cannot be a response',
    (text) => {
      expect(() => new ResponseReader().push(Buffer.from(text))).toThrow(MalformedResponseError);
    },
  );
});
