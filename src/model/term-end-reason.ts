/** Why a leadership term ends on this controller, as the log shows it (field `reason`). */
export type TermEndReason =
  /** The leader's lease ended in the key-value store. */
  | 'leader lease expired'
  /** This process is shutting down. */
  | 'controller shutting down'
  /** Failure detection found that another controller has fenced this term. */
  | 'replaced by another controller'
  /** No worker's heartbeat arrives: the leader is partitioned from its workers. */
  | 'no worker heartbeats received'
  /** Evidence of a newer epoch, by where it was met. */
  | 'a peer leads a newer epoch'
  | 'a worker has seen a newer epoch'
  | 'a fleet record write found a newer epoch'
  | 'a commit found a newer epoch';
