import type { Clock } from '../../common/index.js'

/** The two clocks of a host drift apart far less than this within the time that a mark is used. */
const TOLERANCE_MS = 200

/**
 * Tells when time has passed that the monotonic clock did not count, as while a host is suspended: the wall clock then
 * jumps against it. A step of the wall clock alone looks the same and costs one renewal.
 */
export interface ClockWatch {
  getMark (): number
  /** True when one of the clocks has jumped since the mark. */
  hasJumped (mark: number): boolean
}

export function createClockWatch (clock: Clock): ClockWatch {
  const getMark = (): number => clock.wall() - clock.now()
  return { getMark, hasJumped: (mark) => Math.abs(getMark() - mark) > TOLERANCE_MS }
}
