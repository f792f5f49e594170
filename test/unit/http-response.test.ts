import { describe, expect, it } from 'vitest';
import { type HttpResponse, MalformedResponseError, ResponseReader } from '../../src/net/http-response.js';

const RESPONSES: Record<string, string> = {
  'with a length': 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}',
  'in chunks, with a trailer':
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\n{"a\r\n4\r\n":1}\r\n0\r\nX-T: 1\r\n\r\n',
  'after an informational response':
    'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:7\r\nconnection: Keep-Alive\r\n\r\n{"a":1}',
};

describe('ResponseReader', () => {
  it.each(Object.entries(RESPONSES))('reads a response %s, wherever the stream is split', (_name, text) => {
    const bytes = Buffer.from(text);
    for (let cut = 0; cut <= bytes.length; cut++) {
      const reader = new ResponseReader();
      const responses = [bytes.subarray(0, cut), bytes.subarray(cut)]
        .filter((chunk) => chunk.length > 0)
        .map((chunk) => reader.push(chunk))
        .filter((response): response is HttpResponse => response !== null);
      expect(responses.map(({ status, body, keepAlive }) => [status, body.toString(), keepAlive])).toEqual([
        [200, '{"a":1}', true],
      ]);
    }
  });

  it('ends a response without a length at the end of the connection, which is not reused', () => {
    const reader = new ResponseReader();
    expect(reader.push(Buffer.from('HTTP/1.0 200 OK\r\n\r\n{"a"'))).toBeNull();
    expect(reader.push(Buffer.from(':1}'))).toBeNull();
    expect(reader.end()).toMatchObject({ status: 200, keepAlive: false });
  });

  it('returns no response if the connection ends within the body', () => {
    const reader = new ResponseReader();
    expect(reader.push(Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{'))).toBeNull();
    expect(reader.end()).toBeNull();
  });

  it('completes a 204 response, which has no body, after its head', () => {
    const response = new ResponseReader().push(Buffer.from('HTTP/1.1 204 No Content\r\n\r\n'));
    expect([response?.status, response?.body.length, response?.keepAlive]).toEqual([204, 0, true]);
  });

  it.each(['nonsense\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n', 'x'.repeat(70_000)])(
    'rejects bytes that are not an acceptable response',
    (text) => {
      expect(() => new ResponseReader().push(Buffer.from(text))).toThrow(MalformedResponseError);
    },
  );
});
