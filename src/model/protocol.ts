/**
 * What versions of this program understand of each other. A controller tells its version in its pings and in
 * the leader's record; what came with a version is only used where every controller has at least that one.
 */

/** Says nothing of its version: it is from before versions were told. */
export const UNVERSIONED = 0;
/** Dependencies between jobs, smaller records of progress, confirmed cancellations told between controllers. */
export const DEPENDENCIES_VERSION = 1;
/** Descriptions whose names stand in further records. */
export const SPLIT_DESCRIPTIONS_VERSION = 2;
/** Messages of the failure detector, and questions for the list of controllers. */
export const MEMBERSHIP_VERSION = 3;
/** What this program is. */
export const PROTOCOL_VERSION = 3;
