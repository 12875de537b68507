import type { Clock } from './clock.js'

/** The least time of a sleep, so that a deadline which rounding leaves just ahead of the clock is not slept for without end. */
const MIN_SLEEP_MS = 0.001

/** Tells when the earliest of many deadlines has passed. */
export interface Alarm {
  /** Names a deadline, of which there may be more. */
  set (deadline: number): void
}

/**
 * Calls `onDue` when a deadline has passed; it returns the earliest one that is still of interest, or Infinity. Timers are
 * shared and never cancelled: a timer and an abort signal for each wait took a quarter of the leader's processor time.
 */
export function createAlarm (clock: Clock, onDue: () => number): Alarm {
  const armed: number[] = []
  const set = (deadline: number): void => {
    if (deadline === Infinity || armed.some((earlier) => earlier <= deadline)) return
    armed.push(deadline)
    clock.sleep(Math.max(MIN_SLEEP_MS, deadline - clock.now())).then(() => {
      armed.splice(armed.indexOf(deadline), 1)
      set(onDue())
    })
  }
  return { set }
}
