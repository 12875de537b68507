import type { Clock } from '../../common/index.js'

/** Wakes whoever waits. A notification while nobody waits is kept for the next one. */
export interface Signal {
  notify (): void
  wait (ms: number): Promise<void>
}

export function createSignal (clock: Clock): Signal {
  let isPending = false
  let controller: AbortController | undefined
  return {
    notify: () => {
      isPending = true
      controller?.abort()
    },
    wait: async (ms) => {
      if (!isPending) {
        controller = new AbortController()
        await clock.sleep(ms, controller.signal)
        controller = undefined
      }
      isPending = false
    }
  }
}
