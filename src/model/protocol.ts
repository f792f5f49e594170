/**
 * Protocol versions between controllers. A controller shows its version in its pings and in the leader's record; a
 * capability is only used where every controller has at least the version that brought it (docs/upgrade.md).
 */

/** The version of a controller that shows none: it is from before versions were exchanged. */
export const UNVERSIONED = 0;
/** Dependencies between jobs, smaller progress records, confirmed cancellations sent between controllers. */
export const DEPENDENCIES_VERSION = 1;
/** Job descriptions whose names are in further records. */
export const SPLIT_DESCRIPTIONS_VERSION = 2;
/** Messages of the failure detector, and requests for the list of controllers. */
export const MEMBERSHIP_VERSION = 3;
/** The version of this program. */
export const PROTOCOL_VERSION = 3;
