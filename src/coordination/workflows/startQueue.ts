/** Bounds how many start orders wait for answers at the same time; the others wait here. */
export interface StartQueue {
  /** Resolves when an order may be sent, with false when the queue was closed. Urgent orders go first. */
  claim (isUrgent: boolean): Promise<boolean>
  /** An order that was admitted has been answered or given up. */
  release (): void
  close (): void
}

/**
 * A host with more to order than its processor bears would otherwise send everything at once, find all answers late
 * and send it all again.
 */
export function createStartQueue (limit: number): StartQueue {
  const urgent: Array<(isAdmitted: boolean) => void> = []
  const others: Array<(isAdmitted: boolean) => void> = []
  let open = 0
  let isClosed = false

  return {
    claim: (isUrgent) => {
      if (isClosed) return Promise.resolve(false)
      if (open < limit) {
        open += 1
        return Promise.resolve(true)
      }
      return new Promise((resolve) => (isUrgent ? urgent : others).push(resolve))
    },
    release: () => {
      const next = urgent.shift() ?? others.shift()
      if (next === undefined) open -= 1
      else next(true)
    },
    close: () => {
      isClosed = true
      urgent.concat(others).forEach((resolve) => resolve(false))
      urgent.length = 0
      others.length = 0
    }
  }
}
