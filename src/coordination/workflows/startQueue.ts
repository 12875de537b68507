/** Bounds how many start orders wait for answers at the same time, in all and for each worker; the others wait here. */
export interface StartQueue {
  /** Resolves when an order to a worker may be sent, with false when the queue was closed. Urgent orders go at once. */
  claim (worker: string, isUrgent: boolean): Promise<boolean>
  /** An order that was admitted has been answered or given up. */
  release (worker: string): void
  close (): void
}

interface WaitingStart { worker: string, resolve (isAdmitted: boolean): void }

/**
 * A host with more to order than its processor bears would otherwise send everything at once, find all answers late
 * and send it all again. Urgent orders are few and are not held up by the others.
 */
export function createStartQueue ({ limit, workerLimit }: { limit: number, workerLimit: number }): StartQueue {
  const waiting: WaitingStart[] = []
  const openAt = new Map<string, number>()
  let open = 0
  let isClosed = false

  const admit = (worker: string): void => {
    open += 1
    openAt.set(worker, (openAt.get(worker) ?? 0) + 1)
  }
  const hasRoom = (worker: string): boolean => open < limit && (openAt.get(worker) ?? 0) < workerLimit

  return {
    claim: async (worker, isUrgent) => {
      if (isClosed) return false
      if (!isUrgent && !hasRoom(worker)) return new Promise((resolve) => waiting.push({ worker, resolve }))
      admit(worker)
      return true
    },
    release: (worker) => {
      const left = (openAt.get(worker) ?? 1) - 1
      open -= 1
      if (left > 0) openAt.set(worker, left)
      else openAt.delete(worker)
      const next = waiting.findIndex((start) => hasRoom(start.worker))
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
