import { createDeadlineTimer, type Clock } from '../../common/index.js'

/** A condition variable with timeouts: `notify` ends all waits. */
export interface Notifier {
  notify (): void
  /** Waits for `notify`, at most `ms` if given. With a condition, only a `notify` at which the condition is true ends the wait. */
  wait (ms?: number, condition?: () => boolean): Promise<void>
}

interface Waiter { deadline: number, condition: (() => boolean) | undefined, resolve: () => void }

export function createNotifier (clock: Clock): Notifier {
  let waiters: Waiter[] = []

  const wake = (shouldWake: (waiter: Waiter) => boolean): void => {
    const kept: Waiter[] = []
    waiters.forEach((waiter) => {
      if (shouldWake(waiter)) waiter.resolve()
      else kept.push(waiter)
    })
    waiters = kept
  }

  const alarm = createDeadlineTimer(clock, () => {
    const now = clock.now()
    wake(({ deadline }) => deadline <= now)
    return waiters.reduce((earliest, { deadline }) => Math.min(earliest, deadline), Infinity)
  })

  return {
    notify: () => wake(({ condition }) => condition === undefined || condition()),
    wait: (ms, condition) => new Promise((resolve) => {
      const deadline = ms === undefined ? Infinity : clock.now() + ms
      waiters.push({ deadline, condition, resolve })
      alarm.set(deadline)
    })
  }
}

/** Waits until the condition holds or the deadline has passed. Returns whether it holds. */
export async function waitUntil (clock: Clock, notifier: Notifier, deadline: number, condition: () => boolean): Promise<boolean> {
  // Checks the condition again after each wait, because it may have become false between `notify` and this continuation.
  while (!condition()) {
    const remaining = deadline - clock.now()
    if (remaining <= 0) return false
    await notifier.wait(remaining === Infinity ? undefined : remaining, condition)
  }
  return true
}
