/** What a look at a worker shows of one task that serves. */
export interface ServiceReading { task: string, tailMs: number, targetMs: number }

/** Tail latencies of a task that have been over its target on end. */
export interface OverTarget extends ServiceReading {
  /** When a look last showed the task at or under its target, or not at work; before the first look, when the watch began. */
  withinAt: number
  /** When a look first showed it over its target. */
  since: number
  /** When the latest tail latency was received. */
  readAt: number
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
}

export function createServiceWatch (startedAt: number): ServiceWatch {
  const withinAt = new Map<string, number>()
  const over = new Map<string, OverTarget>()
  let updatedAt = startedAt

  const updateTask = ({ task, tailMs, targetMs }: ServiceReading, now: number): OverTarget[] => {
    if (tailMs <= targetMs) {
      withinAt.set(task, now)
      return []
    }
    const known = over.get(task)
    const current = known ?? { task, tailMs, targetMs, withinAt: withinAt.get(task) ?? updatedAt, since: now, readAt: now }
    Object.assign(current, { tailMs, targetMs, readAt: now })
    over.set(task, current)
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
    }
  }
}
