/** Parses HTTP/1.1 responses from a byte stream. */

/** The reason why a response is rejected. */
export type MalformedResponseCode = 'not-http' | 'head-too-large' | 'body-too-large' | 'invalid-chunk';

/** Thrown for bytes that are not an HTTP response, or for a response above the size limits. */
export class MalformedResponseError extends Error {
  override readonly name = 'MalformedResponseError';

  constructor(
    readonly code: MalformedResponseCode,
    message: string,
  ) {
    super(message);
  }
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
  /** Whether the connection can be reused for another request. */
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

/** How the end of a response body is determined. */
type Framing =
  | { readonly kind: 'length'; readonly length: number }
  | { readonly kind: 'chunked' }
  /** The body ends when the server closes the connection. */
  | { readonly kind: 'close' };

interface Head {
  readonly status: number;
  readonly keepAlive: boolean;
  readonly framing: Framing;
}

function parseHead(text: string): Head {
  const [statusLine = '', ...lines] = text.split(LINE_END);
  const match = STATUS_LINE.exec(statusLine);
  if (!match)
    throw new MalformedResponseError('not-http', 'response does not start with an HTTP/1.x status line');
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
    throw new MalformedResponseError('body-too-large', 'response body length is invalid or exceeds 64 MiB');
  return length;
}

/** Parses the consecutive responses of one connection. */
export class ResponseReader {
  private unread: Buffer = Buffer.alloc(0);
  private head: Head | null = null;
  private bodyChunks: Buffer[] = [];
  private bodySize = 0;

  /**
   * Adds received bytes and returns the response if the bytes complete a response; null: the response is incomplete.
   * Throws `MalformedResponseError`; the caller must then close the connection.
   */
  push(bytes: Buffer): HttpResponse | null {
    this.unread = this.unread.length === 0 ? bytes : Buffer.concat([this.unread, bytes]);
    while (!this.head) {
      if (!this.readHead()) return null;
    }
    return this.readBody(this.head) ? this.finish(this.head) : null;
  }

  /**
   * Handles the end of the connection: returns the response that ends with the connection; null: none, or incomplete.
   */
  end(): HttpResponse | null {
    return this.head?.framing.kind === 'close' ? this.finish(this.head) : null;
  }

  /** Parses the response head; false: the head is incomplete. */
  private readHead(): boolean {
    const end = this.unread.indexOf(HEAD_END);
    if (end < 0) {
      if (this.unread.length > MAX_HEAD_BYTES)
        throw new MalformedResponseError('head-too-large', 'response head exceeds 64 KiB');
      return false;
    }
    const head = parseHead(this.unread.toString('latin1', 0, end));
    this.unread = this.unread.subarray(end + HEAD_END.length);
    // Informational responses (1xx) precede the final response and are skipped.
    if (head.status >= FIRST_FINAL_STATUS) this.head = head;
    return true;
  }

  /** Reads the available part of the body; false: the body is incomplete. */
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
      const sizeMatch = CHUNK_SIZE.exec(this.unread.toString('latin1', 0, lineEnd));
      if (!sizeMatch)
        throw new MalformedResponseError('invalid-chunk', 'chunk header has no hexadecimal chunk size');
      const start = lineEnd + LINE_END.length;
      const length = parseLength(`0x${sizeMatch[0]}`);
      if (length === 0) return this.readTrailer(lineEnd);
      if (this.unread.length < start + length + LINE_END.length) return false;
      this.unread = this.unread.subarray(start);
      this.appendToBody(length);
      this.unread = this.unread.subarray(LINE_END.length);
    }
  }

  /**
   * Skips the trailer after the last chunk (optional header fields and an empty line); false: the trailer is
   * incomplete.
   */
  private readTrailer(lineEnd: number): boolean {
    const end = this.unread.indexOf(HEAD_END, lineEnd);
    if (end < 0) return false;
    this.unread = this.unread.subarray(end + HEAD_END.length);
    return true;
  }

  private appendToBody(length: number): void {
    if (length === 0) return;
    this.bodyChunks.push(this.unread.subarray(0, length));
    this.unread = this.unread.subarray(length);
    this.bodySize += length;
    if (this.bodySize > MAX_BODY_BYTES)
      throw new MalformedResponseError('body-too-large', 'response body exceeds 64 MiB');
  }

  private finish({ status, keepAlive }: Head): HttpResponse {
    const body =
      this.bodyChunks.length === 1 ? (this.bodyChunks[0] as Buffer) : Buffer.concat(this.bodyChunks);
    // Bytes after the response belong to no request, so the connection is not reused.
    const isClean = this.unread.length === 0;
    this.unread = Buffer.alloc(0);
    this.head = null;
    this.bodyChunks = [];
    this.bodySize = 0;
    return { status, body, keepAlive: keepAlive && isClean };
  }
}
