import { Agent, request } from 'node:http';

/** An answer, its JSON body parsed. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** A call that brought no answer. The other side may have carried it out, or may do so later. */
export class NoAnswer extends Error {}

/** Nothing was sent: all of our own sockets for such calls are in use. */
export class NoSocket extends NoAnswer {}

/** Makes calls with a deadline to one address. */
export interface HttpCaller {
  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<Reply>;
}

const MAX_REPLY = 64 * 1024 * 1024;

/** Keep-alive calls to one address, each with a deadline. */
export class HttpTarget implements HttpCaller {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, maxSockets: number) {
    const colon = address.lastIndexOf(':');
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, noDelay: true });
  }

  call(method: string, path: string, body: unknown, deadlineMs: number): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? null : Buffer.from(JSON.stringify(body));
      const req = request({
        host: this.host,
        port: this.port,
        method,
        path,
        agent: this.agent,
        headers: payload
          ? { 'content-type': 'application/json', 'content-length': payload.length }
          : undefined,
      });
      const timer = setTimeout(() => fail('deadline passed'), deadlineMs);
      let settled = false;
      const fail = (why: string): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        req.destroy();
        reject(new NoAnswer(why));
      };
      req.on('error', (error) => fail(error.message));
      req.on('response', (res) => {
        const parts: Buffer[] = [];
        let size = 0;
        res.on('data', (part: Buffer) => {
          size += part.length;
          if (size > MAX_REPLY) fail('answer too long');
          else parts.push(part);
        });
        res.on('error', (error) => fail(error.message));
        res.on('aborted', () => fail('connection lost'));
        res.on('end', () => {
          if (settled) return;
          settled = true;
          clearTimeout(timer);
          resolve({ status: res.statusCode ?? 0, body: parseJson(Buffer.concat(parts)) });
        });
      });
      req.end(payload ?? undefined);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}

/** Undefined for what is no JSON. */
export function parseJson(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
