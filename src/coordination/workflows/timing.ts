/**
 * Length of the leases of workers; shorter where the workers allow less. Longer than a change of the leader (docs/design.md: under 2 s) plus the first polls of
 * the new one, so that no run stops because of it; short, because the tasks of an unreachable worker wait for its end.
 */
export const LEASE_MS = 6000
/** Added to the end of a lease before tasks are assigned to others; covers rounding and late timers of the worker. */
export const EXPIRY_MARGIN_MS = 150
/** A poll of a worker with runs waits this long for a run to end; workers allow 2,000 ms at most. */
export const POLL_WAIT_MS = 1500
/** Wait of a poll on workers with latency-critical tasks, whose readings decide about the best-effort runs beside them, or with runs that are to stop; readings cover half a second. */
export const SHORT_POLL_WAIT_MS = 500
/** Wait of a poll on workers with runs that may be copied: a straggler shows by its progress within a fraction of its usual duration, 540 ms on the reference sites. */
export const SPECULATIVE_POLL_WAIT_MS = 250
/** Interval of the polls of a worker without runs; keeps the reading of its clock up to date. */
export const IDLE_POLL_INTERVAL_MS = 20_000
/** A poll without an answer this long after the end of its wait has failed; some hundred times a round trip. */
export const POLL_REPLY_MARGIN_MS = 800
export const ORDER_TIMEOUT_MS = 700
/** A worker may execute a call that got no answer late, also after a restart; the contract of workers gives no bound, and delays of up to 12 s are known. */
export const MAX_CALL_DELAY_MS = 12_000
/** Longest lease of a worker where the settings do not tell it. */
export const DEFAULT_MAX_LEASE_MS = 10_000
export const MAX_START_TRIES = 4
/** A stop order is repeated after this long if its run has not ended. */
export const RESEND_STOP_MS = 400
/** Delay before the next poll of a worker that did not answer; doubles up to `MAX_RETRY_MS`. */
export const FIRST_RETRY_MS = 100
export const MAX_RETRY_MS = 1000
/** A worker whose leases have ended is removed after it has been unreachable for this long; it registers again when it returns. */
export const REMOVE_WORKER_AFTER_MS = 30_000
/** A leader without contact with a majority for this long gives no orders; it also steps down after 800 ms. */
export const MAX_AUTHORITY_AGE_MS = 800
/** Interval at which the leader checks its own authority. */
export const AUTHORITY_CHECK_INTERVAL_MS = 100
/** Deadline of log entries that the leader or a session host proposes. */
export const PROPOSE_TIMEOUT_MS = 3000
/** A worker that refused a start for lack of capacity is paused for this long. */
export const NO_CAPACITY_PAUSE_MS = 500
/** A worker that refused a start as unhealthy, or answered none of the tries, is paused for this long. */
export const UNHEALTHY_PAUSE_MS = 2000
/** A session host gives no orders if the last time at which a majority is known to have followed its leader is longer ago than this. Spans several exchanges; shorter than the time after which its workers are assigned to other hosts. */
export const MAX_SESSION_AUTHORITY_AGE_MS = 1000
/** Interval of the exchanges with the leader while there is something to report; a fraction of the half second that a reading covers. */
export const EXCHANGE_INTERVAL_MS = 50
/** Interval of the exchanges without anything to report; several fit into the time that authority lasts. */
export const IDLE_EXCHANGE_INTERVAL_MS = 200
export const EXCHANGE_TIMEOUT_MS = 700
/** Minimum interval between two reports on one worker; readings change every half second. */
export const MIN_REPORT_INTERVAL_MS = 250
/** A host that shuts down waits at most this long until its workers are assigned to others; covers two exchanges and two commits. */
export const LEAVE_TIMEOUT_MS = 800
/** Start orders of one host that may wait for their answers at the same time; at 0.3 ms for an order this many take 20 ms. */
export const MAX_STARTS_IN_FLIGHT = 64
/** Above this number of assigned and unconfirmed starts on one session host its workers get no more short tasks. */
export const MAX_UNCONFIRMED_STARTS = 256
/** A host whose replica is further behind the leader than this gives no orders. */
export const MAX_LAG_MS = 1000
/** Interval at which a host searches for runs of ended workflows; a fraction of the time that a cancellation may take. */
export const ORPHAN_CHECK_INTERVAL_MS = 250
/** An unassigned run that may be newer than the local state is tolerated for this long: the entry that assigns it may not have been applied here yet. */
export const UNKNOWN_RUN_GRACE_MS = 3000
/** Start orders to one worker that may wait for their answers at the same time, so that a worker that does not answer cannot delay the others; twice its number of connections for orders. */
export const MAX_STARTS_PER_WORKER = 6
