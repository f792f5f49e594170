/** What the package needs of the process that it runs in: time, randomness, a way to its peers, and a log. */
import type { MemberId } from './identity.js';

/** Calls a timer off. */
export type Cancel = () => void;

/** A steady clock in milliseconds, and the time of day. */
export interface Clock {
  /** Never goes back; not comparable between processes. */
  now(): number;
  /** Milliseconds since 1970, within some bound of true time. */
  wall(): number;
  after(delayMs: number, run: () => void): Cancel;
}

/** A number from 0 up to 1. */
export type Random = () => number;

/** What is known of a peer's program. */
export enum PeerSupport {
  /** It takes membership messages. */
  Supported = 'supported',
  /** It is connected and has shown an earlier version, which does not know them. */
  Unsupported = 'unsupported',
  /** There is no connection, and nothing to tell. */
  Unknown = 'unknown',
}

/** Brings requests to peers. A request may be lost, delayed or repeated; an answer belongs to one request. */
export interface Transport {
  /** Null: not sent, or no answer in time. Never rejects. */
  request(to: MemberId, payload: Uint8Array, deadlineMs: number): Promise<Uint8Array | null>;
  support(peer: MemberId): PeerSupport;
}

/** Takes lines for people. */
export interface Logger {
  info(fields: object, text: string): void;
  warn(fields: object, text: string): void;
}

/** What this controller tells the others of itself with every answer. */
export interface SelfReport {
  /** The share of its processor time that it uses, between 0 and 1. */
  readonly load: number;
  /** Whether it could own work now: it reaches the state service and has what it needs. */
  readonly ready: boolean;
}

/** Everything that a member is handed. */
export interface MembershipEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly log: Logger;
  readonly selfReport: () => SelfReport;
}
