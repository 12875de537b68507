import { CLOCK_RATE_BOUND } from '../authority/terms.js'

/** A worker counts it from the time of the reply that the coordinator names, ms. */
export const TASK_LEASE_MS = 15_000
/** After this time without an answer nothing can run on a worker any more, ms. */
export const WORKER_LOST_MS = TASK_LEASE_MS * (1 + CLOCK_RATE_BOUND)
