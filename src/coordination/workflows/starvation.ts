import type { PlacementCandidate, Pool } from './candidates.js'
import type { TrackedGroup } from './waiting.js'

/** A workflow of which no task has run for this long is starved: a task of it may start even beside a service that does not tolerate it. */
const STARVATION_MS = 1000
/** Starvation threshold in a crowded pool, where a task that a service does not tolerate would soon be stopped again without having helped. */
const CROWDED_STARVATION_MS = 5000
/** A pool is crowded when the share of its free cores is below this. */
const CROWDED_SHARE = 0.35
/** While at least this share of a pool's cores is free, a workflow that was starved once does not wait again: every workflow has to make progress while less than half of the capacity is in use. */
const MOSTLY_FREE_SHARE = 0.5

/**
 * Marks groups as starved when none of their tasks has run for the starvation threshold. A waiting long-running task is
 * starved after the threshold even if other tasks of its step run, because each of these tasks has its own users. While most
 * of the pool is free, the threshold is 0 for a workflow that was starved once: if its tasks are short, it would otherwise be
 * idle most of the time.
 */
export function updateStarved (trackedGroups: TrackedGroup[], pools: Map<string, Pool>, starvedWorkflows: ReadonlySet<string>, now: number): void {
  const freeShares = new Map([...pools].map(([service, { workers }]) => [service, computeFreeShare(workers)]))
  trackedGroups.forEach(({ group: { step, record, runningTasks }, progress }) => {
    const isIdle = step.lasting || runningTasks === 0
    progress.idleSince = isIdle ? progress.idleSince ?? now : undefined
    const starvationMs = getStarvationMs(step.lasting, freeShares.get(record.service) ?? 0, starvedWorkflows.has(record.workflow.id))
    const isStarved = progress.idleSince !== undefined && now - progress.idleSince >= starvationMs
    if (isStarved && !progress.isStarved) progress.blockedUntil = -Infinity
    progress.isStarved = isStarved
  })
}

/** Starvation threshold: how long a group waits before a task of it may start despite excess load. */
function getStarvationMs (isLongRunning: boolean, freeShare: number, hasStarvedBefore: boolean): number {
  if (isLongRunning) return STARVATION_MS
  if (hasStarvedBefore && freeShare >= MOSTLY_FREE_SHARE) return 0
  return freeShare < CROWDED_SHARE ? CROWDED_STARVATION_MS : STARVATION_MS
}

function computeFreeShare (workers: readonly PlacementCandidate[]): number {
  const cores = workers.reduce((sum, worker) => sum + worker.cores, 0)
  const free = workers.reduce((sum, worker) => sum + worker.freeCores, 0)
  return free / Math.max(1, cores)
}
