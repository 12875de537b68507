/** `overTargetMs`: the longest time that a latency-critical task may be over its target because of best-effort tasks. `stopMs`: the time that its worker needs to stop a run. */
export interface ServiceBound { overTargetMs: number, stopMs: number }

/** Tail latency of one latency-critical task in a poll of its worker; undefined if the worker gave none, which proves nothing. */
export interface ServiceReading { task: string, tailMs: number | undefined, targetMs: number }

/** A period for which a task may have been over its target without interruption, with the latest tail latency. At least one reading was over the target. */
export interface OverTarget {
  task: string
  tailMs: number
  targetMs: number
  /** Time of the last poll that proved the task within its target or not at work; the start of the watch if there was none. */
  lastWithinAt: number
  /** Time of the first poll that showed the task over its target. */
  since: number
  /** Latest time to tell the best-effort runs beside the task to stop, so that the bound is kept. */
  stopBy: number
  /** Time by which these runs have to be gone. */
  endBy: number
}

export interface ServiceUpdate {
  /** Tasks that were shown over their targets and have not been proved within them since. */
  over: OverTarget[]
  /** Tasks that were among these until this poll and have recovered or ended. */
  recovered: OverTarget[]
}

/** Tracks for how long the latency-critical tasks of one worker have been over their targets. */
export interface ServiceWatch {
  /**
   * Processes the readings of one poll: all latency-critical tasks at work. A task that is missing is not at work. `mayBeUnread`
   * is given if not every run in the list could be read; a missing task for which it returns true keeps its state.
   */
  update (readings: readonly ServiceReading[], now: number, mayBeUnread?: (task: string) => boolean): ServiceUpdate
  /** True if `stopBy` of a task has passed, so best-effort runs have to leave the worker. */
  isOverdue (now: number): boolean
  /** The period whose `stopBy` passes first; undefined while no task is over its target. */
  findMostUrgent (): OverTarget | undefined
}

/** A reading covers half a second and is reported for another half. The last reading within the target may therefore be this old, and the period over target may have begun as early. */
const MAX_READING_AGE_MS = 1000
/** Allowance for a late timer and for the transfer of a stop to the worker, each some tens of ms on the reference sites (`lateMs` of `host.work`). */
const STOP_DELIVERY_MS = 300
/** Workers give tail latencies in whole milliseconds, possibly rounded down, and inexact by this share; on the reference sites readings of equal loads differ by as much. */
const READING_STEP_MS = 1
const MAX_READING_ERROR = 0.05

export function createServiceWatch (startedAt: number, bound: ServiceBound): ServiceWatch {
  const withinTargetAt = new Map<string, number>()
  const over = new Map<string, OverTarget>()
  let updatedAt = startedAt

  const createOverTarget = ({ task, targetMs }: ServiceReading, now: number): OverTarget => {
    const withinAt = withinTargetAt.get(task) ?? updatedAt
    const endBy = withinAt - MAX_READING_AGE_MS + bound.overTargetMs
    return { task, tailMs: targetMs, targetMs, lastWithinAt: withinAt, since: now, endBy, stopBy: endBy - bound.stopMs - STOP_DELIVERY_MS }
  }

  const updateTask = (reading: ServiceReading, now: number): OverTarget[] => {
    const { task, targetMs, tailMs } = reading
    if (tailMs !== undefined && isSurelyWithin(tailMs, targetMs)) {
      withinTargetAt.set(task, now)
      return []
    }
    // A task that was not listed by the previous poll was not at work then.
    if (!withinTargetAt.has(task)) withinTargetAt.set(task, updatedAt)
    const known = over.get(task)
    if (known === undefined && (tailMs === undefined || tailMs <= targetMs)) return []
    const current = known ?? createOverTarget(reading, now)
    current.tailMs = tailMs ?? current.tailMs
    over.set(task, current)
    return [current]
  }

  return {
    update: (readings, now, mayBeUnread) => {
      const listed = new Set(readings.map(({ task }) => task))
      const isUnread = (task: string): boolean => !listed.has(task) && mayBeUnread?.(task) === true
      withinTargetAt.forEach((_at, task) => { if (!listed.has(task) && !isUnread(task)) withinTargetAt.delete(task) })
      const unread = [...over.values()].filter(({ task }) => isUnread(task))
      const current = readings.flatMap((reading) => updateTask(reading, now)).concat(unread)
      const recovered = [...over.values()].filter((known) => !current.includes(known))
      recovered.forEach(({ task }) => over.delete(task))
      // A task that is listed next may have been among the unread ones.
      if (mayBeUnread === undefined) updatedAt = now
      return { over: current, recovered }
    },
    isOverdue: (now) => [...over.values()].some(({ stopBy }) => stopBy <= now),
    findMostUrgent: () => [...over.values()].toSorted((a, b) => a.stopBy - b.stopBy)[0]
  }
}

/** True if a reading proves a tail latency within the target, however inexact it is. */
function isSurelyWithin (tailMs: number, targetMs: number): boolean {
  const roundingMs = Math.min(READING_STEP_MS, targetMs * MAX_READING_ERROR)
  return (tailMs + roundingMs) / (1 - MAX_READING_ERROR) <= targetMs
}
