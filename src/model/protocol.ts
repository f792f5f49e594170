/**
 * Protocol versions between controllers. A controller announces its version in its pings and, as leader, in the leader
 * record. A capability is only used once the controllers concerned (every peer, every connected controller and the last
 * observed leader, or the recipient of a message) have at least the version that introduced it (docs/upgrade.md).
 */

/** Version of a controller that announces no version: its program predates the exchange of versions. */
export const UNVERSIONED = 0;
/**
 * Version that introduced dependencies between jobs, progress records below the default chunk size, and confirmed
 * cancellations sent between controllers.
 */
export const DEPENDENCIES_VERSION = 1;
/** Version that introduced job descriptions whose names are in overflow records. */
export const SPLIT_DESCRIPTIONS_VERSION = 2;
/** Version that introduced failure detector messages and requests for the list of controllers. */
export const MEMBERSHIP_VERSION = 3;
/** Protocol version of this program. */
export const PROTOCOL_VERSION = 3;
