import type { Clock } from './clock.js'

/** Minimum sleep. Rounding may leave a deadline slightly ahead of the clock after a sleep; shorter sleeps would then repeat endlessly. */
const MIN_SLEEP_MS = 0.001

/** Runs a callback when the earliest of many deadlines has passed. */
export interface DeadlineTimer {
  /** Adds a deadline; earlier ones stay set. */
  set (deadline: number): void
}

/**
 * Calls `onDue` when a deadline has passed. `onDue` returns the earliest deadline that is still pending, or Infinity. All waits
 * share timers, which are never cancelled: a timer and an AbortSignal per wait took a quarter of the leader's CPU time.
 */
export function createDeadlineTimer (clock: Clock, onDue: () => number): DeadlineTimer {
  const armedDeadlines: number[] = []
  const set = (deadline: number): void => {
    if (deadline === Infinity || armedDeadlines.some((earlier) => earlier <= deadline)) return
    armedDeadlines.push(deadline)
    clock.sleep(Math.max(MIN_SLEEP_MS, deadline - clock.now())).then(() => {
      armedDeadlines.splice(armedDeadlines.indexOf(deadline), 1)
      set(onDue())
    })
  }
  return { set }
}
