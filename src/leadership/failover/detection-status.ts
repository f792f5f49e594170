/**
 * The status with which a controller whose failure detection is disabled or not started yet answers a peer's failure
 * detection messages.
 */
export const FAILURE_DETECTION_OFF_STATUS = 404;
