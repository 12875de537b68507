import type { WorkKind } from './roomForecast.js'

/** A queue is over its share when it holds more than this many times the mean; a smaller difference is one task or two. */
const OVER_SHARE_FACTOR = 1.1

/** Cores that the short tasks of a queue hold in its pool, for one kind of work. */
export interface QueueUse { queue: string, service: string, priority: number, kind: WorkKind, heldCores: number, isWaiting: boolean }

/**
 * Lists the queues that hold more than their share, as `QUEUE KIND`, for loads in which several queues of one priority want
 * more of a pool than it has. The shares of the queues that wait are equal; a queue that does not wait wants no more than it
 * holds and is left out.
 */
export function listOverShare (uses: readonly QueueUse[]): Set<string> {
  const groups = new Map<string, QueueUse[]>()
  uses.filter(({ isWaiting }) => isWaiting).forEach((use) => {
    const key = [use.service, use.priority, use.kind].join()
    groups.set(key, [...groups.get(key) ?? [], use])
  })
  const over = [...groups.values()].flatMap((group) => {
    const share = group.reduce((sum, { heldCores }) => sum + heldCores, 0) / group.length
    return group.filter(({ heldCores }) => heldCores > share * OVER_SHARE_FACTOR)
  })
  return new Set(over.map(({ queue, kind }) => formatUse(queue, kind)))
}

export function formatUse (queue: string, kind: WorkKind): string {
  return `${queue} ${kind}`
}
