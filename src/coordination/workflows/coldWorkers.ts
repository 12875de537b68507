import type { WorkerIncarnation } from '../../state/index.js'

/**
 * Workers that are slow for some time after their start. Load: reports of up to 350 workers every 1.5 s, and for each
 * scheduling pass one comparison for each worker.
 */
export type Coldness = Pick<WorkerIncarnation, 'coldUntil'>

/** Interval of the workers' reports. A shorter remaining time is over before a decision by it would matter. */
const HEARTBEAT_MS = 1500
/** Time over which a cold worker is filled. Workers report less than this after an ordinary start. */
const WARM_UP_MS = 10_000
/** Share of its cores that a worker is given while it is still cold for at least `WARM_UP_MS`. */
const FIRST_SHARE = 0.5
/** Factor by which a worker counts as slower while it is still cold for at least `WARM_UP_MS`. */
const COLD_SLOWNESS = 2

/** Removes a deadline that is less than one report away. */
export function removeShortColdness (life: WorkerIncarnation, wallTime: number): WorkerIncarnation {
  return life.coldUntil === undefined || life.coldUntil > wallTime + HEARTBEAT_MS ? life : removeColdness(life)
}

export function removeColdness ({ coldUntil: _coldUntil, ...warm }: WorkerIncarnation): WorkerIncarnation {
  return warm
}

/** True if two reports mean the same deadline: each computes it anew, so it differs by the delay of the report. */
export function isSameColdness (known: Coldness, reported: Coldness, wallTime: number): boolean {
  const getRemainingMs = ({ coldUntil }: Coldness): number => Math.max(0, (coldUntil ?? 0) - wallTime)
  return Math.abs(getRemainingMs(known) - getRemainingMs(reported)) <= HEARTBEAT_MS
}

/** How cold a worker is: 1 for `WARM_UP_MS` or more, falling to 0 at its deadline. */
function computeColdness ({ coldUntil }: Coldness, wallTime: number): number {
  return coldUntil === undefined ? 0 : Math.min(1, Math.max(0, (coldUntil - wallTime) / WARM_UP_MS))
}

/** Factor by which the tasks of a worker are expected to take longer because it is cold. */
export function computeColdSlowness (life: Coldness, wallTime: number): number {
  return 1 + (COLD_SLOWNESS - 1) * computeColdness(life, wallTime)
}

/** Cores that a cold worker is not given yet. */
export function computeColdReserve (life: Pick<WorkerIncarnation, 'coldUntil' | 'cores'>, wallTime: number): number {
  return (1 - FIRST_SHARE) * computeColdness(life, wallTime) * life.cores
}
