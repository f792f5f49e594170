/** The payload of `FrameKind.Ping`. */
import type { Epoch } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';
import { MalformedFrameError } from './frames.js';

/** What a controller says of itself twice a second. */
export interface Ping {
  readonly member: string;
  readonly isStoreReachable: boolean;
  /** The epoch that the sender leads; null: it does not lead. */
  readonly leadingEpoch: Epoch | null;
  /**
   * The sender's protocol version. A reader closes the connection on a frame kind that it doesn't know, so kinds
   * above 8 go only to a peer whose pings say that it has them. Older readers leave what follows the name unread.
   */
  readonly version: number;
  /** The share of its processor time that the sender uses, between 0 and 1; a sender that does not say: 0. */
  readonly load: number;
}

/** Bytes before the name. */
const HEAD_BYTES = 10;
/** Bytes after the name: version and load. */
const TAIL_BYTES = 2;

/** Encodes: u8 store reached, u64 epoch led (0: none), u8 name length, name, u8 version, u8 load in percent. */
export function encodePing(ping: Ping): Buffer {
  const name = Buffer.from(ping.member, 'utf8');
  const payload = Buffer.allocUnsafe(HEAD_BYTES + name.length + TAIL_BYTES);
  payload.writeUInt8(ping.isStoreReachable ? 1 : 0, 0);
  payload.writeBigUInt64BE(BigInt(ping.leadingEpoch ?? 0), 1);
  payload.writeUInt8(name.length, 9);
  name.copy(payload, HEAD_BYTES);
  const nameEnd = HEAD_BYTES + name.length;
  payload.writeUInt8(ping.version, nameEnd);
  payload.writeUInt8(Math.round(ping.load * 100), nameEnd + 1);
  return payload;
}

/** Decodes a ping, of an earlier version as well. Throws `MalformedFrameError`. */
export function decodePing(payload: Buffer): Ping {
  if (payload.length < HEAD_BYTES) throw new MalformedFrameError('truncated-payload', 'a truncated ping');
  const nameEnd = HEAD_BYTES + payload.readUInt8(9);
  if (payload.length < nameEnd) throw new MalformedFrameError('truncated-payload', 'a truncated ping');
  const epoch = Number(payload.readBigUInt64BE(1));
  return {
    isStoreReachable: payload.readUInt8(0) === 1,
    leadingEpoch: epoch === 0 ? null : (epoch as Epoch),
    member: payload.toString('utf8', HEAD_BYTES, nameEnd),
    version: payload.length > nameEnd ? payload.readUInt8(nameEnd) : UNVERSIONED,
    load: payload.length > nameEnd + 1 ? payload.readUInt8(nameEnd + 1) / 100 : 0,
  };
}
