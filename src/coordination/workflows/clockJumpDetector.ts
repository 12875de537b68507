import type { Clock } from '../../common/index.js'

/** A larger change of the difference between the clocks is a jump; within the time for which a mark is used, they drift apart by far less. */
const TOLERANCE_MS = 200

/**
 * Detects time that the monotonic clock did not count, for example while the host was suspended: the wall clock then
 * jumps relative to the monotonic clock. An adjustment of the wall clock looks the same; it costs only one renewal of
 * the authority.
 */
export interface ClockJumpDetector {
  /** The current difference between the wall clock and the monotonic clock. */
  getMark (): number
  /** True if one of the clocks has jumped since the mark was taken. */
  hasJumped (mark: number): boolean
}

export function createClockJumpDetector (clock: Clock): ClockJumpDetector {
  const getMark = (): number => clock.wall() - clock.now()
  return { getMark, hasJumped: (mark) => Math.abs(getMark() - mark) > TOLERANCE_MS }
}
