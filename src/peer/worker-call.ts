/** The payload of `FrameKind.WorkerCall`. */
import { MalformedFrameError } from './frames.js';

/** What a worker is asked for: its heartbeat, or to carry out commands. */
export type CallVerb = 'show' | 'commands';

/** A call to a worker that is made on another controller's behalf. */
export interface WorkerCall {
  readonly verb: CallVerb;
  readonly address: string;
  readonly deadlineMs: number;
  readonly body: unknown;
}

const HEAD_BYTES = 4;
const MAX_U16 = 65_535;

/** Encodes: u8 verb, u16 deadline in ms, u8 address length, address, JSON body. */
export function encodeWorkerCall(verb: CallVerb, address: string, deadlineMs: number, body: unknown): Buffer {
  const addressBytes = Buffer.from(address, 'ascii');
  const json = body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
  const payload = Buffer.allocUnsafe(HEAD_BYTES + addressBytes.length + json.length);
  payload.writeUInt8(verb === 'show' ? 0 : 1, 0);
  payload.writeUInt16BE(Math.min(MAX_U16, Math.round(deadlineMs)), 1);
  payload.writeUInt8(addressBytes.length, 3);
  addressBytes.copy(payload, HEAD_BYTES);
  json.copy(payload, HEAD_BYTES + addressBytes.length);
  return payload;
}

/** Decodes a call. Throws `MalformedFrameError`, and `SyntaxError` where the body is no JSON. */
export function decodeWorkerCall(payload: Buffer): WorkerCall {
  if (payload.length < HEAD_BYTES) throw truncated();
  const addressEnd = HEAD_BYTES + payload.readUInt8(3);
  if (payload.length < addressEnd) throw truncated();
  const json = payload.subarray(addressEnd);
  return {
    verb: payload.readUInt8(0) === 0 ? 'show' : 'commands',
    deadlineMs: payload.readUInt16BE(1),
    address: payload.toString('ascii', HEAD_BYTES, addressEnd),
    body: json.length === 0 ? undefined : JSON.parse(json.toString('utf8')),
  };
}

function truncated(): MalformedFrameError {
  return new MalformedFrameError('truncated-payload', 'a truncated call');
}
