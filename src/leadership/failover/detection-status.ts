/** A controller that runs without failure detection answers its messages with this status. */
export const DETECTION_OFF_STATUS = 404;
