/** The payload of `FrameKind.ConfirmedCancellations`, as a request, a response and a notification. */
import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import { type Epoch, isJobId } from '../model/ids.js';
import { type Millis, ms } from '../model/time.js';
import { MalformedFrameError, MAX_PAYLOAD_BYTES } from './frames.js';

/** Which cancellations a controller knows to be confirmed, and what it is as it says so. */
export interface PeerStatus {
  /** How long its process has been up: what was confirmed before that, it may not know. */
  readonly uptime: Millis;
  /** The epoch that it leads; null: it does not lead. */
  readonly leadingEpoch: Epoch | null;
  readonly cancellations: readonly ConfirmedCancellation[];
}

const HEAD_BYTES = 12;
/** Bytes per cancellation beside the job's name. */
const FIXED_BYTES = 5;
const MAX_U32 = 0xffff_ffff;

/**
 * Encodes: u32 uptime in ms, u64 epoch led (0: none); per job: u8 name length, name, u32 age in ms. Cancellations
 * that do not fit into one frame are left out.
 */
export function encodePeerStatus(status: PeerStatus): Buffer {
  const head = Buffer.allocUnsafe(HEAD_BYTES);
  head.writeUInt32BE(Math.min(MAX_U32, Math.floor(status.uptime)), 0);
  head.writeBigUInt64BE(BigInt(status.leadingEpoch ?? 0), 4);
  const parts: Buffer[] = [head];
  let size = head.length;
  for (const { id, age } of status.cancellations) {
    const part = Buffer.allocUnsafe(FIXED_BYTES + id.length);
    part.writeUInt8(id.length, 0);
    part.write(id, 1, 'ascii');
    part.writeUInt32BE(Math.min(MAX_U32, Math.max(0, Math.floor(age))), 1 + id.length);
    size += part.length;
    if (size > MAX_PAYLOAD_BYTES) break;
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** Decodes a status. Throws `MalformedFrameError`. */
export function decodePeerStatus(payload: Buffer): PeerStatus {
  if (payload.length < HEAD_BYTES) throw truncated();
  const epoch = Number(payload.readBigUInt64BE(4));
  return {
    uptime: ms(payload.readUInt32BE(0)),
    leadingEpoch: epoch === 0 ? null : (epoch as Epoch),
    cancellations: decodeCancellations(payload),
  };
}

function decodeCancellations(payload: Buffer): ConfirmedCancellation[] {
  const cancellations: ConfirmedCancellation[] = [];
  for (let offset = HEAD_BYTES; offset < payload.length;) {
    const length = payload.readUInt8(offset);
    if (offset + FIXED_BYTES + length > payload.length) throw truncated();
    const id = payload.toString('ascii', offset + 1, offset + 1 + length);
    if (!isJobId(id)) {
      throw new MalformedFrameError('invalid-payload', 'a list of cancellations with an invalid job name');
    }
    cancellations.push({ id, age: ms(payload.readUInt32BE(offset + 1 + length)) });
    offset += FIXED_BYTES + length;
  }
  return cancellations;
}

function truncated(): MalformedFrameError {
  return new MalformedFrameError('truncated-payload', 'a truncated list of cancellations');
}
