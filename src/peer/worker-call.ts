/** Encodes and decodes the payload of `FrameKind.WorkerCall`. */
import { MalformedFrameError } from './frames.js';

/** The operation called on a worker: `show` returns the worker's heartbeat, `commands` executes commands. */
export type WorkerCallVerb = 'show' | 'commands';

/** A call to a worker that a controller makes on behalf of another controller. */
export interface WorkerCall {
  readonly verb: WorkerCallVerb;
  readonly address: string;
  readonly deadlineMs: number;
  readonly body: unknown;
}

const HEADER_BYTES = 4;
const MAX_U16 = 65_535;

/**
 * Encodes a worker call: u8 verb, u16 deadline in ms (at most 65 535), u8 address length, address, JSON body (empty if
 * undefined).
 */
export function encodeWorkerCall(
  verb: WorkerCallVerb,
  address: string,
  deadlineMs: number,
  body: unknown,
): Buffer {
  const addressBytes = Buffer.from(address, 'ascii');
  const json = body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
  const payload = Buffer.allocUnsafe(HEADER_BYTES + addressBytes.length + json.length);
  payload.writeUInt8(verb === 'show' ? 0 : 1, 0);
  payload.writeUInt16BE(Math.min(MAX_U16, Math.round(deadlineMs)), 1);
  payload.writeUInt8(addressBytes.length, 3);
  addressBytes.copy(payload, HEADER_BYTES);
  json.copy(payload, HEADER_BYTES + addressBytes.length);
  return payload;
}

/** Decodes a worker call. Throws `MalformedFrameError`, or `SyntaxError` if the body is not valid JSON. */
export function decodeWorkerCall(payload: Buffer): WorkerCall {
  if (payload.length < HEADER_BYTES) throw truncatedPayloadError();
  const addressEnd = HEADER_BYTES + payload.readUInt8(3);
  if (payload.length < addressEnd) throw truncatedPayloadError();
  const json = payload.subarray(addressEnd);
  return {
    verb: payload.readUInt8(0) === 0 ? 'show' : 'commands',
    deadlineMs: payload.readUInt16BE(1),
    address: payload.toString('ascii', HEADER_BYTES, addressEnd),
    body: json.length === 0 ? undefined : JSON.parse(json.toString('utf8')),
  };
}

function truncatedPayloadError(): MalformedFrameError {
  return new MalformedFrameError('truncated-payload', 'worker call payload is truncated');
}
