/** The dependencies that the package is given: clock, randomness, transport to peers, and log. */
import type { MemberId } from './identity.js';

/** Cancels a timer. */
export type Cancel = () => void;

/** A monotonic clock and the time of day, both in milliseconds. */
export interface Clock {
  /** Monotonic time; not comparable between processes. */
  now(): number;
  /** Milliseconds since 1970, within some bound of true time. */
  wall(): number;
  /** Calls `run` once after the delay, unless cancelled. */
  after(delayMs: number, run: () => void): Cancel;
}

/** A number from 0 up to 1. */
export type Random = () => number;

/** Whether a peer's program supports membership messages. */
export enum PeerSupport {
  /** It handles membership messages. */
  Supported = 'supported',
  /** It is connected and has announced an earlier version, which does not support them. */
  Unsupported = 'unsupported',
  /** There is no connection, so its version is not known. */
  Unknown = 'unknown',
}

/** Sends requests to peers. A request may be lost, delayed or repeated; an answer belongs to one request. */
export interface Transport {
  /** Resolves to the answer; null if the request was not sent or not answered in time. Never rejects. */
  request(to: MemberId, payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null>;
  support(peer: MemberId): PeerSupport;
}

/** Writes log lines. */
export interface Logger {
  info(fields: object, text: string): void;
  warn(fields: object, text: string): void;
}

/** What this controller states about itself in every answer. */
export interface SelfReport {
  /** The share of processor time in use, between 0 and 1. */
  readonly load: number;
  /** Whether it could own work now: it reaches the key-value store and has the data that it needs. */
  readonly ready: boolean;
}

/** All dependencies of a member. */
export interface MembershipEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly log: Logger;
  readonly selfReport: () => SelfReport;
}
