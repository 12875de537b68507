/** How long a service may be over its target by what fills beside it, and how long its worker takes for a stop. */
export interface ServiceBound { overTargetMs: number, stopMs: number }

/** What a look at a worker shows of one task that serves. */
export interface ServiceReading { task: string, tailMs: number, targetMs: number }

/** Tail latencies of a task that have been over its target on end. */
export interface OverTarget extends ServiceReading {
  /** When a look last showed the task at or under its target, or not at work; before the first look, when the watch began. */
  withinAt: number
  /** When a look first showed it over its target. */
  since: number
  /** What fills beside it has to be told to stop by then, for the bound to be kept. */
  stopBy: number
}

export interface ServiceUpdate {
  /** Tasks that are over their targets. */
  over: OverTarget[]
  /** Tasks that were over their targets until this look, or are gone. */
  recovered: OverTarget[]
}

/** Follows since when the tasks that serve on one worker have been over their targets. */
export interface ServiceWatch {
  /** Takes all tasks that serve and have a tail latency, as a look shows them. */
  update (readings: readonly ServiceReading[], now: number): ServiceUpdate
  /** True when work that fills may not be beside a task of this worker any more. */
  isOverdue (now: number): boolean
}

/** A reading covers half a second and is repeated for another half, so a stretch may be older than the last good reading by both. */
const READING_AGE_MS = 1000
/** For a timer that fires late and the way of a stop to the worker, each some tens of ms on the reference sites (`lateMs` of `host.work`). */
const ORDER_MS = 300
/** Rough readings may be a little under the target while the tail is over it; a stretch ends below this part of the target. */
const RECOVERED_SHARE = 0.95

export function createServiceWatch (startedAt: number, bound: ServiceBound): ServiceWatch {
  const withinAt = new Map<string, number>()
  const over = new Map<string, OverTarget>()
  let updatedAt = startedAt

  const createStretch = (reading: ServiceReading, now: number): OverTarget => {
    const lastWithinAt = withinAt.get(reading.task) ?? updatedAt
    return { ...reading, withinAt: lastWithinAt, since: now, stopBy: lastWithinAt - READING_AGE_MS + bound.overTargetMs - bound.stopMs - ORDER_MS }
  }

  const updateTask = (reading: ServiceReading, now: number): OverTarget[] => {
    const known = over.get(reading.task)
    if (reading.tailMs <= reading.targetMs * (known === undefined ? 1 : RECOVERED_SHARE)) {
      withinAt.set(reading.task, now)
      return []
    }
    const current = known ?? createStretch(reading, now)
    current.tailMs = reading.tailMs
    over.set(reading.task, current)
    return [current]
  }

  return {
    update: (readings, now) => {
      const listed = new Set(readings.map(({ task }) => task))
      withinAt.forEach((_at, task) => { if (!listed.has(task)) withinAt.delete(task) })
      const current = readings.flatMap((reading) => updateTask(reading, now))
      const recovered = [...over.values()].filter((known) => !current.includes(known))
      recovered.forEach(({ task }) => over.delete(task))
      updatedAt = now
      return { over: current, recovered }
    },
    isOverdue: (now) => [...over.values()].some(({ stopBy }) => stopBy <= now)
  }
}
