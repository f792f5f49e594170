/** The binary frames that controllers exchange: u32 payload length, u8 kind, u32 request id, payload. */

/** The kind of a frame, which determines the format of its payload. The numbers are part of the wire format. */
export enum FrameKind {
  Ping = 1,
  /** A worker's heartbeat that is addressed to the receiver as the leader. */
  Heartbeat = 2,
  /** The response to the request with the same id. */
  Response = 3,
  /** Task counts of unfinished jobs, sent by the leader. */
  Progress = 4,
  UserRequest = 5,
  /** A request to call a worker on the sender's behalf. */
  WorkerCall = 6,
  /** A worker's heartbeat that the receiver may forward to the leader. */
  ForwardableHeartbeat = 7,
  /** A worker's heartbeat that the sender received from another controller. */
  ForwardedHeartbeat = 8,
  /**
   * Confirmed cancellations; sent only to a peer whose announced protocol version supports this kind (`Ping.version`).
   */
  ConfirmedCancellations = 9,
  /** A message of the failure detector; sent only to a peer whose announced protocol version supports this kind. */
  FailureDetection = 10,
  /**
   * An operator's request for the list of controllers; controllers of an earlier protocol version do not know this
   * kind.
   */
  ListMembers = 11,
}

/** A message between two controllers. */
export interface Frame {
  readonly kind: FrameKind;
  /** Correlates a response with its request; 0 if no response is expected. */
  readonly requestId: number;
  readonly payload: Buffer;
}

/** Why bytes are not a valid frame or frame payload. */
export type MalformedFrameCode = 'frame-too-large' | 'unknown-kind' | 'truncated-payload' | 'invalid-payload';

/** Thrown for bytes that are not a valid frame or frame payload. */
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
/** The largest frame payload that a reader accepts. */
export const MAX_PAYLOAD_BYTES = 1 << 20;

/** Encodes a frame's header and payload into one buffer. */
export function encodeFrame(kind: FrameKind, requestId: number, payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt8(kind, 4);
  frame.writeUInt32BE(requestId, 5);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/** Splits a byte stream into frames. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Appends bytes to the stream and returns the frames that are now complete. Throws `MalformedFrameError` for an
   * invalid frame; the caller should then close the connection, since the stream cannot be resynchronized.
   */
  push(bytes: Buffer): Frame[] {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const frames: Frame[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      const length = this.pending.readUInt32BE(0);
      const kind = this.pending.readUInt8(4);
      if (length > MAX_PAYLOAD_BYTES) {
        throw new MalformedFrameError(
          'frame-too-large',
          `frame payload of ${length} bytes exceeds the limit of 1 MiB`,
        );
      }
      if (!(kind in FrameKind)) throw new MalformedFrameError('unknown-kind', `unknown frame kind ${kind}`);
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
  /** An HTTP status code, with its usual meaning. */
  readonly status: number;
  readonly body: Buffer;
}

const STATUS_BYTES = 2;

/** Encodes the payload of a response frame: u16 status, body. */
export function encodeResponse(status: number, body: Buffer): Buffer {
  const payload = Buffer.allocUnsafe(STATUS_BYTES + body.length);
  payload.writeUInt16BE(status, 0);
  body.copy(payload, STATUS_BYTES);
  return payload;
}

/** Decodes the payload of a response frame. Throws `MalformedFrameError`. */
export function decodeResponse(payload: Buffer): PeerResponse {
  if (payload.length < STATUS_BYTES)
    throw new MalformedFrameError('truncated-payload', 'response payload is shorter than its status field');
  return { status: payload.readUInt16BE(0), body: payload.subarray(STATUS_BYTES) };
}
