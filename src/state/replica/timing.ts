export const HEARTBEAT_MS = 250
/** Heartbeat interval for learners; longer than for voters, which keeps the leader's traffic low with many hosts. */
export const LEARNER_HEARTBEAT_MS = 1000
export const ELECTION_MIN_MS = 800
export const ELECTION_MAX_MS = 1300
/** Election timeout after a failed election; short, so that a new leader is elected within 2 s in spite of a split vote. */
export const ELECTION_RETRY_MIN_MS = 100
export const ELECTION_RETRY_MAX_MS = 350
/** Minimum time between two confirmation rounds for reads; reads in between wait and share the next round. */
export const READ_ROUND_INTERVAL_MS = 100
/**
 * A leader without replies from a majority of the voters for this long steps down. A single voter counts as failed after the
 * same time.
 */
export const CONTACT_TIMEOUT_MS = 800
export const LEADERSHIP_CHECK_INTERVAL_MS = 100
export const VOTE_TIMEOUT_MS = 400
export const APPEND_TIMEOUT_MS = 600
export const FORWARD_TIMEOUT_MS = 700
/** How long a request waits for a leader to become known before it tries again. */
export const LEADER_LOOKUP_RETRY_MS = 50
export const JOIN_INTERVAL_MS = 1000
/** The leader forgets a learner that has not answered for this long; the learner joins again when it returns. */
export const LEARNER_EXPIRY_MS = 30_000
/** A learner without messages from the leader for this long looks for the leader again. */
export const LEARNER_LEADER_TIMEOUT_MS = 3000
/**
 * A follower waits at most this long for the sync of new entries before it answers an append, so that a slow disk does not
 * delay later messages. On a sound disk an entry waits for at most two syncs of 9 ms; the rest is reserve.
 */
export const APPEND_SYNC_WAIT_MS = 25
/** Minimum time between two appends to a peer that has not answered the first one; limits the number of messages. */
export const MIN_APPEND_INTERVAL_MS = 6
/** Appends to one peer that may be unanswered at the same time. */
export const MAX_IN_FLIGHT = 4
/** Largest size of the entries in one append; leaves room for the other fields in a message of at most 64 KB. */
export const MAX_APPEND_BYTES = 62 * 1024
/** Largest size of a snapshot chunk; leaves room for the other fields in a message of at most 64 KB. */
export const MAX_CHUNK_BYTES = 63 * 1024
/** An entry has to fit into one message. The largest entries are catalogs with many queues. */
export const MAX_ENTRY_BYTES = 1024 * 1024
/** Largest size of the entries that are written to the disk with one sync. */
export const MAX_SYNC_BYTES = 1024 * 1024
export const MAX_PENDING_PROPOSALS = 10_000
export const MAX_VOTERS = 7
/** Each host makes its snapshot at a random fraction of the limits, from this value to 1, so that not all do so at the same time. */
export const MIN_SNAPSHOT_LIMIT_FACTOR = 0.5
/** When a snapshot is made and which entries are kept after it. Configurable; tests use small limits. */
export interface LogLimits {
  /**
   * A snapshot is due when the entries since the last one exceed both this size and the size of the last snapshot. Encoding a
   * snapshot blocks the event loop for about 16 ms per megabyte, and an overloaded deployment appends 0.13 MB per second.
   */
  snapshotBytes: number
  /** A snapshot is also due after this many entries, which limits the time of a restart: replaying 18,000 entries takes 0.24 s. */
  snapshotEntries: number
  /** Most entries kept in memory from before a snapshot, so that a host that is slightly behind does not need the snapshot. */
  retainedEntries: number
  retainedBytes: number
}

export const DEFAULT_LOG_LIMITS: LogLimits = {
  snapshotBytes: 2 * 1024 * 1024,
  snapshotEntries: 20_000,
  retainedEntries: 500,
  retainedBytes: 128 * 1024
}
export const LEADERSHIP_TRANSFER_TIMEOUT_MS = 1000
/** Interval at which a leader whose disk is full tries to hand leadership over; a try can hold proposals up for `LEADERSHIP_TRANSFER_TIMEOUT_MS`. */
export const FULL_DISK_HANDOVER_INTERVAL_MS = 5000
