/** Failure detection among a fixed set of controllers, based on SWIM and Lifeguard. */
export {
  type Cancel,
  type Clock,
  type Logger,
  type MembershipEnvironment,
  PeerSupport,
  type Random,
  type SelfReport,
  type Transport,
} from './environment.js';
export { describeEvidence, type Evidence, LinkCondition } from './evidence.js';
export type { MembershipEvent, MembershipListener } from './events.js';
export type { Identity, Incarnation, MemberId, ProcessId } from './identity.js';
export { Membership, type MemberView } from './membership.js';
export { Connection } from './reachability.js';
export { RejectReason } from './rejected-messages.js';
export {
  checkSettings,
  DEFAULT_TUNING,
  majorityOf,
  type MembershipSettings,
  MembershipSettingsError,
  type MembershipTuning,
} from './settings.js';
export { MemberState } from './verdict.js';
