import type { Clock } from '../../common/index.js'

/** Wakes everybody who waits. A wait also ends after `ms`, or only by `notify` when `ms` is not given. */
export interface Notifier {
  notify (): void
  wait (ms?: number): Promise<void>
}

export function createNotifier (clock: Clock): Notifier {
  let controller = new AbortController()
  let promise: Promise<void> | undefined
  let resolveAll = (): void => {}
  return {
    notify: () => {
      controller.abort()
      controller = new AbortController()
      promise = undefined
      resolveAll()
    },
    wait: (ms) => {
      if (ms !== undefined) return clock.sleep(ms, controller.signal)
      promise ??= new Promise((resolve) => { resolveAll = resolve })
      return promise
    }
  }
}

/** Waits until the condition holds or the deadline has passed. Returns whether it holds. */
export async function waitUntil (clock: Clock, notifier: Notifier, deadline: number, condition: () => boolean): Promise<boolean> {
  while (!condition()) {
    const remaining = deadline - clock.now()
    if (remaining <= 0) return false
    await notifier.wait(remaining)
  }
  return true
}
