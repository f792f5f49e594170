/** Encodes and decodes the payload of `FrameKind.ConfirmedCancellations` requests, responses and notifications. */
import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import { type Epoch, isJobId } from '../model/ids.js';
import { type Millis, ms } from '../model/time.js';
import { MalformedFrameError, MAX_PAYLOAD_BYTES } from './frames.js';

/** The confirmed cancellations that a controller knows, with its uptime and leadership at the time of sending. */
export interface PeerStatus {
  /** How long the sender's process has run; the sender may not know cancellations confirmed before its start. */
  readonly uptime: Millis;
  /** The epoch that the sender leads; null: the sender is not the leader. */
  readonly leadingEpoch: Epoch | null;
  readonly cancellations: readonly ConfirmedCancellation[];
}

const HEADER_BYTES = 12;
/** Encoded size of a cancellation without the job name. */
const FIXED_BYTES_PER_CANCELLATION = 5;
const MAX_U32 = 0xffff_ffff;

/**
 * Encodes a status: u32 uptime in ms, u64 leading epoch (0: not the leader); per job: u8 name length, name, u32 age in
 * ms. Cancellations that do not fit into one frame are omitted.
 */
export function encodePeerStatus(status: PeerStatus): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(Math.min(MAX_U32, Math.floor(status.uptime)), 0);
  header.writeBigUInt64BE(BigInt(status.leadingEpoch ?? 0), 4);
  const chunks: Buffer[] = [header];
  let size = header.length;
  for (const { id, age } of status.cancellations) {
    const entry = Buffer.allocUnsafe(FIXED_BYTES_PER_CANCELLATION + id.length);
    entry.writeUInt8(id.length, 0);
    entry.write(id, 1, 'ascii');
    entry.writeUInt32BE(Math.min(MAX_U32, Math.max(0, Math.floor(age))), 1 + id.length);
    size += entry.length;
    if (size > MAX_PAYLOAD_BYTES) break;
    chunks.push(entry);
  }
  return Buffer.concat(chunks);
}

/** Decodes a status. Throws `MalformedFrameError`. */
export function decodePeerStatus(payload: Buffer): PeerStatus {
  if (payload.length < HEADER_BYTES) throw truncatedPayloadError();
  const epoch = Number(payload.readBigUInt64BE(4));
  return {
    uptime: ms(payload.readUInt32BE(0)),
    leadingEpoch: epoch === 0 ? null : (epoch as Epoch),
    cancellations: decodeCancellations(payload),
  };
}

function decodeCancellations(payload: Buffer): ConfirmedCancellation[] {
  const cancellations: ConfirmedCancellation[] = [];
  for (let offset = HEADER_BYTES; offset < payload.length;) {
    const length = payload.readUInt8(offset);
    if (offset + FIXED_BYTES_PER_CANCELLATION + length > payload.length) throw truncatedPayloadError();
    const id = payload.toString('ascii', offset + 1, offset + 1 + length);
    if (!isJobId(id)) {
      throw new MalformedFrameError('invalid-payload', 'cancellations payload contains an invalid job name');
    }
    cancellations.push({ id, age: ms(payload.readUInt32BE(offset + 1 + length)) });
    offset += FIXED_BYTES_PER_CANCELLATION + length;
  }
  return cancellations;
}

function truncatedPayloadError(): MalformedFrameError {
  return new MalformedFrameError('truncated-payload', 'cancellations payload is truncated');
}
