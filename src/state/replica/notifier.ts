import type { Clock } from '../../common/index.js'

/** Wakes everybody who waits. A wait also ends after `ms`, or only by `notify` when `ms` is not given. */
export interface Notifier {
  notify (): void
  wait (ms?: number): Promise<void>
}

export function createNotifier (clock: Clock): Notifier {
  const timers = new Set<AbortController>()
  const waiting = new Set<() => void>()
  return {
    notify: () => {
      timers.forEach((timer) => timer.abort())
      timers.clear()
      waiting.forEach((resolve) => resolve())
      waiting.clear()
    },
    wait: async (ms) => {
      if (ms === undefined) return new Promise((resolve) => { waiting.add(resolve) })
      const timer = new AbortController()
      timers.add(timer)
      await clock.sleep(ms, timer.signal)
      timers.delete(timer)
    }
  }
}

/** Waits until the condition holds or the deadline has passed. Returns whether it holds. */
export async function waitUntil (clock: Clock, notifier: Notifier, deadline: number, condition: () => boolean): Promise<boolean> {
  while (!condition()) {
    const remaining = deadline - clock.now()
    if (remaining <= 0) return false
    await notifier.wait(remaining === Infinity ? undefined : remaining)
  }
  return true
}
