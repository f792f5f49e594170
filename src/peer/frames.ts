/** The binary frames that controllers exchange: u32 payload length, u8 kind, u32 request id, payload. */

/** What a frame's payload is. The numbers are part of the format. */
export enum FrameKind {
  Ping = 1,
  /** A worker's heartbeat, for the leader. */
  Heartbeat = 2,
  /** The response to the request with the same id. */
  Response = 3,
  /** Task counts of unfinished jobs, from the leader. */
  Progress = 4,
  UserRequest = 5,
  /** A call to a worker, made on another controller's behalf. */
  WorkerCall = 6,
  /** A worker's heartbeat that the receiver may forward to the leader. */
  ForwardableHeartbeat = 7,
  /** A worker's heartbeat that the sender had from another controller. */
  ForwardedHeartbeat = 8,
  /** Confirmed cancellations; sent only to a peer that has shown that it has this kind (`Ping.version`). */
  ConfirmedCancellations = 9,
  /** A message of the failure detector; like `ListMembers` only for a peer whose version has it. */
  FailureDetection = 10,
  /** An operator's request for the list of controllers. */
  ListMembers = 11,
}

/** One message between two controllers. */
export interface Frame {
  readonly kind: FrameKind;
  /** Ties a response to its request; 0 where none is expected. */
  readonly requestId: number;
  readonly payload: Buffer;
}

/** Why bytes cannot be a frame, or its payload. */
export type MalformedFrameCode = 'frame-too-large' | 'unknown-kind' | 'truncated-payload' | 'invalid-payload';

/** Bytes that cannot be a frame, or its payload. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError';

  constructor(
    readonly code: MalformedFrameCode,
    message: string,
  ) {
    super(message);
  }
}

const HEADER_BYTES = 9;
/** The largest payload that a reader takes. */
export const MAX_PAYLOAD_BYTES = 1 << 20;

/** Encodes a frame, header and payload in one buffer. */
export function encodeFrame(kind: FrameKind, requestId: number, payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt8(kind, 4);
  frame.writeUInt32BE(requestId, 5);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/** Cuts a byte stream into frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /** The frames that these bytes complete. Throws `MalformedFrameError`: the connection should then be closed. */
  push(bytes: Buffer): Frame[] {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const frames: Frame[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      const length = this.pending.readUInt32BE(0);
      const kind = this.pending.readUInt8(4);
      if (length > MAX_PAYLOAD_BYTES) {
        throw new MalformedFrameError('frame-too-large', `a frame of ${length} bytes`);
      }
      if (!(kind in FrameKind)) throw new MalformedFrameError('unknown-kind', `a frame of kind ${kind}`);
      if (this.pending.length < HEADER_BYTES + length) break;
      const payload = this.pending.subarray(HEADER_BYTES, HEADER_BYTES + length);
      frames.push({ kind, requestId: this.pending.readUInt32BE(5), payload });
      this.pending = this.pending.subarray(HEADER_BYTES + length);
    }
    return frames;
  }
}

/** The response to a request frame. */
export interface PeerResponse {
  /** By the meaning of HTTP's status codes. */
  readonly status: number;
  readonly body: Buffer;
}

const STATUS_BYTES = 2;

/** Encodes a response: u16 status, body. */
export function encodeResponse(status: number, body: Buffer): Buffer {
  const payload = Buffer.allocUnsafe(STATUS_BYTES + body.length);
  payload.writeUInt16BE(status, 0);
  body.copy(payload, STATUS_BYTES);
  return payload;
}

/** Decodes a response. Throws `MalformedFrameError`. */
export function decodeResponse(payload: Buffer): PeerResponse {
  if (payload.length < STATUS_BYTES)
    throw new MalformedFrameError('truncated-payload', 'a truncated response');
  return { status: payload.readUInt16BE(0), body: payload.subarray(STATUS_BYTES) };
}
