/** The status with which a controller without failure detection answers the messages of one that has it. */
export const FAILURE_DETECTION_OFF_STATUS = 404;
