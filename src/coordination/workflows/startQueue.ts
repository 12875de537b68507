/** Limits the start orders that are in flight (sent, not answered), in total and per worker. Further orders wait in the queue. */
export interface StartQueue {
  /** Resolves with true when an order to a worker may be sent, and with false when the queue has been closed. Urgent orders never wait. */
  claim (worker: string, isUrgent: boolean): Promise<boolean>
  /** Frees the slot of an admitted order that was answered or abandoned. */
  release (worker: string): void
  close (): void
}

interface WaitingStart { worker: string, resolve (isAdmitted: boolean): void }

/**
 * Creates a queue that protects a host with more start orders than its processor can handle: without a limit, it would send
 * all of them at once, treat every answer as late, and send them all again. Urgent orders are few and bypass the limits.
 */
export function createStartQueue ({ limit, workerLimit }: { limit: number, workerLimit: number }): StartQueue {
  const waiting: WaitingStart[] = []
  const inFlightByWorker = new Map<string, number>()
  let inFlight = 0
  let isClosed = false

  const admit = (worker: string): void => {
    inFlight += 1
    inFlightByWorker.set(worker, (inFlightByWorker.get(worker) ?? 0) + 1)
  }
  const hasCapacity = (worker: string): boolean => inFlight < limit && (inFlightByWorker.get(worker) ?? 0) < workerLimit

  return {
    claim: async (worker, isUrgent) => {
      if (isClosed) return false
      if (!isUrgent && !hasCapacity(worker)) return new Promise((resolve) => waiting.push({ worker, resolve }))
      admit(worker)
      return true
    },
    release: (worker) => {
      const remaining = (inFlightByWorker.get(worker) ?? 1) - 1
      inFlight -= 1
      if (remaining > 0) inFlightByWorker.set(worker, remaining)
      else inFlightByWorker.delete(worker)
      const next = waiting.findIndex((start) => hasCapacity(start.worker))
      const [start] = next < 0 ? [] : waiting.splice(next, 1)
      if (start === undefined) return
      admit(start.worker)
      start.resolve(true)
    },
    close: () => {
      isClosed = true
      waiting.splice(0).forEach(({ resolve }) => resolve(false))
    }
  }
}
