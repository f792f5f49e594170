/** Decodes messages of peers, and counts messages that cannot be decoded. */
import { decodeMessage, DecodeError, DecodeErrorCode } from './codec.js';
import type { Message } from './messages.js';
import { type RejectedMessages, RejectReason } from './rejected-messages.js';

const REJECT_REASONS: Readonly<Record<DecodeErrorCode, RejectReason>> = {
  [DecodeErrorCode.Malformed]: RejectReason.Malformed,
  [DecodeErrorCode.Oversized]: RejectReason.Oversized,
  [DecodeErrorCode.UnknownKind]: RejectReason.UnknownKind,
};

/** Decodes a message. A message that cannot be decoded is counted as rejected, and null is returned. */
export function readMessage(rejectedMessages: RejectedMessages, payload: Uint8Array): Message | null {
  try {
    return decodeMessage(payload);
  } catch (error) {
    if (!(error instanceof DecodeError)) throw error;
    rejectedMessages.record(REJECT_REASONS[error.code], error.message);
    return null;
  }
}
