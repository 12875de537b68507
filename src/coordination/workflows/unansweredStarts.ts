import { MAX_CALL_DELAY_MS, ORDER_TIMEOUT_MS } from './timing.js'

/** `arrivesUntil`: local time until which the order may be executed. */
interface SentStart { task: string, arrivesUntil: number }

/**
 * Start orders that have no answer, by worker. All incarnations of a worker share its id and address, so that a later one may
 * execute an order that was sent to an earlier one.
 */
export interface UnansweredStarts {
  /** Records an order that is sent at `now`. The returned function removes it, once an answer shows that it is not under way any more. */
  recordSent (worker: string, task: string, now: number): () => void
  /** Whether an order for the task may be executed later than `since`. */
  canArriveAfter (worker: string, task: string, since: number): boolean
  /** Removes the orders that cannot be executed later than `since`. */
  prune (worker: string, since: number): void
  remove (worker: string): void
}

export function createUnansweredStarts (): UnansweredStarts {
  const startsByWorker = new Map<string, Set<SentStart>>()

  const remove = (worker: string, starts: readonly SentStart[]): void => {
    const known = startsByWorker.get(worker)
    if (known === undefined) return
    starts.forEach((start) => known.delete(start))
    if (known.size === 0) startsByWorker.delete(worker)
  }

  return {
    recordSent: (worker, task, now) => {
      const start = { task, arrivesUntil: now + ORDER_TIMEOUT_MS + MAX_CALL_DELAY_MS }
      startsByWorker.set(worker, (startsByWorker.get(worker) ?? new Set()).add(start))
      return () => remove(worker, [start])
    },
    canArriveAfter: (worker, task, since) => [...startsByWorker.get(worker) ?? []].some((start) => start.task === task && start.arrivesUntil > since),
    prune: (worker, since) => remove(worker, [...startsByWorker.get(worker) ?? []].filter(({ arrivesUntil }) => arrivesUntil <= since)),
    remove: (worker) => { startsByWorker.delete(worker) }
  }
}
