/**
 * Encodes messages as JSON and checks every field when decoding. The names in the schemas are the wire format: members
 * of different versions exchange them, so they must not change.
 */
import * as z from 'zod/mini';
import { type Message, MessageKind } from './messages.js';

/** A larger message is neither sent nor decoded. */
export const MAX_MESSAGE_BYTES = 64 * 1024;
const MAX_NAME_LENGTH = 200;
const MAX_ROWS = 64;

/** Why bytes could not be decoded. */
export enum DecodeErrorCode {
  Oversized = 'oversized',
  Malformed = 'malformed',
  UnknownKind = 'unknown kind',
}

/** Thrown for bytes that are not a valid message. */
export class DecodeError extends Error {
  constructor(
    readonly code: DecodeErrorCode,
    detail: string,
    options?: ErrorOptions,
  ) {
    super(`${code}: ${detail}`, options);
    this.name = 'DecodeError';
  }
}

const name = z.string().check(z.minLength(1), z.maxLength(MAX_NAME_LENGTH));
const count = z.int().check(z.nonnegative());
const age = z.number().check(z.nonnegative());
const identitySchema = z.object({ member: name, process: name, incarnation: count });
const observationSchema = z.object({
  identity: identitySchema,
  heardAgoMs: z.nullable(age),
  reachedAgoMs: z.nullable(age),
  vouchedAgoMs: z.nullable(age),
  suspectedForMs: z.nullable(age),
});
const rowSchema = z.object({
  observer: identitySchema,
  version: count,
  ageMs: age,
  leaving: z.boolean(),
  load: z.number().check(z.gte(0), z.lte(1)),
  ready: z.boolean(),
  localHealth: count,
  peers: z.array(observationSchema).check(z.maxLength(MAX_ROWS)),
});
const envelope = {
  from: identitySchema,
  sequence: count,
  aboutReceiver: z.nullable(z.object({ identity: identitySchema, suspected: z.boolean() })),
};
const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(MessageKind.Probe),
    ...envelope,
    missing: z.array(name).check(z.maxLength(MAX_ROWS)),
  }),
  z.object({
    kind: z.literal(MessageKind.Answer),
    ...envelope,
    rows: z.array(rowSchema).check(z.maxLength(MAX_ROWS)),
  }),
  z.object({ kind: z.literal(MessageKind.IndirectProbe), ...envelope, target: name }),
  z.object({
    kind: z.literal(MessageKind.IndirectAnswer),
    ...envelope,
    target: name,
    answeredBy: z.nullable(identitySchema),
  }),
]);

const KINDS = new Set<unknown>(Object.values(MessageKind));

/** Encodes a message for sending. */
export function encodeMessage(message: Message): Uint8Array {
  return Buffer.from(JSON.stringify(message), 'utf8');
}

function parseJson(payload: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength).toString('utf8'));
  } catch (cause) {
    throw new DecodeError(DecodeErrorCode.Malformed, 'not JSON', { cause });
  }
}

function kindOf(body: unknown): unknown {
  return typeof body === 'object' && body !== null ? (body as { kind?: unknown }).kind : undefined;
}

/** Decodes and checks a message. Throws only `DecodeError`. */
export function decodeMessage(payload: Uint8Array): Message {
  if (payload.byteLength > MAX_MESSAGE_BYTES) {
    throw new DecodeError(DecodeErrorCode.Oversized, `${payload.byteLength} bytes`);
  }
  const body = parseJson(payload);
  const kind = kindOf(body);
  if (typeof kind === 'string' && !KINDS.has(kind)) {
    throw new DecodeError(DecodeErrorCode.UnknownKind, JSON.stringify(kind.slice(0, MAX_NAME_LENGTH)));
  }
  const parsed = messageSchema.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new DecodeError(DecodeErrorCode.Malformed, issue ? `field ${issue.path.join('.')}` : 'invalid');
  }
  // Branded types do not exist at run time, so the schema's result lacks the brands that it has checked.
  return parsed.data as unknown as Message;
}
