import { CLOCK_RATE_BOUND } from '../authority/terms.js'

/** Duration of a task lease, ms. The worker counts it from the time at which it sent the reply that the coordinator's request names. */
export const TASK_LEASE_MS = 15_000
/** After this time without a reply, all task leases of a worker have expired on every permitted clock, ms. */
export const WORKER_LOST_MS = TASK_LEASE_MS * (1 + CLOCK_RATE_BOUND)
