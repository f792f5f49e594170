/** The messages between simulated controllers and the test harness that runs the controllers. */
import type { MembershipTuning } from '@plumyoke/membership';
import type { StoreCondition, StoreWrite } from '@plumyoke/takeover/reference';

/** The mechanism that triggers the replacement of an owner. */
export enum FailoverMode {
  /** An owner is replaced after the failure detector's verdict. */
  Membership = 'membership',
  /** An owner is replaced after its lease has expired, as in the service without failure detection. */
  LeaseOnly = 'grant-only',
}

/** The options of a simulated controller, which the process receives as JSON in its first argument. */
export interface ControllerOptions {
  readonly member: string;
  readonly mode: FailoverMode;
  readonly units: readonly string[];
  readonly tuning: MembershipTuning;
  /** The ports on which the controller reaches its peers, by member. */
  readonly peers: Readonly<Record<string, number>>;
  /** The port of the harness, which serves the store, receives effects and collects events. */
  readonly harnessPort: number;
}

/** The names of the requests and notifications that a controller sends to the harness. */
export enum HarnessRequest {
  Hello = 'hello',
  Get = 'get',
  Commit = 'commit',
  CreateLease = 'create-lease',
  RenewLease = 'renew-lease',
  Effect = 'effect',
  Event = 'event',
}

/**
 * The name of the message with which the harness notifies controllers in lease-only mode that a unit's lease expired.
 */
export const LEASE_EXPIRED = 'lease-expired';

/** A controller's first message. `port` is the port for connections of its peers; 0 in lease-only mode. */
export interface HelloRequest {
  readonly member: string;
  readonly port: number;
}

/** A transaction for the harness's store. */
export interface CommitRequest {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly StoreWrite[];
}

/** An effect of an owner on a unit, which starts `job`. */
export interface EffectRequest {
  readonly unit: string;
  readonly member: string;
  readonly process: string;
  readonly epoch: number;
  readonly job: string;
}

/**
 * An event that a controller reports to the harness: the change of member `subject` to state `to`, or a logged warning
 * with the text `to` and an empty `subject`.
 */
export interface EventReport {
  readonly kind: string;
  readonly subject: string;
  readonly to: string;
}
