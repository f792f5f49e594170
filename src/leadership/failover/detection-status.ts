/**
 * The status with which a controller whose failure detection is disabled answers a peer's failure detection messages.
 */
export const FAILURE_DETECTION_OFF_STATUS = 404;
