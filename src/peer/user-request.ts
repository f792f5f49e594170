/** The payload of `FrameKind.UserRequest`. */
import { MalformedFrameError } from './frames.js';

/** What a user asks for. */
export type UserVerb = 'submit' | 'query' | 'cancel';

/** A user's request that another controller forwards. */
export interface UserRequest {
  readonly verb: UserVerb;
  readonly body: Buffer;
}

/** A verb's index is its number in the format. */
const VERBS: readonly UserVerb[] = ['submit', 'query', 'cancel'];

/** Encodes: u8 verb, body. */
export function encodeUserRequest(verb: UserVerb, body: Buffer): Buffer {
  return Buffer.concat([Buffer.from([VERBS.indexOf(verb)]), body]);
}

/** Decodes a user's request. Throws `MalformedFrameError`. */
export function decodeUserRequest(payload: Buffer): UserRequest {
  const verb = payload.length > 0 ? VERBS[payload.readUInt8(0)] : undefined;
  if (!verb) throw new MalformedFrameError('invalid-payload', 'an unknown request');
  return { verb, body: payload.subarray(1) };
}
