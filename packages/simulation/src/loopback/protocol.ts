/** What stand-in controllers and the laboratory that runs them tell each other. */
import type { MembershipTuning } from '@plumyoke/membership';
import type { StoreCondition, StoreWrite } from '@plumyoke/takeover/reference';

/** How owners are replaced. */
export enum FailoverMode {
  /** By the failure detector's verdict. */
  Membership = 'membership',
  /** When the owner's grant has ended, as the service does without failure detection. */
  GrantOnly = 'grant-only',
}

/** What a stand-in controller is started with, as JSON in its first argument. */
export interface ControllerOptions {
  readonly member: string;
  readonly mode: FailoverMode;
  readonly units: readonly string[];
  readonly tuning: MembershipTuning;
  /** The ports on which it reaches its peers, by member. */
  readonly peers: Readonly<Record<string, number>>;
  /** The laboratory's port: store, resources, log. */
  readonly labPort: number;
}

/** The requests of a controller to the laboratory. */
export enum LabRequest {
  Hello = 'hello',
  Get = 'get',
  Commit = 'commit',
  Grant = 'grant',
  Touch = 'touch',
  Effect = 'effect',
  Event = 'event',
}

/** What the laboratory tells controllers in grant-only mode: a holder's grant has ended. */
export const VACANT = 'vacant';

/** A controller's first words: where its peers reach it. */
export interface HelloRequest {
  readonly member: string;
  readonly port: number;
}

/** A transaction; `grant` binds the holder's key to it. */
export interface CommitRequest {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly StoreWrite[];
}

/** An owner acts upon a unit. */
export interface EffectRequest {
  readonly unit: string;
  readonly member: string;
  readonly process: string;
  readonly epoch: number;
  readonly job: string;
}

/** A controller tells what it has seen. */
export interface EventReport {
  readonly kind: string;
  readonly subject: string;
  readonly to: string;
}
