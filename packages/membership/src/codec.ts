/**
 * Encodes messages as JSON, and validates every field when decoding. The field names in the schemas are the wire
 * format: members of different versions exchange messages, so the names must not change.
 */
import * as z from 'zod/mini';
import { type Message, MessageKind } from './messages.js';

/** The maximum size of a message that is decoded; an answer above this size is reduced to the sender's own row. */
export const MAX_MESSAGE_BYTES = 64 * 1024;
const MAX_NAME_LENGTH = 200;
/** The maximum number of rows and of missing members in a message, and of peers in a row. */
const MAX_ROW_COUNT = 64;

/** Why a message could not be decoded. */
export enum DecodeErrorCode {
  Oversized = 'oversized',
  Malformed = 'malformed',
  UnknownKind = 'unknown kind',
}

/** Thrown if bytes are not a valid message. */
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

const nameSchema = z.string().check(z.minLength(1), z.maxLength(MAX_NAME_LENGTH));
const countSchema = z.int().check(z.nonnegative());
const ageSchema = z.number().check(z.nonnegative());
const identitySchema = z.object({ member: nameSchema, process: nameSchema, incarnation: countSchema });
const observationSchema = z.object({
  identity: identitySchema,
  heardAgoMs: z.nullable(ageSchema),
  reachedAgoMs: z.nullable(ageSchema),
  vouchedAgoMs: z.nullable(ageSchema),
  suspectedForMs: z.nullable(ageSchema),
});
const rowSchema = z.object({
  observer: identitySchema,
  version: countSchema,
  ageMs: ageSchema,
  leaving: z.boolean(),
  load: z.number().check(z.gte(0), z.lte(1)),
  ready: z.boolean(),
  localHealth: countSchema,
  peers: z.array(observationSchema).check(z.maxLength(MAX_ROW_COUNT)),
});
const envelope = {
  from: identitySchema,
  sequence: countSchema,
  aboutReceiver: z.nullable(z.object({ identity: identitySchema, suspected: z.boolean() })),
};
const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(MessageKind.Probe),
    ...envelope,
    missing: z.array(nameSchema).check(z.maxLength(MAX_ROW_COUNT)),
  }),
  z.object({
    kind: z.literal(MessageKind.Answer),
    ...envelope,
    rows: z.array(rowSchema).check(z.maxLength(MAX_ROW_COUNT)),
  }),
  z.object({ kind: z.literal(MessageKind.IndirectProbe), ...envelope, target: nameSchema }),
  z.object({
    kind: z.literal(MessageKind.IndirectAnswer),
    ...envelope,
    target: nameSchema,
    answeredBy: z.nullable(identitySchema),
  }),
]);

const KINDS = new Set<unknown>(Object.values(MessageKind));

/** Encodes a message as UTF-8 JSON. */
export function encodeMessage(message: Message): Uint8Array {
  return Buffer.from(JSON.stringify(message), 'utf8');
}

function parseJson(payload: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength).toString('utf8'));
  } catch (cause) {
    throw new DecodeError(DecodeErrorCode.Malformed, 'message is not valid JSON', { cause });
  }
}

function kindOf(body: unknown): unknown {
  return typeof body === 'object' && body !== null ? (body as { kind?: unknown }).kind : undefined;
}

/** Decodes and validates a message. Throws only `DecodeError`. */
export function decodeMessage(payload: Uint8Array): Message {
  if (payload.byteLength > MAX_MESSAGE_BYTES) {
    throw new DecodeError(
      DecodeErrorCode.Oversized,
      `message of ${payload.byteLength} bytes exceeds the limit of 64 KiB`,
    );
  }
  const body = parseJson(payload);
  const kind = kindOf(body);
  if (typeof kind === 'string' && !KINDS.has(kind)) {
    throw new DecodeError(DecodeErrorCode.UnknownKind, JSON.stringify(kind.slice(0, MAX_NAME_LENGTH)));
  }
  const parsed = messageSchema.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new DecodeError(
      DecodeErrorCode.Malformed,
      issue ? `invalid field ${issue.path.join('.')}` : 'message does not match the schema',
    );
  }
  // Branded types exist only at compile time, so the parsed result has plain types and must be cast.
  return parsed.data as unknown as Message;
}
