/** Reason for the end of a leadership term on this controller, as logged in the field `reason`. */
export type TermEndReason =
  /** The leader's lease ended in the key-value store. */
  | 'leader lease expired'
  /** This process is shutting down. */
  | 'controller shutting down'
  /** Failure detection found that another controller has taken over and fenced this term. */
  | 'replaced by another controller'
  /** The leader receives no heartbeats: it is partitioned from its workers. */
  | 'no worker heartbeats received'
  /** The leader found evidence of a newer epoch; the text names where the evidence was found. */
  | 'a peer leads a newer epoch'
  | 'a worker has seen a newer epoch'
  | 'a fleet record write found a newer epoch'
  | 'a commit found a newer epoch';
