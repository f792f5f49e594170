/** Messages as JSON text, with every field checked on the way in. */
import * as z from 'zod/mini';
import { type Message, MessageKind } from './messages.js';

/** A message over this size is neither sent nor read. */
export const MAX_MESSAGE_BYTES = 64 * 1024;
const MAX_NAME = 200;
const MAX_ROWS = 64;

/** Why bytes are no message. */
export enum DecodeProblem {
  Oversized = 'oversized',
  Malformed = 'malformed',
  UnknownKind = 'unknown kind',
}

/** Bytes that are no message. */
export class DecodeError extends Error {
  constructor(
    readonly problem: DecodeProblem,
    detail: string,
  ) {
    super(`${problem}: ${detail}`);
    this.name = 'DecodeError';
  }
}

const name = z.string().check(z.minLength(1), z.maxLength(MAX_NAME));
const count = z.int().check(z.nonnegative());
const age = z.number().check(z.nonnegative());
const identity = z.object({ member: name, process: name, incarnation: count });
const observation = z.object({
  identity,
  heardAgoMs: z.nullable(age),
  reachedAgoMs: z.nullable(age),
  vouchedAgoMs: z.nullable(age),
  suspectedForMs: z.nullable(age),
});
const row = z.object({
  observer: identity,
  version: count,
  ageMs: age,
  leaving: z.boolean(),
  load: z.number().check(z.gte(0), z.lte(1)),
  ready: z.boolean(),
  localHealth: count,
  peers: z.array(observation).check(z.maxLength(MAX_ROWS)),
});
const envelope = {
  from: identity,
  sequence: count,
  aboutReceiver: z.nullable(z.object({ identity, suspected: z.boolean() })),
};
const message = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(MessageKind.Probe),
    ...envelope,
    missing: z.array(name).check(z.maxLength(MAX_ROWS)),
  }),
  z.object({
    kind: z.literal(MessageKind.Answer),
    ...envelope,
    rows: z.array(row).check(z.maxLength(MAX_ROWS)),
  }),
  z.object({ kind: z.literal(MessageKind.IndirectProbe), ...envelope, target: name }),
  z.object({
    kind: z.literal(MessageKind.IndirectAnswer),
    ...envelope,
    target: name,
    answeredBy: z.nullable(identity),
  }),
]);

const KINDS = new Set<unknown>(Object.values(MessageKind));

/** The message as it is sent. */
export function encodeMessage(content: Message): Uint8Array {
  return Buffer.from(JSON.stringify(content), 'utf8');
}

function parseJson(payload: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength).toString('utf8'));
  } catch {
    throw new DecodeError(DecodeProblem.Malformed, 'not JSON');
  }
}

function kindOf(body: unknown): unknown {
  return typeof body === 'object' && body !== null ? (body as { kind?: unknown }).kind : undefined;
}

/** Throws `DecodeError`, and nothing else. */
export function decodeMessage(payload: Uint8Array): Message {
  if (payload.byteLength > MAX_MESSAGE_BYTES) {
    throw new DecodeError(DecodeProblem.Oversized, `${payload.byteLength} bytes`);
  }
  const body = parseJson(payload);
  const kind = kindOf(body);
  if (typeof kind === 'string' && !KINDS.has(kind)) {
    throw new DecodeError(DecodeProblem.UnknownKind, JSON.stringify(kind.slice(0, MAX_NAME)));
  }
  const read = message.safeParse(body);
  if (!read.success) {
    const issue = read.error.issues[0];
    throw new DecodeError(DecodeProblem.Malformed, issue ? `field ${issue.path.join('.')}` : 'invalid');
  }
  // The schema checks what the small types stand for; they have no form of their own at run time.
  return read.data as unknown as Message;
}
