/** Encodes and decodes the payload of `FrameKind.UserRequest`. */
import { MalformedFrameError } from './frames.js';

/** The operation that a user requests on a job. */
export type UserVerb = 'submit' | 'query' | 'cancel';

/** A user's request that one controller forwards to another. */
export interface UserRequest {
  readonly verb: UserVerb;
  readonly body: Buffer;
}

/** The verbs by their numbers in the wire format. */
const VERBS: readonly UserVerb[] = ['submit', 'query', 'cancel'];

/** Encodes a user's request: u8 verb, body. */
export function encodeUserRequest(verb: UserVerb, body: Buffer): Buffer {
  return Buffer.concat([Buffer.from([VERBS.indexOf(verb)]), body]);
}

/** Decodes a user's request. Throws `MalformedFrameError`. */
export function decodeUserRequest(payload: Buffer): UserRequest {
  const verb = payload.length > 0 ? VERBS[payload.readUInt8(0)] : undefined;
  if (!verb) throw new MalformedFrameError('invalid-payload', 'user request has no verb or an unknown verb');
  return { verb, body: payload.subarray(1) };
}
