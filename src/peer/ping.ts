/** Encodes and decodes the payload of `FrameKind.Ping`. */
import type { Epoch } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';
import { MalformedFrameError } from './frames.js';

/** The status that a controller sends to its peers twice a second. */
export interface Ping {
  readonly member: string;
  readonly isStoreReachable: boolean;
  /** The epoch that the sender leads; null: the sender is not the leader. */
  readonly leadingEpoch: Epoch | null;
  /**
   * The sender's protocol version. A receiver closes the connection on an unknown frame kind, so a controller sends
   * kinds above 8 only to a peer whose pings announce a version that supports them. Receivers of an earlier version
   * ignore the bytes after the name.
   */
  readonly version: number;
  /** The sender's processor utilization, between 0 and 1; 0 if the sender does not report its load. */
  readonly load: number;
}

/** Size of the fields before the member name. */
const HEADER_BYTES = 10;
/** Size of the fields after the member name: version and load. */
const TRAILER_BYTES = 2;

/**
 * Encodes a ping: u8 store reachable, u64 leading epoch (0: not the leader), u8 name length, name, u8 version, u8 load
 * in percent.
 */
export function encodePing(ping: Ping): Buffer {
  const name = Buffer.from(ping.member, 'utf8');
  const payload = Buffer.allocUnsafe(HEADER_BYTES + name.length + TRAILER_BYTES);
  payload.writeUInt8(ping.isStoreReachable ? 1 : 0, 0);
  payload.writeBigUInt64BE(BigInt(ping.leadingEpoch ?? 0), 1);
  payload.writeUInt8(name.length, 9);
  name.copy(payload, HEADER_BYTES);
  const nameEnd = HEADER_BYTES + name.length;
  payload.writeUInt8(ping.version, nameEnd);
  payload.writeUInt8(Math.round(ping.load * 100), nameEnd + 1);
  return payload;
}

/** Decodes a ping, including pings of earlier versions without version or load. Throws `MalformedFrameError`. */
export function decodePing(payload: Buffer): Ping {
  if (payload.length < HEADER_BYTES)
    throw new MalformedFrameError('truncated-payload', 'ping payload is shorter than its fixed fields');
  const nameEnd = HEADER_BYTES + payload.readUInt8(9);
  if (payload.length < nameEnd)
    throw new MalformedFrameError('truncated-payload', 'ping payload ends within the member name');
  const epoch = Number(payload.readBigUInt64BE(1));
  return {
    isStoreReachable: payload.readUInt8(0) === 1,
    leadingEpoch: epoch === 0 ? null : (epoch as Epoch),
    member: payload.toString('utf8', HEADER_BYTES, nameEnd),
    version: payload.length > nameEnd ? payload.readUInt8(nameEnd) : UNVERSIONED,
    load: payload.length > nameEnd + 1 ? payload.readUInt8(nameEnd + 1) / 100 : 0,
  };
}
