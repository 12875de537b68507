export const HEARTBEAT_MS = 250
/** Learners at rest hear less often, which keeps the leader's traffic low with many hosts. */
export const LEARNER_HEARTBEAT_MS = 1000
export const ELECTION_MIN_MS = 800
export const ELECTION_MAX_MS = 1300
/** After a failed election; short, so that a split vote does not delay a new leader beyond 2 s. */
export const ELECTION_RETRY_MIN_MS = 100
export const ELECTION_RETRY_MAX_MS = 350
/** Reads wait up to this long to share a round of messages. */
export const READ_ROUND_GAP_MS = 100
/** A leader that has not reached a majority for this long steps down. */
export const LEADER_CONTACT_MS = 800
export const LEADER_CHECK_MS = 100
export const VOTE_TIMEOUT_MS = 400
export const APPEND_TIMEOUT_MS = 600
export const FORWARD_TIMEOUT_MS = 700
/** How long a proposal waits before it looks for the leader again. */
export const LEADER_WAIT_MS = 50
export const JOIN_INTERVAL_MS = 1000
/** A learner that was silent for this long is forgotten; it announces itself again when it returns. */
export const LEARNER_EXPIRY_MS = 30_000
export const LEARNER_SILENCE_MS = 3000
/**
 * A follower answers after this long also when its disk has not synced the entries yet, so that a slow disk does not hold
 * back later messages. Twice a sync of 9 ms, the longest that an entry waits on a sound disk, and some reserve.
 */
export const STABLE_REPLY_MS = 25
/** Least time between two messages to a peer that has not answered the first one; it bounds the number of messages. */
export const APPEND_GAP_MS = 6
/** Appends of one peer that may wait for an answer at the same time. */
export const MAX_IN_FLIGHT = 4
/** Entries of one append; with the other fields a message stays below 64 KB. */
export const MAX_APPEND_BYTES = 62 * 1024
/** Leaves room for the other fields of a snapshot message. */
export const MAX_CHUNK_BYTES = 63 * 1024
/** An entry travels in one message; a catalog of many queues is the largest. */
export const MAX_ENTRY_BYTES = 1024 * 1024
export const MAX_SYNC_BYTES = 1024 * 1024
export const MAX_PENDING = 10_000
export const MAX_VOTERS = 7
/** Hosts make their snapshots at this part of the limits or later, each at another one. */
export const MIN_SNAPSHOT_SHARE = 0.5
/** When the log is cut. Settings may choose other limits; tests use small ones. */
export interface LogLimits {
  /**
   * A snapshot is due when the log has grown by more than this and by more than the last snapshot. Encoding blocks the
   * thread for about 16 ms for each megabyte, and an overloaded deployment appends 0.13 MB a second.
   */
  snapshotBytes: number
  /** A snapshot is also due after this many entries, which bounds the time of a restart: 0.24 s after 18,000 entries. */
  snapshotEntries: number
  /** Entries kept after a snapshot, so that a host that lags a little needs no snapshot. */
  retainedEntries: number
  retainedBytes: number
}

export const DEFAULT_LOG_LIMITS: LogLimits = {
  snapshotBytes: 2 * 1024 * 1024,
  snapshotEntries: 20_000,
  retainedEntries: 500,
  retainedBytes: 128 * 1024
}
export const HANDOVER_WAIT_MS = 1000
