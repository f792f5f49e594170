import type { ConfirmedCancellation } from '../model/confirmed-cancellation.js';
import { type Epoch, isJobId, type JobId } from '../model/ids.js';
import { UNVERSIONED } from '../model/protocol.js';
import { type Millis, ms } from '../model/time.js';

/** The binary frames that our own processes exchange: u32 length, u8 kind, u32 request, payload. */
export enum FrameKind {
  Ping = 1,
  Heartbeat = 2,
  Answer = 3,
  Progress = 4,
  User = 5,
  /** A call to a worker, made on another controller's behalf. */
  Call = 6,
  /** A worker's report that its taker may pass on to the leader. */
  PassOn = 7,
  /** A report that its taker had from another controller. */
  Passed = 8,
  /** Confirmed cancellations; sent only to a peer that has shown that it knows this kind (`Ping.version`). */
  Cancelled = 9,
  /** A message of the failure detector; like `Members` only for a peer whose version has it. */
  Membership = 10,
  /** An operator's question for the list of controllers. */
  Members = 11,
}

/** One message between two controllers. */
export interface Frame {
  readonly kind: FrameKind;
  /** Ties an answer to what was asked; 0 where nothing is. */
  readonly request: number;
  readonly payload: Buffer;
}

const HEADER = 9;
const MOST_U32 = 0xffff_ffff;
const MAX_PAYLOAD = 1 << 20;

/** Bytes that cannot be a frame. */
export class MalformedFrameError extends Error {}

/** Header and payload in one buffer. */
export function encodeFrame(kind: FrameKind, request: number, payload: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt8(kind, 4);
  frame.writeUInt32BE(request, 5);
  payload.copy(frame, HEADER);
  return frame;
}

/** Cuts a byte stream into frames. Throws on what cannot be one: the connection is then closed. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  push(bytes: Buffer): Frame[] {
    this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const frames: Frame[] = [];
    while (this.rest.length >= HEADER) {
      const length = this.rest.readUInt32BE(0);
      const kind = this.rest.readUInt8(4);
      if (length > MAX_PAYLOAD) throw new MalformedFrameError(`a frame of ${length} bytes`);
      if (!(kind in FrameKind)) throw new MalformedFrameError(`a frame of kind ${kind}`);
      if (this.rest.length < HEADER + length) break;
      const payload = this.rest.subarray(HEADER, HEADER + length);
      frames.push({ kind, request: this.rest.readUInt32BE(5), payload });
      this.rest = this.rest.subarray(HEADER + length);
    }
    return frames;
  }
}

/** Bytes of a ping beside the name. */
const PING_FIXED = 12;

/** What a controller says of itself twice a second. */
export interface Ping {
  readonly member: string;
  readonly isStoreReachable: boolean;
  readonly leadingEpoch: Epoch | null;
  /**
   * The sender's protocol version. A reader closes the connection on a kind that it doesn't know, so kinds
   * above 8 go only to a peer whose pings say that it has them. Older readers leave what follows the name unread.
   */
  readonly version: number;
  /** The share of its processor time that the sender uses, between 0 and 1; a sender that does not say: 0. */
  readonly load: number;
}

/** u8 state service reached, u64 epoch led (0: none), u8 name length, name, u8 version, u8 load in percent. */
export function encodePing(ping: Ping): Buffer {
  const name = Buffer.from(ping.member, 'utf8');
  const out = Buffer.allocUnsafe(PING_FIXED + name.length);
  out.writeUInt8(ping.isStoreReachable ? 1 : 0, 0);
  out.writeBigUInt64BE(BigInt(ping.leadingEpoch ?? 0), 1);
  out.writeUInt8(name.length, 9);
  name.copy(out, 10);
  out.writeUInt8(ping.version, 10 + name.length);
  out.writeUInt8(Math.round(ping.load * 100), 11 + name.length);
  return out;
}

/** Throws `BadFrame`. */
export function decodePing(payload: Buffer): Ping {
  if (payload.length < 10) throw new MalformedFrameError('a short ping');
  const length = payload.readUInt8(9);
  if (payload.length < 10 + length) throw new MalformedFrameError('a short ping');
  const epoch = Number(payload.readBigUInt64BE(1));
  return {
    isStoreReachable: payload.readUInt8(0) === 1,
    leadingEpoch: epoch === 0 ? null : (epoch as Epoch),
    member: payload.toString('utf8', 10, 10 + length),
    version: payload.length > 10 + length ? payload.readUInt8(10 + length) : UNVERSIONED,
    load: payload.length > 11 + length ? payload.readUInt8(11 + length) / 100 : 0,
  };
}

/** An answer to a frame that asked something. */
export interface AnswerFrame {
  readonly status: number;
  readonly body: Buffer;
}

/** u16 status, body. */
export function encodeAnswer(status: number, body: Buffer): Buffer {
  const out = Buffer.allocUnsafe(2 + body.length);
  out.writeUInt16BE(status, 0);
  body.copy(out, 2);
  return out;
}

/** Throws `BadFrame`. */
export function decodeAnswer(payload: Buffer): AnswerFrame {
  if (payload.length < 2) throw new MalformedFrameError('a short answer');
  return { status: payload.readUInt16BE(0), body: payload.subarray(2) };
}

/** What a user asks for. */
export type UserVerb = 'submit' | 'query' | 'cancel';
const VERBS: readonly UserVerb[] = ['submit', 'query', 'cancel'];

/** u8 verb, body. */
export function encodeUser(verb: UserVerb, body: Buffer): Buffer {
  return Buffer.concat([Buffer.from([VERBS.indexOf(verb)]), body]);
}

/** Throws `BadFrame`. */
export function decodeUser(payload: Buffer): { verb: UserVerb; body: Buffer } {
  const verb = VERBS[payload.length > 0 ? payload.readUInt8(0) : 255];
  if (!verb) throw new MalformedFrameError('an unknown request');
  return { verb, body: payload.subarray(1) };
}

/** Task counts of one job, for display. */
export interface JobProgress {
  readonly id: JobId;
  readonly done: number;
  readonly running: number;
}

/** Bytes beside a job's name. */
const PROGRESS_FIXED = 9;

/** Per job: u8 name length, name, u32 done, u32 running. A list too long for one frame is several payloads. */
export function encodeProgress(jobs: readonly JobProgress[], most = MAX_PAYLOAD): Buffer[] {
  const payloads: Buffer[] = [];
  let from = 0;
  do {
    let size = 0;
    let to = from;
    for (; to < jobs.length; to++) {
      const length = PROGRESS_FIXED + (jobs[to] as JobProgress).id.length;
      if (size + length > most) break;
      size += length;
    }
    payloads.push(encodeProgressPart(jobs.slice(from, to), size));
    from = to;
  } while (from < jobs.length);
  return payloads;
}

function encodeProgressPart(jobs: readonly JobProgress[], size: number): Buffer {
  const part = Buffer.allocUnsafe(size);
  let at = 0;
  for (const { id, done, running } of jobs) {
    part.writeUInt8(id.length, at);
    part.write(id, at + 1, 'ascii');
    part.writeUInt32BE(done, at + 1 + id.length);
    part.writeUInt32BE(running, at + 5 + id.length);
    at += PROGRESS_FIXED + id.length;
  }
  return part;
}

/** Throws `BadFrame`. */
export function decodeProgress(payload: Buffer): JobProgress[] {
  const jobs: JobProgress[] = [];
  for (let at = 0; at < payload.length;) {
    const length = payload.readUInt8(at);
    if (at + 9 + length > payload.length) throw new MalformedFrameError('a short progress list');
    const id = payload.toString('ascii', at + 1, at + 1 + length);
    if (!isJobId(id)) throw new MalformedFrameError('a progress list with a bad name');
    jobs.push({
      id,
      done: payload.readUInt32BE(at + 1 + length),
      running: payload.readUInt32BE(at + 5 + length),
    });
    at += 9 + length;
  }
  return jobs;
}

/** What a controller says of confirmed cancellations, and of itself as it says so. */
export interface PeerStatus {
  /** How long its process has been up: what was told before that, it doesn't know. */
  readonly uptime: Millis;
  readonly leadingEpoch: Epoch | null;
  readonly cancellations: readonly ConfirmedCancellation[];
}

/** u32 up for ms, u64 epoch led (0: none); per job: u8 name length, name, u32 age in ms. */
export function encodeCancellations(word: PeerStatus): Buffer {
  const head = Buffer.allocUnsafe(12);
  head.writeUInt32BE(Math.min(MOST_U32, Math.floor(word.uptime)), 0);
  head.writeBigUInt64BE(BigInt(word.leadingEpoch ?? 0), 4);
  const parts: Buffer[] = [head];
  let size = head.length;
  for (const { id, age } of word.cancellations) {
    const part = Buffer.allocUnsafe(5 + id.length);
    part.writeUInt8(id.length, 0);
    part.write(id, 1, 'ascii');
    part.writeUInt32BE(Math.min(MOST_U32, Math.max(0, Math.floor(age))), 1 + id.length);
    size += part.length;
    if (size > MAX_PAYLOAD) break;
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** Throws `BadFrame`. */
export function decodeCancellations(payload: Buffer): PeerStatus {
  if (payload.length < 12) throw new MalformedFrameError('a short list of cancellations');
  const epoch = Number(payload.readBigUInt64BE(4));
  const told: ConfirmedCancellation[] = [];
  for (let at = 12; at < payload.length;) {
    const length = payload.readUInt8(at);
    if (at + 5 + length > payload.length) throw new MalformedFrameError('a short list of cancellations');
    const id = payload.toString('ascii', at + 1, at + 1 + length);
    if (!isJobId(id)) throw new MalformedFrameError('a list of cancellations with a bad name');
    told.push({ id, age: ms(payload.readUInt32BE(at + 1 + length)) });
    at += 5 + length;
  }
  return {
    uptime: ms(payload.readUInt32BE(0)),
    leadingEpoch: epoch === 0 ? null : (epoch as Epoch),
    cancellations: told,
  };
}

/** A call to a worker. */
export type CallVerb = 'show' | 'commands';

/** u8 verb, u16 deadline in ms, u8 address length, address, JSON body. */
export function encodeCall(verb: CallVerb, address: string, deadlineMs: number, body: unknown): Buffer {
  const to = Buffer.from(address, 'ascii');
  const json = body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
  const out = Buffer.allocUnsafe(4 + to.length + json.length);
  out.writeUInt8(verb === 'show' ? 0 : 1, 0);
  out.writeUInt16BE(Math.min(65_535, Math.round(deadlineMs)), 1);
  out.writeUInt8(to.length, 3);
  to.copy(out, 4);
  json.copy(out, 4 + to.length);
  return out;
}

/** A call that is made on another controller's behalf. */
export interface Call {
  readonly verb: CallVerb;
  readonly address: string;
  readonly deadlineMs: number;
  readonly body: unknown;
}

/** Throws `BadFrame`. */
export function decodeCall(payload: Buffer): Call {
  if (payload.length < 4) throw new MalformedFrameError('a short call');
  const end = 4 + payload.readUInt8(3);
  if (payload.length < end) throw new MalformedFrameError('a short call');
  const json = payload.subarray(end);
  return {
    verb: payload.readUInt8(0) === 0 ? 'show' : 'commands',
    deadlineMs: payload.readUInt16BE(1),
    address: payload.toString('ascii', 4, end),
    body: json.length === 0 ? undefined : JSON.parse(json.toString('utf8')),
  };
}
