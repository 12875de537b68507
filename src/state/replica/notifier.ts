import { createAlarm, type Clock } from '../../common/index.js'

/** Wakes those who wait. A wait also ends after `ms`, or only by `notify` when `ms` is not given. */
export interface Notifier {
  notify (): void
  /** With a condition, only a `notify` at which it holds ends the wait. */
  wait (ms?: number, condition?: () => boolean): Promise<void>
}

interface Waiter { deadline: number, condition: (() => boolean) | undefined, resolve: () => void }

export function createNotifier (clock: Clock): Notifier {
  let waiters: Waiter[] = []

  const wake = (isWoken: (waiter: Waiter) => boolean): void => {
    const kept: Waiter[] = []
    waiters.forEach((waiter) => {
      if (isWoken(waiter)) waiter.resolve()
      else kept.push(waiter)
    })
    waiters = kept
  }

  const alarm = createAlarm(clock, () => {
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
  // What held when it was notified may have changed before this continues.
  while (!condition()) {
    const remaining = deadline - clock.now()
    if (remaining <= 0) return false
    await notifier.wait(remaining === Infinity ? undefined : remaining, condition)
  }
  return true
}
