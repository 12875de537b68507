/** A worker's clock may run slower than the local clock by up to this fraction. */
const MAX_CLOCK_DRIFT = 0.02

/** A reading of a worker's clock from a reply that was received at local time `receivedAt`; the worker may have read its clock earlier. */
export interface ClockReading { workerTime: number, receivedAt: number }

/**
 * Converts local time `until` to a time on the worker's clock that the worker reaches no later than `until`, even if its
 * clock is slow. A lease up to the returned time is guaranteed to have ended at `until`.
 */
export function computeWorkerTime ({ workerTime, receivedAt }: ClockReading, until: number): number {
  const remainingMs = until - receivedAt
  return Math.floor(workerTime + (remainingMs > 0 ? remainingMs * (1 - MAX_CLOCK_DRIFT) : remainingMs))
}

/** The longest local time that a worker, whose clock may be slow, takes for `ms` by its own clock. */
export function computeLongestMs (ms: number): number {
  return ms / (1 - MAX_CLOCK_DRIFT)
}
