/** The protocol between simulated controllers and the test harness that runs them. */
import type { MembershipTuning } from '@plumyoke/membership';
import type { StoreCondition, StoreWrite } from '@plumyoke/takeover/reference';

/** How owners are replaced. */
export enum FailoverMode {
  /** By the failure detector's verdict. */
  Membership = 'membership',
  /** When the owner's lease has expired, as in the service without failure detection. */
  LeaseOnly = 'grant-only',
}

/** The options of a simulated controller, passed as JSON in its first argument. */
export interface ControllerOptions {
  readonly member: string;
  readonly mode: FailoverMode;
  readonly units: readonly string[];
  readonly tuning: MembershipTuning;
  /** The ports of its peers, by member. */
  readonly peers: Readonly<Record<string, number>>;
  /** The harness's port: store, resources, log. */
  readonly harnessPort: number;
}

/** The requests of a controller to the harness. */
export enum HarnessRequest {
  Hello = 'hello',
  Get = 'get',
  Commit = 'commit',
  CreateLease = 'create-lease',
  RenewLease = 'renew-lease',
  Effect = 'effect',
  Event = 'event',
}

/** What the harness sends to controllers in lease-only mode: an owner's lease has expired. */
export const LEASE_EXPIRED = 'lease-expired';

/** A controller's first message: the port on which its peers reach it. */
export interface HelloRequest {
  readonly member: string;
  readonly port: number;
}

/** A transaction. */
export interface CommitRequest {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly StoreWrite[];
}

/** An effect of an owner on a unit. */
export interface EffectRequest {
  readonly unit: string;
  readonly member: string;
  readonly process: string;
  readonly epoch: number;
  readonly job: string;
}

/** An event that a controller reports. */
export interface EventReport {
  readonly kind: string;
  readonly subject: string;
  readonly to: string;
}
