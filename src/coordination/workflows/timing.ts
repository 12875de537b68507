/**
 * Length of the leases that the leader gives. Longer than the change of a leader (docs/design.md: under 2 s) and the
 * first looks of the new one, so that nothing stops for it; short, because the tasks of a silent worker wait for its end.
 */
export const LEASE_MS = 6000
/** Added to the end of a lease before tasks are given to others: rounding and delivery of the worker's own timer. */
export const EXPIRY_MARGIN_MS = 150
/** A look at a busy worker waits this long for an end; workers allow 2,000 at most. */
export const HOLD_WAIT_MS = 1500
/** The same on workers whose readings decide about pacing; readings cover half a second. */
export const SHORT_HOLD_MS = 500
/** A worker without runs is looked at this often, which keeps the reading of its clock fresh. */
export const IDLE_LOOK_MS = 20_000
/** An answer later than this after the agreed wait counts as none: some hundred times a round trip. */
export const REPLY_SLACK_MS = 800
export const ORDER_TIMEOUT_MS = 700
export const MAX_START_TRIES = 4
/** A stop that shows no effect is sent again after this long. */
export const RESEND_STOP_MS = 400
/** Pause before the next look at a worker that did not answer; doubles up to the largest. */
export const FIRST_RETRY_MS = 100
export const MAX_RETRY_MS = 1000
/** A worker whose leases have ended and that is silent for this long is forgotten; it reports again when it returns. */
export const FORGET_MS = 30_000
/** A leader that has not heard a majority for this long gives no orders; it steps down after 800 ms. */
export const AUTHORITY_MS = 800
/** How often the leader looks at its own authority. */
export const AUTHORITY_CHECK_MS = 100
/** Deadline of changes that the leader itself proposes. */
export const PROPOSE_TIMEOUT_MS = 3000
/** A worker that refused a start for want of room gets none for this long. */
export const NO_ROOM_PAUSE_MS = 500
/** A worker that refused a start as unhealthy, or answered none of its tries, gets none for this long. */
export const UNHEALTHY_PAUSE_MS = 2000
/** A worker has been without looks for this long when another host takes it over: division.ts gives it away after 1.4 s, and an entry is agreed. */
export const HANDOVER_MS = 1500
/** A host gives no orders once its leader surely had a majority longer ago than this; several exchanges, and less than the time after which its workers go to others. */
export const SESSION_AUTHORITY_MS = 1000
/** How often a host with news exchanges them with the leader; a part of the half second that a reading covers. */
export const EXCHANGE_MS = 50
/** The same without news; several times within the time that authority lasts. */
export const IDLE_EXCHANGE_MS = 200
export const EXCHANGE_TIMEOUT_MS = 700
/** A worker is reported to the leader this often at most; readings change each half second. */
export const REPORT_WORKER_MS = 250
/** A host that stops waits this long for another to take its sessions; two exchanges and two commits. */
export const LEAVE_TIMEOUT_MS = 800
/** Start orders that wait for answers at the same time on one host; at 0.3 ms for an order a full queue takes 20 ms. */
export const MAX_STARTS_IN_FLIGHT = 64
/** Starts that one host has been given and has not confirmed, above which its workers get no more short work. */
export const MAX_UNCONFIRMED_STARTS = 256
/** A host whose replica lags this far behind the leader gives no orders. */
export const MAX_LAG_MS = 1000
/** How often a host looks for runs of ended workflows; a part of the time that a cancel may take. */
export const SWEEP_MS = 250
/** A run of a workflow that is not known here is left for this long: the entry with it may not have been applied yet. */
export const UNKNOWN_RUN_MS = 3000
/** Start orders to one worker that wait for answers at the same time, so that a silent one does not hold up others; its connections for orders twice over. */
export const MAX_STARTS_PER_WORKER = 6
