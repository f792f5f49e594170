/** Reads HTTP/1.1 answers from a stream of bytes. */

/** Bytes that are no HTTP answer, or one that is too long. */
export class MalformedResponseError extends Error {}

/** An answer, complete. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
  /** Whether another request may follow on the same connection. */
  readonly keepAlive: boolean;
}

const MAX_HEAD = 64 * 1024;
const MAX_BODY = 64 * 1024 * 1024;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const STATUS_LINE = /^HTTP\/1\.(\d) (\d{3})/;
const CHUNK_SIZE = /^[0-9a-f]+/i;
/** Answers that have no body, whatever their headers say. */
const BODILESS = new Set([204, 304]);

/** How the end of a body is known. */
type Framing =
  | { readonly kind: 'length'; readonly length: number }
  | { readonly kind: 'chunked' }
  /** It ends with the connection. */
  | { readonly kind: 'close' };

interface Head {
  readonly status: number;
  readonly keepAlive: boolean;
  readonly framing: Framing;
}

function readHead(text: string): Head {
  const [statusLine = '', ...lines] = text.split(LINE_END);
  const found = STATUS_LINE.exec(statusLine);
  if (!found) throw new MalformedResponseError('not an HTTP answer');
  const status = Number(found[2]);
  let keepAlive = found[1] === '1';
  let framing: Framing = { kind: 'close' };
  for (const line of lines) {
    const colon = line.indexOf(':');
    const value = line.slice(colon + 1).trim();
    switch (line.slice(0, colon).toLowerCase()) {
      case 'content-length':
        if (framing.kind === 'close') framing = { kind: 'length', length: lengthOf(value) };
        break;
      case 'transfer-encoding':
        framing = { kind: 'chunked' };
        break;
      case 'connection':
        keepAlive = value.toLowerCase() === 'keep-alive' || (keepAlive && value.toLowerCase() !== 'close');
        break;
    }
  }
  if (BODILESS.has(status)) framing = { kind: 'length', length: 0 };
  return { status, framing, keepAlive: keepAlive && framing.kind !== 'close' };
}

function lengthOf(value: string): number {
  const length = Number(value);
  if (!Number.isSafeInteger(length) || length < 0 || length > MAX_BODY)
    throw new MalformedResponseError('answer too long');
  return length;
}

/** One answer at a time. */
export class ResponseReader {
  private rest: Buffer = Buffer.alloc(0);
  private head: Head | null = null;
  private parts: Buffer[] = [];
  private size = 0;

  /** The answer, once these bytes complete it. Throws `BadResponse`; the connection is then of no further use. */
  push(bytes: Buffer): HttpResponse | null {
    this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    while (!this.head) if (!this.takeHead()) return null;
    return this.takeBody(this.head) ? this.finish(this.head) : null;
  }

  /** The connection has ended. Null: in the middle of an answer. */
  end(): HttpResponse | null {
    return this.head?.framing.kind === 'close' ? this.finish(this.head) : null;
  }

  private takeHead(): boolean {
    const end = this.rest.indexOf(HEAD_END);
    if (end < 0) {
      if (this.rest.length > MAX_HEAD) throw new MalformedResponseError('head too long');
      return false;
    }
    const head = readHead(this.rest.toString('latin1', 0, end));
    this.rest = this.rest.subarray(end + HEAD_END.length);
    // What comes before the answer proper (1xx) is passed over.
    if (head.status >= 200) this.head = head;
    return true;
  }

  /** Whether the body is complete. */
  private takeBody({ framing }: Head): boolean {
    switch (framing.kind) {
      case 'length':
        this.keep(Math.min(this.rest.length, framing.length - this.size));
        return this.size === framing.length;
      case 'chunked':
        return this.takeChunks();
      case 'close':
        this.keep(this.rest.length);
        return false;
    }
  }

  private takeChunks(): boolean {
    for (;;) {
      const lineEnd = this.rest.indexOf(LINE_END);
      if (lineEnd < 0) return false;
      const size = CHUNK_SIZE.exec(this.rest.toString('latin1', 0, lineEnd));
      if (!size) throw new MalformedResponseError('a chunk without a size');
      const start = lineEnd + LINE_END.length;
      const length = lengthOf(`0x${size[0]}`);
      if (length === 0) return this.takeTrailer(lineEnd);
      if (this.rest.length < start + length + LINE_END.length) return false;
      this.rest = this.rest.subarray(start);
      this.keep(length);
      this.rest = this.rest.subarray(LINE_END.length);
    }
  }

  /** After the last chunk come further headers, mostly none, and an empty line. */
  private takeTrailer(lineEnd: number): boolean {
    const end = this.rest.indexOf(HEAD_END, lineEnd);
    if (end < 0) return false;
    this.rest = this.rest.subarray(end + HEAD_END.length);
    return true;
  }

  private keep(length: number): void {
    if (length === 0) return;
    this.parts.push(this.rest.subarray(0, length));
    this.rest = this.rest.subarray(length);
    this.size += length;
    if (this.size > MAX_BODY) throw new MalformedResponseError('answer too long');
  }

  private finish({ status, keepAlive }: Head): HttpResponse {
    const body = this.parts.length === 1 ? (this.parts[0] as Buffer) : Buffer.concat(this.parts);
    // Bytes beyond the answer belong to nothing that was asked.
    const clean = this.rest.length === 0;
    this.rest = Buffer.alloc(0);
    this.head = null;
    this.parts = [];
    this.size = 0;
    return { status, body, keepAlive: keepAlive && clean };
  }
}
