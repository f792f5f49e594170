/** The external dependencies of the package: clock, random numbers, transport to peers, and log. */
import type { MemberId } from './identity.js';

/** Cancels a timer. */
export type Cancel = () => void;

/** A monotonic clock, the wall clock and timers; all times are in milliseconds. */
export interface Clock {
  /** Returns monotonic time, which is not comparable between processes. */
  now(): number;
  /** Returns milliseconds since the Unix epoch (1970); the clock's error is bounded. */
  wall(): number;
  /** Calls `run` once after the delay. The result cancels the timer. */
  after(delayMs: number, run: () => void): Cancel;
}

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Whether a peer's version supports membership messages. */
export enum PeerSupport {
  /** The peer handles membership messages. */
  Supported = 'supported',
  /** The peer is connected and has announced an earlier version, without support for membership messages. */
  Unsupported = 'unsupported',
  /** There is no connection to the peer, so the peer's version is not known. */
  Unknown = 'unknown',
}

/**
 * Sends requests to peers. A request may be lost, delayed or duplicated; each answer belongs to exactly one request.
 */
export interface Transport {
  /**
   * Sends a request. Resolves to the answer, or to null if the request was not sent or not answered in time. Never
   * rejects.
   */
  request(to: MemberId, payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null>;
  /** Returns whether a peer supports membership messages. */
  support(peer: MemberId): PeerSupport;
}

/** Writes log lines. */
export interface Logger {
  info(fields: object, text: string): void;
  warn(fields: object, text: string): void;
}

/** The status that this controller reports about itself in every answer. */
export interface SelfReport {
  /** Processor utilization, between 0 and 1. */
  readonly load: number;
  /** Whether this controller could own work now: it reaches the key-value store and has loaded the required data. */
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
