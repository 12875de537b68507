/** A worker's clock may run slower than this host's by this part. */
const MAX_CLOCK_LAG = 0.02

/** A reading of a worker's clock, taken between `sentAt` and `receivedAt` of the local clock. */
export interface ClockReading { workerTime: number, receivedAt: number }

/**
 * The worker's time that it reaches no later than local time `until`, however slow its clock runs. A lease that
 * ends then has surely ended at `until`.
 */
export function computeWorkerTime ({ workerTime, receivedAt }: ClockReading, until: number): number {
  const ahead = until - receivedAt
  return Math.floor(workerTime + (ahead > 0 ? ahead * (1 - MAX_CLOCK_LAG) : ahead))
}
