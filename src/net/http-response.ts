/** Reads HTTP/1.1 responses from a stream of bytes. */

/** Why bytes cannot be a response that is accepted. */
export type MalformedResponseCode = 'not-http' | 'head-too-large' | 'body-too-large' | 'invalid-chunk';

/** Bytes that are no HTTP response, or one that is too large. */
export class MalformedResponseError extends Error {
  override readonly name = 'MalformedResponseError';

  constructor(
    readonly code: MalformedResponseCode,
    message: string,
  ) {
    super(message);
  }
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
  /** Whether another request may follow on the same connection. */
  readonly keepAlive: boolean;
}

const MAX_HEAD_BYTES = 64 * 1024;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const FIRST_FINAL_STATUS = 200;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const STATUS_LINE = /^HTTP\/1\.(\d) (\d{3})/;
const CHUNK_SIZE = /^[0-9a-f]+/i;
/** Status codes of responses that have no body, whatever their headers say. */
const BODILESS_STATUSES = new Set([204, 304]);

/** What marks the end of a body. */
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

function parseHead(text: string): Head {
  const [statusLine = '', ...lines] = text.split(LINE_END);
  const match = STATUS_LINE.exec(statusLine);
  if (!match) throw new MalformedResponseError('not-http', 'not an HTTP response');
  const status = Number(match[2]);
  let keepAlive = match[1] === '1';
  let framing: Framing = { kind: 'close' };
  for (const line of lines) {
    const colon = line.indexOf(':');
    const value = line.slice(colon + 1).trim();
    switch (line.slice(0, colon).toLowerCase()) {
      case 'content-length':
        if (framing.kind === 'close') framing = { kind: 'length', length: parseLength(value) };
        break;
      case 'transfer-encoding':
        framing = { kind: 'chunked' };
        break;
      case 'connection':
        keepAlive = value.toLowerCase() === 'keep-alive' || (keepAlive && value.toLowerCase() !== 'close');
        break;
    }
  }
  if (BODILESS_STATUSES.has(status)) framing = { kind: 'length', length: 0 };
  return { status, framing, keepAlive: keepAlive && framing.kind !== 'close' };
}

function parseLength(value: string): number {
  const length = Number(value);
  if (!Number.isSafeInteger(length) || length < 0 || length > MAX_BODY_BYTES)
    throw new MalformedResponseError('body-too-large', 'response too large');
  return length;
}

/** Reads the responses of one connection, one after the other. */
export class ResponseReader {
  private unread: Buffer = Buffer.alloc(0);
  private head: Head | null = null;
  private bodyParts: Buffer[] = [];
  private bodySize = 0;

  /**
   * The response, once these bytes complete it; null: it is incomplete. Throws `MalformedResponseError`; the connection
   * is then of no further use.
   */
  push(bytes: Buffer): HttpResponse | null {
    this.unread = this.unread.length === 0 ? bytes : Buffer.concat([this.unread, bytes]);
    while (!this.head) {
      if (!this.readHead()) return null;
    }
    return this.readBody(this.head) ? this.finish(this.head) : null;
  }

  /** The connection has ended: the response that this completes; null: it is incomplete. */
  end(): HttpResponse | null {
    return this.head?.framing.kind === 'close' ? this.finish(this.head) : null;
  }

  /** Whether the head is complete. */
  private readHead(): boolean {
    const end = this.unread.indexOf(HEAD_END);
    if (end < 0) {
      if (this.unread.length > MAX_HEAD_BYTES)
        throw new MalformedResponseError('head-too-large', 'response head too large');
      return false;
    }
    const head = parseHead(this.unread.toString('latin1', 0, end));
    this.unread = this.unread.subarray(end + HEAD_END.length);
    // Informational responses (1xx) come before the final one, and are skipped.
    if (head.status >= FIRST_FINAL_STATUS) this.head = head;
    return true;
  }

  /** Whether the body is complete. */
  private readBody({ framing }: Head): boolean {
    switch (framing.kind) {
      case 'length':
        this.appendToBody(Math.min(this.unread.length, framing.length - this.bodySize));
        return this.bodySize === framing.length;
      case 'chunked':
        return this.readChunks();
      case 'close':
        this.appendToBody(this.unread.length);
        return false;
    }
  }

  private readChunks(): boolean {
    for (;;) {
      const lineEnd = this.unread.indexOf(LINE_END);
      if (lineEnd < 0) return false;
      const size = CHUNK_SIZE.exec(this.unread.toString('latin1', 0, lineEnd));
      if (!size) throw new MalformedResponseError('invalid-chunk', 'a chunk without a size');
      const start = lineEnd + LINE_END.length;
      const length = parseLength(`0x${size[0]}`);
      if (length === 0) return this.readTrailer(lineEnd);
      if (this.unread.length < start + length + LINE_END.length) return false;
      this.unread = this.unread.subarray(start);
      this.appendToBody(length);
      this.unread = this.unread.subarray(LINE_END.length);
    }
  }

  /** Whether the trailer is complete: after the last chunk come further headers, mostly none, and an empty line. */
  private readTrailer(lineEnd: number): boolean {
    const end = this.unread.indexOf(HEAD_END, lineEnd);
    if (end < 0) return false;
    this.unread = this.unread.subarray(end + HEAD_END.length);
    return true;
  }

  private appendToBody(length: number): void {
    if (length === 0) return;
    this.bodyParts.push(this.unread.subarray(0, length));
    this.unread = this.unread.subarray(length);
    this.bodySize += length;
    if (this.bodySize > MAX_BODY_BYTES)
      throw new MalformedResponseError('body-too-large', 'response too large');
  }

  private finish({ status, keepAlive }: Head): HttpResponse {
    const body = this.bodyParts.length === 1 ? (this.bodyParts[0] as Buffer) : Buffer.concat(this.bodyParts);
    // Bytes beyond the response answer no request: the connection cannot be trusted further.
    const isClean = this.unread.length === 0;
    this.unread = Buffer.alloc(0);
    this.head = null;
    this.bodyParts = [];
    this.bodySize = 0;
    return { status, body, keepAlive: keepAlive && isClean };
  }
}
