import type { Clock } from '../../common/index.js'

/** Wakes a waiting caller early. A notification that comes while no one waits ends the next `wait` at once. */
export interface Signal {
  notify (): void
  wait (ms: number): Promise<void>
}

export function createSignal (clock: Clock): Signal {
  let isPending = false
  let sleepController: AbortController | undefined
  return {
    notify: () => {
      isPending = true
      sleepController?.abort()
    },
    wait: async (ms) => {
      if (!isPending) {
        sleepController = new AbortController()
        await clock.sleep(ms, sleepController.signal)
        sleepController = undefined
      }
      isPending = false
    }
  }
}
